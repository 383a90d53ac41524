"""Define what the fuzzer needs to know of a boundary."""

import abc
import enum
from collections.abc import Sequence


class Encoding(enum.Enum):
    """Name the encoding of the messages at a boundary."""

    JSON = 'json'
    MSGPACK = 'msgpack'
    # HTTP heads, or files with frames.
    BYTES = 'bytes'


class Boundary(abc.ABC):
    """Take messages as the program does, and check what it made of them."""

    name: str
    encoding: Encoding

    @abc.abstractmethod
    def samples(self) -> Sequence[bytes]:
        """Return valid messages."""

    @abc.abstractmethod
    def accept(self, content: bytes) -> bool:
        """Return whether a message was accepted; raise if the program fails.

        What is accepted must be usable: it can be stored and sent on.
        """
