"""Suspend queued requests until the dispatcher places or refuses them."""

import asyncio
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import ServiceId
from baobabwharf_core.refusals import Refusal
from baobabwharf_decisions.admission import Ticket
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_chooser import Candidate
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from expression import Error, Ok, Result

Placement = Result[Candidate, Refusal]


@final
class PlacementWaiters:
    """Hold one future for each queued request."""

    def __init__(
        self, clock: Clock, directory: EndpointDirectory, dispatcher: Dispatcher
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._dispatcher = dispatcher
        self._futures: dict[Ticket, asyncio.Future[Placement]] = {}

    async def wait(self, ticket: Ticket) -> Placement:
        """Wait until a queued request is placed or refused.

        Cancelling the wait removes the request from the queue.
        """
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket] = future
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(ticket, future)
            raise
        finally:
            self._futures.pop(ticket, None)

    def place_waiting(self, service: ServiceId) -> None:
        """Place queued requests of a service on endpoints with free slots."""
        now_ms = self._clock.now_ms()
        for ticket, candidate in self._dispatcher.place_waiting(
            service, now_ms
        ):
            self._resolve(ticket, Ok(candidate))

    def tick(self) -> None:
        """Refuse expired requests and place queued ones on free slots."""
        now_ms = self._clock.now_ms()
        for expired, refusal in self._dispatcher.expire(now_ms):
            self._resolve(expired, Error(refusal))
        for ticket, candidate in self._dispatcher.place_all_waiting(now_ms):
            self._resolve(ticket, Ok(candidate))

    def _resolve(self, ticket: Ticket, placement: Placement) -> None:
        future = self._futures.get(ticket)
        if future is not None and not future.done():
            future.set_result(placement)
        elif placement.is_ok():
            self._release(placement.ok)

    def _cancel(
        self, ticket: Ticket, future: asyncio.Future[Placement]
    ) -> None:
        self._dispatcher.cancel(ticket)
        if not future.done() or future.cancelled():
            return
        placement = future.result()
        if placement.is_ok():
            # The caller disconnected between placement and sending.
            self._release(placement.ok)

    def _release(self, candidate: Candidate) -> None:
        endpoint_id = candidate.endpoint.endpoint_id
        self._directory.release(endpoint_id, self._clock.now_ms())
