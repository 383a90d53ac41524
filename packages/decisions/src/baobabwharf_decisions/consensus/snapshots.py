"""Send and receive snapshots in chunks."""

import msgspec
from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus.messages import (
    CompactionThreshold,
    Snapshot,
    SnapshotAnswer,
    SnapshotChunk,
)
from baobabwharf_decisions.consensus.replica import (
    Progress,
    Replica,
    mark_dirty,
    send,
    send_now,
)

# While members catch up, compaction is deferred until the log reaches this
# multiple of the compaction threshold.
_MAX_DEFERRAL_FACTOR = 8


def send_chunk_when_idle(
    replica: Replica, member: VmId, progress: Progress
) -> None:
    """Send the next chunk unless one is in flight."""
    if progress.inflight:
        return
    snapshot = progress.snapshot or replica.log.snapshot
    progress.snapshot = snapshot
    end = progress.snapshot_offset + replica.options.chunk_bytes
    chunk_payload = snapshot.payload[progress.snapshot_offset : end]
    chunk = SnapshotChunk(
        replica.vm_id,
        replica.term,
        msgspec.structs.replace(snapshot, payload=chunk_payload),
        progress.snapshot_offset,
        len(snapshot.payload),
        progress.session,
    )
    progress.inflight = 1
    progress.sent_ms = replica.now_ms
    send(replica, member, chunk)


def on_snapshot_answer(replica: Replica, answer: SnapshotAnswer) -> bool:
    """Continue a transfer; return true once the snapshot is installed."""
    progress = replica.progress.get(answer.sender)
    if progress is None or progress.session != answer.session:
        return False
    progress.heard_ms = replica.now_ms
    sent = progress.snapshot
    if sent is None or sent.last_index != answer.last_index:
        return False
    progress.inflight = 0
    if answer.installed:
        _record_installed(progress, answer.last_index)
        return True
    progress.snapshot_offset = answer.next_offset
    send_chunk_when_idle(replica, answer.sender, progress)
    return False


def exceeds_threshold(
    replica: Replica, index: LogIndex, threshold: CompactionThreshold
) -> bool:
    """Return whether the log up to an applied index exceeds a threshold."""
    entries = index - replica.log.snapshot.last_index
    size_bytes = replica.log.size_up_to(index)
    return entries >= threshold.entries or size_bytes >= threshold.size_bytes


def should_defer_compaction(
    replica: Replica, index: LogIndex, threshold: CompactionThreshold
) -> bool:
    """Return whether to defer compaction for a member that is catching up.

    Without deferral, a member whose snapshot transfer takes longer than the
    leader takes to fill its log would be sent one snapshot after another and
    never catch up.
    """
    longest = CompactionThreshold(
        threshold.entries * _MAX_DEFERRAL_FACTOR,
        threshold.size_bytes * _MAX_DEFERRAL_FACTOR,
    )
    if exceeds_threshold(replica, index, longest):
        return False
    oldest_ms = replica.now_ms - replica.options.election_ms
    caught_up = CompactionThreshold(
        threshold.entries // 2, threshold.size_bytes // 2
    )
    return any(
        progress.heard_ms >= oldest_ms
        and not exceeds_threshold(replica, progress.match_index, caught_up)
        for progress in replica.progress.values()
    )


def collect_chunk(replica: Replica, chunk: SnapshotChunk) -> None:
    """Collect chunks in order, and install the snapshot when complete."""
    snapshot = chunk.snapshot
    if snapshot.last_index <= replica.commit:
        _answer(replica, chunk, chunk.total_bytes, installed=True)
        return
    if snapshot.last_index != replica.snapshot_buffer_index:
        replica.snapshot_buffer_index = snapshot.last_index
        replica.snapshot_buffer = bytearray()
    if chunk.offset == len(replica.snapshot_buffer):
        replica.snapshot_buffer.extend(snapshot.payload)
    if len(replica.snapshot_buffer) < chunk.total_bytes:
        _answer(replica, chunk, len(replica.snapshot_buffer), installed=False)
        return
    payload = bytes(replica.snapshot_buffer)
    replica.snapshot_buffer = bytearray()
    replica.snapshot_buffer_index = LogIndex(0)
    install(replica, msgspec.structs.replace(snapshot, payload=payload))
    _answer(replica, chunk, chunk.total_bytes, installed=True)


def install(replica: Replica, snapshot: Snapshot) -> None:
    """Replace the state of this replica with a received snapshot."""
    replica.durable_index = LogIndex(0)
    replica.pending_syncs = []
    replace_prefix(replica, snapshot)
    replica.commit = snapshot.last_index
    replica.delivered = snapshot.last_index
    replica.restore = snapshot


def replace_prefix(replica: Replica, snapshot: Snapshot) -> None:
    """Replace the log up to a snapshot, and mark the result dirty."""
    check_invariant(
        snapshot.last_index > replica.log.snapshot.last_index,
        'A snapshot is not newer than the one it replaces.',
    )
    replica.log.replace_prefix(snapshot)
    replica.new_snapshot = snapshot
    mark_dirty(replica, LogIndex(snapshot.last_index + 1))


def _record_installed(progress: Progress, index: LogIndex) -> None:
    progress.match_index = max(progress.match_index, index)
    progress.next_index = max(progress.next_index, LogIndex(index + 1))
    progress.snapshot = None
    progress.snapshot_offset = 0
    progress.probing = True


def _answer(
    replica: Replica, chunk: SnapshotChunk, offset: int, *, installed: bool
) -> None:
    answer = SnapshotAnswer(
        replica.vm_id,
        replica.term,
        chunk.snapshot.last_index,
        offset,
        installed,
        chunk.session,
    )
    if installed:
        send(replica, chunk.sender, answer)
    else:
        send_now(replica, chunk.sender, answer)
