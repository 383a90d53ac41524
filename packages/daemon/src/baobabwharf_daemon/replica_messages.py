"""Describe the calls between VMs about the replicated state."""

import enum

import msgspec
from baobabwharf_core.changes import Change, ChangeOutcome
from baobabwharf_core.ids import RequestId, Revision, VmId
from baobabwharf_core.model import FleetConfig
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
    """Carry messages of one replica to another."""

    messages: tuple[Message, ...]


class Delivered(msgspec.Struct, frozen=True):
    """Confirm that messages arrived; answers travel as own messages."""


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask a replica how far it is and whom it follows."""

    sender: VmId


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Tell the stage of a replica and the leader that it knows."""

    stage: str
    leads: bool = False
    leader_id: VmId | None = None
    term: int = 0


class JoinRequest(msgspec.Struct, frozen=True):
    """Ask the leader to add a VM as learner; a rebuild has a new nonce."""

    vm_id: VmId
    nonce: int


class JoinReply(msgspec.Struct, frozen=True):
    """Tell whether the VM is a learner now; otherwise it asks again."""

    admitted: bool


class ReplyKind(enum.Enum):
    """Tell what became of an operation.

    REFUSED and NOT_LEADER: it was not run and never will be.
    OVERWRITTEN: it was dropped by a new leader, and may be sent again.
    UNKNOWN: it may still be run.
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
    """Answer an operation, or name the leader as far as known."""

    kind: ReplyKind
    answer: Answer | None = None
    leader_id: VmId | None = None
    sentence: str = ''


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the first answer to a request id."""

    request_id: RequestId


class OutcomeReply(msgspec.Struct, frozen=True):
    """Give the first answer, read after a majority confirmed the leader."""

    kind: ReplyKind
    outcome: ChangeOutcome | None = None
    leader_id: VmId | None = None


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for the configuration after a revision, -1 if there is none."""

    vm_id: VmId
    revision: int


class _WatchItem(msgspec.Struct, frozen=True, tag=True):
    """Tag each kind of item with its name."""


class ConfigSnapshot(_WatchItem, frozen=True, tag=True):
    """Carry a whole configuration and all tombstones."""

    config: FleetConfig
    tombstones: tuple[bytes, ...]


class ConfigDelta(_WatchItem, frozen=True, tag=True):
    """Carry the change that made a revision."""

    revision: Revision
    change: Change


class Withdrawals(_WatchItem, frozen=True, tag=True):
    """Carry digests of withdrawn keys; urgent ones come ahead of the log."""

    digests: tuple[bytes, ...]
    urgent: bool


class Confirmation(_WatchItem, frozen=True, tag=True):
    """Tell that a revision was the newest age_ms ago."""

    revision: Revision
    age_ms: int


WatchItem = ConfigSnapshot | ConfigDelta | Withdrawals | Confirmation


class WatchReply(msgspec.Struct, frozen=True):
    """Carry items in the order in which they apply."""

    items: tuple[WatchItem, ...]


class FetchReply(msgspec.Struct, frozen=True):
    """Carry a newer configuration, None if there is none."""

    snapshot: ConfigSnapshot | None
