"""Describe what VMs tell each other about the members of the fleet."""

import enum

import msgspec
from baobabwharf_core.ids import Incarnation, VmId
from baobabwharf_core.model import VmRecord


class MemberStatus(enum.Enum):
    """Tell what a VM says about another."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class MemberUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """State the status of a VM at one of its incarnations."""

    vm_id: VmId
    status: MemberStatus
    incarnation: Incarnation
    record: VmRecord | None = None


class Summary(msgspec.Struct, frozen=True):
    """Carry opaque bytes of an origin VM; a higher version replaces it."""

    topic: str
    origin: VmId
    version: int
    payload: bytes


class Piggyback(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what rides on a probe or on its reply."""

    updates: tuple[MemberUpdate, ...] = ()
    tombstones: tuple[bytes, ...] = ()
    summaries: tuple[Summary, ...] = ()


class Exchange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Probe a VM, or ask it to probe the target; join asks for all members."""

    sender: VmId
    incarnation: Incarnation
    load: Piggyback = Piggyback()
    target: VmId | None = None
    join: bool = False


class ExchangeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer a probe; reached is false if an asked probe got no answer."""

    responder: VmId
    incarnation: Incarnation
    reached: bool = True
    load: Piggyback = Piggyback()
