"""Sync records in a thread, all that wait at once."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar, final

from baobabwharf_core.ids import LogIndex
from baobabwharf_decisions.consensus.messages import Persist
from expression import Result

from baobabwharf_daemon.replica_files import ReplicaFiles

# A commit index is recorded late and in bulk: without it a restarted replica
# serves an older state until it hears from a leader.
_COMMIT_MARK_S = 0.1

ResultT = TypeVar('ResultT')
CommitSource = Callable[[], LogIndex | None]
WrittenListener = Callable[[Result[int, str]], None]


@final
class ReplicaWriter:
    """Own the files of a replica and the thread that touches them."""

    def __init__(self, files: ReplicaFiles) -> None:
        self._files = files
        self._waiting: list[Persist] = []
        self._marked_commit = LogIndex(0)
        self._life = 0
        self._wake = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, 'replica-files')

    @property
    def files(self) -> ReplicaFiles:
        """Return the files; only call them through on_disk."""
        return self._files

    async def run_in_thread(self, work: Callable[[], ResultT]) -> ResultT:
        """Run blocking file work in the thread that owns the files."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._thread, work)

    def offer(self, request: Persist) -> None:
        """Queue records."""
        self._waiting.append(request)
        self._wake.set()

    def forget(self) -> None:
        """Drop queued records and the reports of those under way."""
        self._waiting = []
        self._marked_commit = LogIndex(0)
        self._life += 1

    async def run_forever(
        self, commit_source: CommitSource, listener: WrittenListener
    ) -> None:
        """Sync until cancelled; report each sync to the listener."""
        while True:
            await self._await_work()
            commit = commit_source()
            if commit is not None:
                await self._write(commit, listener)

    async def close(self) -> None:
        """Close the files and end the thread."""
        await self.run_in_thread(self._files.close)
        self._thread.shutdown(wait=False)

    async def _write(self, commit: LogIndex, listener: WrittenListener) -> None:
        requests = self._waiting
        self._waiting = []
        if not requests and commit <= self._marked_commit:
            return
        life = self._life
        written = await self.run_in_thread(
            lambda: self._files.write(requests, commit)
        )
        if life == self._life:
            self._marked_commit = commit
            listener(written)

    async def _await_work(self) -> None:
        try:
            async with asyncio.timeout(_COMMIT_MARK_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
