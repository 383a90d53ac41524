"""Define what an adapter supplies to read and write a platform's headers."""

import abc

import msgspec
from baobabwharf_core.deployment import DeployedCustomer
from baobabwharf_core.ids import EndpointId
from baobabwharf_core.refusals import Refusal

from baobabwharf_daemon.proxy.http_messages import (
    Header,
    HttpRequest,
    RequestMetadata,
    ResponseHead,
    ResponseMetadata,
)


class SendMetadata(msgspec.Struct, frozen=True):
    """Hold what this VM adds to a request that it sends to an endpoint.

    urgency 0 is the most urgent.  resume_after is the last event that the
    caller has, when a stream goes on at another endpoint.
    """

    endpoint_id: EndpointId
    time_left_ms: int
    customer: DeployedCustomer | None
    urgency: int
    resume_after: int | None = None


class Dialect(abc.ABC):
    """Translate between a platform's headers and the project's types."""

    @abc.abstractmethod
    def read_request(self, request: HttpRequest) -> RequestMetadata | None:
        """Return the facts of a request, None if it can't be read."""

    @abc.abstractmethod
    def endpoint_headers(
        self, request: HttpRequest, send: SendMetadata
    ) -> list[Header]:
        """Return the headers with which an endpoint gets a request."""

    @abc.abstractmethod
    def forward_headers(self, request: HttpRequest) -> list[Header]:
        """Return the headers with which another VM gets a request.

        They hold no key of the caller.
        """

    @abc.abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the facts of a reply."""

    @abc.abstractmethod
    def refusal_headers(
        self, metadata: RequestMetadata | None, refusal: Refusal
    ) -> list[Header]:
        """Return the headers of a refusal, except those of its body."""
