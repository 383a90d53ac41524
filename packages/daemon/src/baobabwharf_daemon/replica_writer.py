"""Write and sync records in a thread, batching those that wait."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar, final

from baobabwharf_core.ids import LogIndex
from baobabwharf_decisions.consensus.messages import Persist
from expression import Result

from baobabwharf_daemon.replica_files import ReplicaFiles

# Longest delay before a new commit index is recorded; several share one write.
# Without a recorded commit index, a restarted replica serves an older state
# until it hears from a leader.
_COMMIT_RECORD_INTERVAL_S = 0.1

ResultT = TypeVar('ResultT')
CommitSource = Callable[[], LogIndex | None]
WriteListener = Callable[[Result[int, str]], None]


@final
class ReplicaWriter:
    """Own the files of a replica and the thread that accesses them."""

    def __init__(self, files: ReplicaFiles) -> None:
        self._files = files
        self._queued: list[Persist] = []
        self._recorded_commit = LogIndex(0)
        self._epoch = 0
        self._records_queued = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, 'replica-files')

    @property
    def files(self) -> ReplicaFiles:
        """Return the files; call their methods only through run_in_thread."""
        return self._files

    async def run_in_thread(self, work: Callable[[], ResultT]) -> ResultT:
        """Run blocking file work in the thread that owns the files."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, work)

    def enqueue(self, request: Persist) -> None:
        """Queue records to be written."""
        self._queued.append(request)
        self._records_queued.set()

    def discard_pending(self) -> None:
        """Drop queued records and ignore the result of a write in progress."""
        self._queued = []
        self._recorded_commit = LogIndex(0)
        self._epoch += 1

    async def run_forever(
        self, commit_source: CommitSource, listener: WriteListener
    ) -> None:
        """Write until cancelled; report each result to the listener."""
        while True:
            await self._wait_for_records()
            commit = commit_source()
            if commit is not None:
                await self._write(commit, listener)

    async def close(self) -> None:
        """Close the files and stop the thread."""
        await self.run_in_thread(self._files.close)
        self._executor.shutdown(wait=False)

    async def _write(self, commit: LogIndex, listener: WriteListener) -> None:
        requests = self._queued
        self._queued = []
        if not requests and commit <= self._recorded_commit:
            return
        epoch = self._epoch
        result = await self.run_in_thread(
            lambda: self._files.write(requests, commit)
        )
        if epoch == self._epoch:
            self._recorded_commit = commit
            listener(result)

    async def _wait_for_records(self) -> None:
        try:
            async with asyncio.timeout(_COMMIT_RECORD_INTERVAL_S):
                await self._records_queued.wait()
        except TimeoutError:
            return
        self._records_queued.clear()
