"""Summarise a region for the other regions, by service and model."""

import msgspec
from baobabwharf_core.ids import ModelId, RegionId, ServiceId
from baobabwharf_core.input_types import (
    DurationMs,
    ExactInteger,
    SmallCount,
)
from baobabwharf_core.requests import RequestAttributes

from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.endpoint_groups import EndpointGroup

_MAX_PREFIXES = 16
_MAX_RECENT_PREFIXES = 64


class GroupSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summarise the usable endpoints of a service and model; times in ms."""

    service: ServiceId
    model: ModelId | None
    slots: ExactInteger
    requests: ExactInteger
    service_ms: DurationMs
    prefill_token_ms: DurationMs
    # First blocks of recent prompts cached in the region, newest last.
    prefixes: tuple[int, ...] = ()


class RegionSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summarise a region; sequence increases per origin."""

    region: RegionId
    sequence: ExactInteger
    vms: SmallCount
    groups: tuple[GroupSummary, ...]


class RecentPrefixes:
    """Hold the first blocks of recent prompts."""

    def __init__(self) -> None:
        self._blocks: dict[int, None] = {}

    @property
    def newest(self) -> tuple[int, ...]:
        """Return the blocks, newest last."""
        return tuple(self._blocks)

    def record_prompt(self, attributes: RequestAttributes) -> None:
        """Record the first block of a prompt."""
        if not attributes.prefix_hashes:
            return
        block = attributes.prefix_hashes[0]
        self._blocks.pop(block, None)
        self._blocks[block] = None
        if len(self._blocks) > _MAX_RECENT_PREFIXES:
            self._blocks.pop(next(iter(self._blocks)))


def summarise(
    region: RegionId,
    directory: EndpointDirectory,
    recent_blocks: tuple[int, ...],
    sequence: int,
    vms: int,
    now_ms: int,
) -> RegionSummary:
    """Return a summary of the current content of a directory.

    recent_blocks are the first blocks of recent prompts, newest last.
    """
    cached = tuple(
        block for block in recent_blocks if directory.prefix_index.holds(block)
    )
    groups = tuple(
        _summarise_group(directory, group, key, cached, now_ms)
        for key, group in directory.groups.items()
    )
    return RegionSummary(region, sequence, vms, groups)


def _summarise_group(
    directory: EndpointDirectory,
    group: EndpointGroup,
    key: tuple[ServiceId, ModelId | None],
    cached: tuple[int, ...],
    now_ms: int,
) -> GroupSummary:
    usable = [
        member
        for member in group.members.values()
        if directory.may_use(member, now_ms)
    ]
    count = max(1, len(usable))
    return GroupSummary(
        key[0],
        key[1],
        sum(member.announcement.slots for member in usable),
        sum(member.load.requests for member in usable),
        sum(member.speed.service_ms for member in usable) / count,
        sum(member.speed.prefill_token_ms for member in usable) / count,
        cached[-_MAX_PREFIXES:],
    )
