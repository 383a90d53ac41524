"""Define the interface of every task of the daemon."""

import abc


class Task(abc.ABC):
    """Run a part of the daemon that alone uses its sockets, files and state."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start working."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish the current work and release all resources."""
