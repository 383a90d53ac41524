"""Define the interface of a platform's header adapter."""

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
    """Hold the values that this VM adds to a request to an endpoint.

    urgency 0 is the most urgent.  resume_after is the id of the last event
    that the caller received, if a stream is resumed at another endpoint.
    """

    endpoint_id: EndpointId
    time_left_ms: int
    customer: DeployedCustomer | None
    urgency: int
    resume_after: int | None = None


class Dialect(abc.ABC):
    """Convert between a platform's headers and the types of the proxy."""

    @abc.abstractmethod
    def read_request(self, request: HttpRequest) -> RequestMetadata | None:
        """Return the metadata of a request, None if it is invalid."""

    @abc.abstractmethod
    def endpoint_headers(
        self, request: HttpRequest, send: SendMetadata
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    @abc.abstractmethod
    def forward_headers(self, request: HttpRequest) -> list[Header]:
        """Return the headers of a request forwarded to another VM.

        They do not contain the caller's key.
        """

    @abc.abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a response."""

    @abc.abstractmethod
    def refusal_headers(
        self, metadata: RequestMetadata | None, refusal: Refusal
    ) -> list[Header]:
        """Return the headers of a refusal, without Content-Length."""
