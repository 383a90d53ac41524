"""Define what every task of the daemon offers."""

import abc
import asyncio
from typing import Generic, TypeVar, final

MessageT = TypeVar('MessageT')


class Task(abc.ABC):
    """Own sockets, files or state; other tasks only send messages."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Begin to work."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish the work at hand and release everything."""


@final
class Mailbox(Generic[MessageT]):
    """Hold messages for one task up to a bound."""

    def __init__(self, bound: int) -> None:
        self._queue: asyncio.Queue[MessageT] = asyncio.Queue(bound)

    def offer(self, message: MessageT) -> bool:
        """Add a message unless the mailbox is full."""
        if self._queue.full():
            return False
        self._queue.put_nowait(message)
        return True

    async def receive(self) -> MessageT:
        """Wait for the next message."""
        return await self._queue.get()
