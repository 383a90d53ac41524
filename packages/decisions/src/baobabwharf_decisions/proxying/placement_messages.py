"""Define what VMs and the placing VM of a region tell each other."""

import msgspec
from baobabwharf_core.ids import CustomerId, EndpointId, ServiceId, VmId
from baobabwharf_core.input_types import (
    Amount,
    ExactInteger,
    RemainingIntegerMs,
)

from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptPart


class PlacementAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask for an engine for one request.

    number is unique for the asking VM.  bound_ms is the time in which the first
    event should come.  excluded names endpoints that the asking VM can't use.
    output_tokens is the expected length of the answer.
    """

    number: ExactInteger
    service: ServiceId
    urgency: Amount
    bound_ms: RemainingIntegerMs
    deadline_left_ms: RemainingIntegerMs
    parts: tuple[tuple[str, ExactInteger], ...]
    excluded: tuple[EndpointId, ...] = ()
    customer: CustomerId | None = None
    output_tokens: ExactInteger = 0

    @property
    def held_tokens(self) -> int:
        """Return the tokens that the request takes in an engine's memory."""
        prompt_tokens = sum(tokens for _part_id, tokens in self.parts)
        return prompt_tokens + self.output_tokens

    @property
    def prompt(self) -> Prompt:
        """Return the prompt of the request."""
        return tuple(PromptPart(*part) for part in self.parts)


class PlacementGrant(msgspec.Struct, frozen=True, array_like=True):
    """Name the engine for a request, None if none is in time.

    first_event_ms is expected there, work_ms of it for the prompt alone;
    wait_ms is the time to a first event without the prompt, at the chosen
    engine or else at the best one.
    """

    number: ExactInteger
    endpoint_id: EndpointId | None
    first_event_ms: Amount
    work_ms: Amount
    wait_ms: Amount


class Granted(msgspec.Struct, frozen=True):
    """Hold an answer and the VM that gave it."""

    grant: PlacementGrant
    placing_vm: VmId


class PlacementProgress(msgspec.Struct, frozen=True, array_like=True):
    """Report how a granted request went on.

    first_event_ms is the time from the sending of the request to its first
    event, None if it ended before.  percent is what the endpoint reported of
    its present speed, 0 if nothing.
    """

    number: ExactInteger
    first_event_ms: Amount | None
    ended: bool
    failed: bool = False
    percent: ExactInteger = 0


class AskMessage(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Carry an ask and what is due to be reported to the same VM."""

    vm_id: VmId
    ask: PlacementAsk
    progress: tuple[PlacementProgress, ...] = ()


class GrantMessage(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """Carry the answer to an ask."""

    vm_id: VmId
    grant: PlacementGrant


class ProgressMessage(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """Carry reports without an ask."""

    vm_id: VmId
    progress: tuple[PlacementProgress, ...]


PlacementMessage = AskMessage | GrantMessage | ProgressMessage
