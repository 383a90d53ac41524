"""Define what every task of the daemon offers."""

import abc


class Task(abc.ABC):
    """Own sockets, files or state; other tasks only send messages."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Begin to work."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish the work at hand and release everything."""
