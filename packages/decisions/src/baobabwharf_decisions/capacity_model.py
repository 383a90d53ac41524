"""Describe engines, their work and the orders of the planner."""

import enum

import msgspec
from baobabwharf_core.ids import EndpointId, FencingToken, ModelId, RegionId

# After a change an engine keeps its work for this long.
COOLDOWN_MS = 300_000


class OrderKind(enum.Enum):
    """Name what an engine is told to do."""

    DRAIN = 'drain'
    LOAD = 'load'


class Role(enum.Enum):
    """Name which phase of a request an engine runs."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


class Assignment(msgspec.Struct, frozen=True, order=True):
    """Name a model and the role in which an engine serves it."""

    model: ModelId
    role: str = Role.MIXED.value


class Order(msgspec.Struct, frozen=True):
    """Tell an engine what to do; an older fencing token is refused."""

    endpoint_id: EndpointId
    kind: OrderKind
    assignment: Assignment
    fencing_token: FencingToken


class Demand(msgspec.Struct, frozen=True):
    """State the slots that requests for a model need in a region."""

    region: RegionId
    assignment: Assignment
    slots: float


class Engine(msgspec.Struct, frozen=True):
    """State what an engine does; draining_to names its next work."""

    endpoint_id: EndpointId
    region: RegionId
    assignment: Assignment
    slots: int
    running: int
    usable: bool = True
    changed_ms: int = -COOLDOWN_MS
    draining_to: Assignment | None = None


class WeightStore(msgspec.Struct, frozen=True):
    """State what loading weights costs at the rate-limited store."""

    bytes_per_s: float
    model_bytes: dict[ModelId, int]


class PlanState(msgspec.Struct, frozen=True):
    """Remember since when a change is wanted and when the store is free."""

    shortage_since_ms: dict[tuple[RegionId, Assignment], int] = {}
    store_free_ms: int = 0
