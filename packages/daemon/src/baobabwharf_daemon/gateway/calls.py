"""Define a validated request to an endpoint and the writer of its response."""

import abc
from collections.abc import Mapping

import msgspec
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import RequestAttributes
from expression import Ok, Result


class Call(msgspec.Struct, frozen=True):
    """Describe a request to an endpoint; it never contains the caller's key."""

    attributes: RequestAttributes = msgspec.field(name='facts')
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # True for the OpenAI API, false for plain services.
    completion: bool
    choices: int = 1


class Progress(msgspec.Struct):
    """Track the progress of a call, to charge tokens and to resume streams."""

    # True once an endpoint may have executed any part of the call.
    sent: bool = False
    # True once the complete response was received.
    complete: bool = False
    tokens: int = 0
    prompt_tokens: int = 0


def charged_tokens(attributes: RequestAttributes, progress: Progress) -> int:
    """Return the tokens to charge: all reserved ones for an unknown outcome."""
    if not progress.sent:
        return 0
    if not (progress.complete or progress.tokens):
        return attributes.reserved_tokens
    prompt = max(attributes.prompt_tokens, progress.prompt_tokens)
    return min(attributes.reserved_tokens, prompt + progress.tokens)


# Shared instance, since building a Result costs 6 µs.
ANSWERED: Result[None, Refusal] = Ok(None)


class ResponseWriter(abc.ABC):
    """Write the response to one call."""

    @property
    @abc.abstractmethod
    def headers_sent(self) -> bool:
        """Return whether status and headers were sent."""

    @abc.abstractmethod
    async def start_stream(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        """Send status and headers of a streamed response."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; wait if the receiver applies backpressure."""

    @abc.abstractmethod
    async def end_stream(self, chunk: bytes) -> None:
        """Send the last chunk of a streamed response and end the stream."""

    @abc.abstractmethod
    async def send_response(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the connection, so that the receiver detects truncation."""

    @abc.abstractmethod
    def close_after_response(self) -> None:
        """Close the connection after the response was sent."""
