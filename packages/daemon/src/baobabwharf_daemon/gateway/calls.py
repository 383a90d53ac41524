"""Describe one call on its way from the caller to an endpoint."""

import abc
from collections.abc import Mapping

import msgspec
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import RequestFacts
from expression import Ok, Result


class Call(msgspec.Struct, frozen=True):
    """Hold what an endpoint gets to see; no part of it holds the key."""

    facts: RequestFacts
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # True for the OpenAI interface, false for plain services.
    completion: bool
    choices: int = 1


class Progress(msgspec.Struct):
    """Track how far a call came, for settling and for resuming."""

    # True once an endpoint may have run any part of the call.
    sent: bool = False
    # True once the whole answer was received.
    complete: bool = False
    tokens: int = 0
    prompt_tokens: int = 0


def charged_tokens(facts: RequestFacts, progress: Progress) -> int:
    """Return the tokens to charge; an unknown outcome costs the bound."""
    if not progress.sent:
        return 0
    if not (progress.complete or progress.tokens):
        return facts.reserved_tokens
    prompt = max(facts.prompt_tokens, progress.prompt_tokens)
    return min(facts.reserved_tokens, prompt + progress.tokens)


# Built once, since building a Result costs 6 µs.
ANSWERED: Result[None, Refusal] = Ok(None)


class ResponseWriter(abc.ABC):
    """Take the answer to one call."""

    @property
    @abc.abstractmethod
    def headers_sent(self) -> bool:
        """Tell whether status and headers were sent."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers of a streamed answer."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the receiver is slow."""

    @abc.abstractmethod
    async def finish(self, chunk: bytes) -> None:
        """Send the last part of a streamed answer and its end."""

    @abc.abstractmethod
    async def answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Break the connection, so that a cut answer is recognised."""

    @abc.abstractmethod
    def close_after_answer(self) -> None:
        """Close the connection once the answer was sent."""
