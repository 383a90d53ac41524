"""Define the interface of every task of the daemon."""

import abc


class Task(abc.ABC):
    """Own sockets, files or state that other tasks use only through calls."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start working."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish the current work and release all resources."""
