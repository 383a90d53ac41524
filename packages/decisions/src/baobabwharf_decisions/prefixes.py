"""Track from cache events which prompt prefixes endpoints hold."""

from collections.abc import Iterable, Sequence

from baobabwharf_core.announcements import CacheEvent, CacheEventKind
from baobabwharf_core.ids import EndpointId

# The trust in a block is multiplied by this for each gap after its last event.
_GAP_TRUST = 0.5
_FORGET_GAPS = 3
MAX_BLOCKS_PER_ENDPOINT = 512
_MAX_HOLDERS = 4


class CacheView:
    """Track the cached blocks of one endpoint.

    Each block is stored with the number of gaps seen up to its last event.
    """

    __slots__ = ('_blocks', '_gaps', '_sequence')

    def __init__(self) -> None:
        self._blocks: dict[int, int] = {}
        self._gaps = 0
        self._sequence: int | None = None

    @property
    def gaps(self) -> int:
        """Return the number of gaps seen in the event sequence."""
        return self._gaps

    @property
    def blocks(self) -> Iterable[int]:
        """Return the hashes of all blocks that may be cached."""
        return self._blocks.keys()

    def trusted_share(self, hashes: Sequence[int]) -> float:
        """Return the cached share of a prompt, weighted by trust."""
        share = 0.0
        for block_hash in hashes:
            seen_gaps = self._blocks.get(block_hash)
            if seen_gaps is None:
                break
            share += _GAP_TRUST ** (self._gaps - seen_gaps)
        return share / len(hashes) if hashes else 0.0

    def apply(self, event: CacheEvent) -> tuple[list[int], list[int]]:
        """Apply an event; return the blocks that were added and removed."""
        if self._sequence is not None and event.sequence <= self._sequence:
            return [], []
        removed = self._notice_gap(event.sequence)
        self._sequence = event.sequence
        if event.kind is CacheEventKind.EVICTED:
            if self._blocks.pop(event.block_hash, None) is not None:
                removed.append(event.block_hash)
            return [], removed
        added = [] if event.block_hash in self._blocks else [event.block_hash]
        self._blocks.pop(event.block_hash, None)
        self._blocks[event.block_hash] = self._gaps
        if len(self._blocks) > MAX_BLOCKS_PER_ENDPOINT:
            oldest = next(iter(self._blocks))
            self._blocks.pop(oldest)
            removed.append(oldest)
        return added, removed

    def _notice_gap(self, sequence: int) -> list[int]:
        if self._sequence is None or sequence == self._sequence + 1:
            return []
        # A lost event may have evicted any known block.
        self._gaps += 1
        forgotten = [
            block
            for block, seen in self._blocks.items()
            if self._gaps - seen >= _FORGET_GAPS
        ]
        for block in forgotten:
            self._blocks.pop(block)
        return forgotten


class PrefixIndex:
    """Map each block to the endpoints that hold it."""

    def __init__(self) -> None:
        self._holders: dict[int, list[EndpointId]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Record that an endpoint holds the blocks."""
        for block in blocks:
            self._holders.setdefault(block, []).append(endpoint_id)

    def remove(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Record that an endpoint no longer holds the blocks."""
        for block in blocks:
            holders = self._holders.get(block, [])
            if endpoint_id in holders:
                holders.remove(endpoint_id)
            if not holders:
                self._holders.pop(block, None)

    def holders(self, hashes: Sequence[int]) -> list[EndpointId]:
        """Return a few endpoints, those with the longest prefix first."""
        found: list[EndpointId] = []
        for block in reversed(hashes):
            for endpoint_id in self._holders.get(block, ()):
                if endpoint_id not in found:
                    found.append(endpoint_id)
            if len(found) >= _MAX_HOLDERS:
                break
        return found[:_MAX_HOLDERS]

    def holds(self, block: int) -> bool:
        """Return whether any endpoint holds the block."""
        return block in self._holders
