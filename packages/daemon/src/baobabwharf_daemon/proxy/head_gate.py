"""Decide from the head of a request whether its body is kept."""

import abc
from typing import final

from baobabwharf_core.refusals import Refusal, RefusalCode
from expression import Error, Ok, Result

from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.http_call import HttpCall
from baobabwharf_daemon.proxy.http_messages import HttpRequest
from baobabwharf_daemon.proxy.ingress import (
    Ingress,
    RouteTableSource,
    read_forward_metadata,
)

# The customer that a request is counted for, empty if it needs no key.
HeadResult = Result[str, Refusal]


class HeadGate(abc.ABC):
    """Judge heads, and refuse requests whose body was not kept."""

    @abc.abstractmethod
    def check_head(self, head: HttpRequest) -> HeadResult:
        """Return who is to be charged for the body, or why it is refused."""

    @abc.abstractmethod
    def refuse(self, call: HttpCall, refusal: Refusal) -> None:
        """Answer a request that was not run."""


@final
class OpenGate(HeadGate):
    """Keep each body, of listeners without routes."""

    def check_head(self, head: HttpRequest) -> HeadResult:
        """Return that no key is needed."""
        return Ok('')

    def refuse(self, call: HttpCall, refusal: Refusal) -> None:
        """Answer with the status only."""
        call.respond(refusal.status, b'Refused', [], b'')


@final
class CallerGate(HeadGate):
    """Judge the requests of callers by path and key."""

    def __init__(
        self, ingress: Ingress, dialect: Dialect, table: RouteTableSource
    ) -> None:
        self._ingress = ingress
        self._dialect = dialect
        self._route_table = table

    def check_head(self, head: HttpRequest) -> HeadResult:
        """Return the customer of a request, or why it is refused."""
        table = self._route_table()
        if table is None:
            return Error(Refusal(RefusalCode.VM_NOT_READY, retry_after_ms=500))
        metadata = self._dialect.read_request(head)
        if metadata is None:
            return Error(Refusal(RefusalCode.INVALID_REQUEST))
        route = table.find(metadata.host, metadata.path)
        if route.is_error():
            return Error(route.error)
        customer = table.authenticate(route.ok, metadata.key)
        if customer.is_error():
            return Error(customer.error)
        return Ok('' if customer.ok is None else customer.ok.customer_id)

    def refuse(self, call: HttpCall, refusal: Refusal) -> None:
        """Answer a caller."""
        metadata = self._dialect.read_request(call.request)
        self._ingress.refuse_caller(call, metadata, refusal)


@final
class ForwardGate(HeadGate):
    """Judge requests that other VMs forward."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress

    def check_head(self, head: HttpRequest) -> HeadResult:
        """Return the customer that the other VM charged."""
        metadata = read_forward_metadata(head)
        if metadata is None:
            return Error(Refusal(RefusalCode.INVALID_REQUEST))
        customer = metadata.customer
        return Ok('' if customer is None else customer.customer_id)

    def refuse(self, call: HttpCall, refusal: Refusal) -> None:
        """Tell the other VM that the request was not run."""
        self._ingress.refuse_forwarded(call, refusal)
