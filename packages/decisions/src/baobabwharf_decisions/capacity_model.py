"""Define engines, their assignments and the orders of the planner."""

import enum

import msgspec
from baobabwharf_core.ids import EndpointId, FencingToken, ModelId, RegionId

# Minimum time between two changes of the assignment of an engine.
COOLDOWN_MS = 300_000


class OrderKind(enum.Enum):
    """Say what an engine is ordered to do."""

    DRAIN = 'drain'
    LOAD = 'load'


class Role(enum.Enum):
    """Say which phases of a request an engine runs."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


class Assignment(msgspec.Struct, frozen=True, order=True):
    """Pair a model with the role in which an engine serves it."""

    model: ModelId
    role: str = Role.MIXED.value


class Order(msgspec.Struct, frozen=True):
    """Give an order to an engine, which rejects an older fencing token."""

    endpoint_id: EndpointId
    kind: OrderKind
    assignment: Assignment
    fencing_token: FencingToken


class Demand(msgspec.Struct, frozen=True):
    """State the slots that requests for an assignment need in a region."""

    region: RegionId
    assignment: Assignment
    slots: float


class Engine(msgspec.Struct, frozen=True):
    """Hold the state of an engine; draining_to is its next assignment."""

    endpoint_id: EndpointId
    region: RegionId
    assignment: Assignment
    slots: int
    running: int
    usable: bool = True
    changed_ms: int = -COOLDOWN_MS
    draining_to: Assignment | None = None


class WeightStore(msgspec.Struct, frozen=True):
    """Describe the weight store: its bandwidth and the model sizes."""

    bytes_per_s: float
    model_bytes: dict[ModelId, int]


class PlanState(msgspec.Struct, frozen=True):
    """Record when each shortage began and when the weight store is free."""

    shortage_since_ms: dict[tuple[RegionId, Assignment], int] = {}
    store_free_ms: int = 0
