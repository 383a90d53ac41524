"""Define the membership messages between VMs."""

import enum
from typing import Annotated

import msgspec
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, VmId
from baobabwharf_core.input_types import EXACT_INTEGER, ExactInteger


class MemberStatus(enum.Enum):
    """Name the status of a member as gossiped between VMs."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class MemberUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """State the status of a VM at one of its incarnations."""

    vm_id: VmId
    status: MemberStatus
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    record: VmRecord | None = None


class Summary(msgspec.Struct, frozen=True):
    """Carry opaque bytes from an origin VM; the highest version wins."""

    topic: str
    origin: VmId
    version: ExactInteger
    payload: bytes


class Piggyback(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the gossip that is piggybacked on a probe or its reply."""

    updates: tuple[MemberUpdate, ...] = ()
    tombstones: tuple[bytes, ...] = ()
    summaries: tuple[Summary, ...] = ()


class Exchange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Probe a VM, or ask it to probe the target; join asks for all members."""

    sender: VmId
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    load: Piggyback = Piggyback()
    target: VmId | None = None
    join: bool = False


class ExchangeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer a probe; reached is False if an indirect probe got no reply."""

    responder: VmId
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    reached: bool = True
    load: Piggyback = Piggyback()
