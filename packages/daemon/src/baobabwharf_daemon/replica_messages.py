"""Define the RPC messages between VMs that concern the replicated state."""

import enum

import msgspec
from baobabwharf_core.changes import Change, ChangeOutcome
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import RequestId, Revision, VmId
from baobabwharf_decisions.consensus.messages import Message
from baobabwharf_decisions.fleet_state.commands import Answer, Operation

DELIVER_PATH = '/baobabwharf.Consensus/Deliver'
STATUS_PATH = '/baobabwharf.Consensus/Status'
JOIN_PATH = '/baobabwharf.Consensus/Join'
PROPOSE_PATH = '/baobabwharf.Changes/Propose'
OUTCOME_PATH = '/baobabwharf.Changes/Outcome'
WATCH_PATH = '/baobabwharf.Follow/Watch'
FETCH_PATH = '/baobabwharf.Follow/Fetch'


class Delivery(msgspec.Struct, frozen=True):
    """Deliver Raft messages from one replica to another."""

    messages: tuple[Message, ...]


class Delivered(msgspec.Struct, frozen=True):
    """Acknowledge a delivery; Raft answers are sent as separate messages."""


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask a replica for its stage and its leader."""

    sender: VmId


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Report the stage of a replica and the leader that it knows."""

    stage: str
    leads: bool = False
    leader_id: VmId | None = None
    term: int = 0


class JoinRequest(msgspec.Struct, frozen=True):
    """Ask the leader to add a VM as a learner.

    Each rebuild of a replica uses a new nonce.
    """

    vm_id: VmId
    nonce: int


class JoinReply(msgspec.Struct, frozen=True):
    """Report whether the VM has been added; if not, it asks again."""

    admitted: bool


class ReplyKind(enum.Enum):
    """Report the result of an operation.

    REFUSED and NOT_LEADER: it was not executed and never will be.
    OVERWRITTEN: a new leader discarded it; it may be sent again.
    UNKNOWN: it may have been executed or may still be.
    """

    ANSWERED = 'answered'
    NOT_LEADER = 'not_leader'
    REFUSED = 'refused'
    OVERWRITTEN = 'overwritten'
    UNKNOWN = 'unknown'


class ProposeRequest(msgspec.Struct, frozen=True):
    """Ask the leader to commit an operation."""

    operation: Operation


class ProposeReply(msgspec.Struct, frozen=True):
    """Return the answer to an operation, or the leader if it is known."""

    kind: ReplyKind
    answer: Answer | None = None
    leader_id: VmId | None = None
    sentence: str = ''


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the first answer to a request id."""

    request_id: RequestId


class OutcomeReply(msgspec.Struct, frozen=True):
    """Return the first answer, read after a majority confirmed the leader."""

    kind: ReplyKind
    outcome: ChangeOutcome | None = None
    leader_id: VmId | None = None


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for updates after a revision, -1 if the VM has no configuration."""

    vm_id: VmId
    revision: int


class _WatchItem(msgspec.Struct, frozen=True, tag=True):
    """Tag each type of item with its class name."""


class ConfigSnapshot(_WatchItem, frozen=True, tag=True):
    """Carry the full configuration and all tombstones."""

    config: FleetConfig
    tombstones: tuple[bytes, ...]


class ConfigDelta(_WatchItem, frozen=True, tag=True):
    """Carry the change that produced a revision."""

    revision: Revision
    change: Change


class Withdrawals(_WatchItem, frozen=True, tag=True):
    """Carry digests of withdrawn keys; urgent ones may precede the log."""

    digests: tuple[bytes, ...]
    urgent: bool


class Confirmation(_WatchItem, frozen=True, tag=True):
    """Confirm that a revision was the newest one age_ms ago."""

    revision: Revision
    age_ms: int


WatchItem = ConfigSnapshot | ConfigDelta | Withdrawals | Confirmation


class WatchReply(msgspec.Struct, frozen=True):
    """Carry items in the order in which to apply them."""

    items: tuple[WatchItem, ...]


class FetchReply(msgspec.Struct, frozen=True):
    """Carry a newer configuration, None if there is none."""

    snapshot: ConfigSnapshot | None
