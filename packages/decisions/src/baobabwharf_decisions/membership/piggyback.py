"""Choose the gossip for the next message within a byte budget."""

import math
from collections.abc import Hashable
from typing import final

import msgspec
from baobabwharf_core.codec import encode

from baobabwharf_decisions.membership.messages import (
    MemberUpdate,
    Piggyback,
    Summary,
)

# Keeps a probe within one packet on a wide-area link.
BUDGET_BYTES = 700
# Sends of an item per log2 of the fleet size; with that many it reaches all
# VMs with high probability.
_SENDS_PER_LOG2 = 3

GossipItem = MemberUpdate | Summary | bytes


class _Queued(msgspec.Struct):
    item: GossipItem
    sends_left: int
    size_bytes: int


@final
class PiggybackQueue:
    """Hold items until each was sent often enough to reach all VMs."""

    def __init__(self) -> None:
        self._queued: dict[Hashable, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, item: GossipItem, fleet_size: int) -> None:
        """Queue an item; it replaces an older one of the same subject.

        An item that is queued again keeps the sends that it has left.
        """
        sends = _SENDS_PER_LOG2 * math.ceil(math.log2(fleet_size + 2))
        known = self._queued.get(_subject(item))
        if known is not None and known.item == item:
            sends = max(sends, known.sends_left)
        size_bytes = len(encode(item))
        self._queued[_subject(item)] = _Queued(item, sends, size_bytes)

    def take(self, first: list[MemberUpdate]) -> Piggyback:
        """Return the items for one message, least sent first."""
        chosen: list[GossipItem] = list(first)
        left_bytes = BUDGET_BYTES
        for key, queued in self._in_order():
            # An item larger than the budget is still sent, alone.
            full = left_bytes < BUDGET_BYTES
            if full and queued.size_bytes > left_bytes:
                continue
            left_bytes -= queued.size_bytes
            chosen.append(queued.item)
            queued.sends_left -= 1
            if not queued.sends_left:
                del self._queued[key]
            if left_bytes <= 0:
                break
        return pack(chosen)

    def _in_order(self) -> list[tuple[Hashable, _Queued]]:
        if len(self._queued) < 2:
            return list(self._queued.items())
        return sorted(
            self._queued.items(), key=lambda pair: -pair[1].sends_left
        )


def pack(chosen: list[GossipItem]) -> Piggyback:
    """Group items by kind."""
    return Piggyback(
        tuple(item for item in chosen if isinstance(item, MemberUpdate)),
        tuple(item for item in chosen if isinstance(item, bytes)),
        tuple(item for item in chosen if isinstance(item, Summary)),
    )


def _subject(item: GossipItem) -> Hashable:
    if isinstance(item, MemberUpdate):
        return ('member', item.vm_id)
    if isinstance(item, Summary):
        return ('summary', item.topic, item.origin)
    return ('tombstone', item)
