"""Queue requests by class and deadline with fairness among customers."""

import heapq
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec
from baobabwharf_core.ids import CustomerId, EndpointId, RequestId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestAttributes
from expression import Error, Ok, Result

PlacedT = TypeVar('PlacedT')

MAX_WAITING = 2000
MAX_WAITING_BYTES = 32 * 1024 * 1024
# Customers tried before a class counts as blocked: the first request of one
# customer may exclude the only endpoint with room.
_SCAN_CUSTOMERS = 4
# A request is refused early only if the expected wait exceeds the time left by
# this factor, because the expected wait is only an estimate.
_WAIT_MARGIN = 1.25
_MIN_RETRY_AFTER_MS = 100


class Ticket(msgspec.Struct, eq=False):
    """Hold a waiting request; times are on the clock of this VM, in ms."""

    attributes: RequestAttributes
    excluded: frozenset[EndpointId]
    due_ms: int
    latest_start_ms: int
    order: int
    done: bool = False

    def __lt__(self, other: 'Ticket') -> bool:
        """Order by due time, then by arrival."""
        return (self.due_ms, self.order) < (other.due_ms, other.order)


class Capacity(msgspec.Struct, frozen=True):
    """Describe the capacity of a queue: slots and mean service time in ms."""

    slots: int
    service_ms: float


class FairQueue:
    """Hold the tickets of one class; the least served customer is next."""

    def __init__(self, class_target_ms: int) -> None:
        self.class_target_ms = class_target_ms
        self.waiting = 0
        self._served: dict[CustomerId, float] = {}
        self._heaps: dict[CustomerId, list[Ticket]] = {}
        self._turns: list[tuple[float, int, CustomerId]] = []
        self._virtual_time = 0.0
        self._turn_order = 0

    @property
    def customers(self) -> int:
        """Return the number of customers with waiting requests."""
        return len(self._heaps)

    def waiting_of(self, customer_id: CustomerId) -> int:
        """Return the number of waiting requests of a customer."""
        return len(self._heaps.get(customer_id, ()))

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; a customer without a backlog has no share saved up."""
        customer_id = ticket.attributes.customer_id
        self.waiting += 1
        heap = self._heaps.get(customer_id)
        if heap is not None:
            heapq.heappush(heap, ticket)
            return
        self._heaps[customer_id] = [ticket]
        before = self._served.get(customer_id, 0.0)
        self._served[customer_id] = max(before, self._virtual_time)
        self._schedule_turn(customer_id)

    def charge(self, customer_id: CustomerId, tokens: float) -> None:
        """Charge tokens to a customer; a negative amount is a refund."""
        before = max(self._served.get(customer_id, 0.0), self._virtual_time)
        self._served[customer_id] = max(before + tokens, self._virtual_time)
        changed = self._served[customer_id] != before
        if changed and customer_id in self._heaps:
            self._schedule_turn(customer_id)

    def first_fit(
        self, fits: Callable[[Ticket], PlacedT | None]
    ) -> tuple[Ticket, PlacedT] | None:
        """Remove and return the first ticket that fits.

        Customers are tried in order of tokens served, least first.
        """
        tried: list[tuple[float, int, CustomerId]] = []
        found: tuple[Ticket, PlacedT] | None = None
        while found is None and len(tried) < _SCAN_CUSTOMERS:
            turn = self._next_turn()
            if turn is None:
                break
            tried.append(turn)
            ticket = self._heaps[turn[2]][0]
            placed = fits(ticket)
            if placed is not None:
                found = (ticket, placed)
        if tried:
            self._virtual_time = max(self._virtual_time, tried[0][0])
        if found is not None:
            tried.pop()
            self._serve(found[0])
        for turn in tried:
            heapq.heappush(self._turns, turn)
        return found

    def remove_where(
        self, should_remove: Callable[[Ticket], bool]
    ) -> list[Ticket]:
        """Remove and return all tickets for which the predicate is true."""
        removed: list[Ticket] = []
        for customer_id, heap in tuple(self._heaps.items()):
            rest = [ticket for ticket in heap if not should_remove(ticket)]
            if len(rest) < len(heap):
                removed.extend(
                    ticket for ticket in heap if should_remove(ticket)
                )
                self._replace_heap(customer_id, rest)
        self.waiting -= len(removed)
        return removed

    def decay_usage(self) -> None:
        """Halve the differences in served tokens while no request waits."""
        if self._heaps:
            return
        self._turns.clear()
        self._served = {
            customer_id: self._virtual_time + (served - self._virtual_time) / 2
            for customer_id, served in self._served.items()
            if served - self._virtual_time > 1
        }

    def _next_turn(self) -> tuple[float, int, CustomerId] | None:
        while self._turns:
            turn = heapq.heappop(self._turns)
            customer_id = turn[2]
            waits = customer_id in self._heaps
            if waits and turn[0] == self._served.get(customer_id):
                return turn
        return None

    def _serve(self, ticket: Ticket) -> None:
        customer_id = ticket.attributes.customer_id
        heap = self._heaps[customer_id]
        heapq.heappop(heap)
        self.waiting -= 1
        if not heap:
            self._heaps.pop(customer_id)
        self.charge(customer_id, cost(ticket.attributes))

    def _replace_heap(
        self, customer_id: CustomerId, rest: list[Ticket]
    ) -> None:
        heapq.heapify(rest)
        if rest:
            self._heaps[customer_id] = rest
        else:
            self._heaps.pop(customer_id)

    def _schedule_turn(self, customer_id: CustomerId) -> None:
        self._turn_order += 1
        turn = (self._served[customer_id], self._turn_order, customer_id)
        heapq.heappush(self._turns, turn)


class Admission:
    """Hold the queues of one service and model, one for each class."""

    def __init__(self) -> None:
        self._queues: list[FairQueue] = []
        self._last_order = 0
        self._bytes = 0
        self._waiting: dict[RequestId, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def blocked(self, class_target_ms: int) -> bool:
        """Return whether a request of this or a more urgent class waits."""
        return self.ahead(class_target_ms) > 0

    def ahead(self, class_target_ms: int) -> int:
        """Return how many requests of this and more urgent classes wait."""
        return sum(
            queue.waiting
            for queue in self._queues
            if queue.class_target_ms <= class_target_ms
        )

    @property
    def strictest_target_ms(self) -> int | None:
        """Return the first-token target of the most urgent known class."""
        return self._queues[0].class_target_ms if self._queues else None

    def most_urgent(self, class_target_ms: int) -> bool:
        """Return whether no known class is more urgent than this one."""
        return (
            not self._queues
            or class_target_ms <= self._queues[0].class_target_ms
        )

    def queue(self, class_target_ms: int) -> FairQueue:
        """Return the queue of the class with this first-token target."""
        for known in self._queues:
            if known.class_target_ms == class_target_ms:
                return known
        added = FairQueue(class_target_ms)
        self._queues.append(added)
        self._queues.sort(key=_rank)
        return added

    def offer(
        self,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        capacity: Capacity,
        deadline_at_ms: int,
        now_ms: int,
    ) -> Result[Ticket, Refusal]:
        """Queue a request, or refuse it as not executed."""
        queue = self.queue(attributes.first_token_ms)
        left_ms = deadline_at_ms - now_ms
        refusal = self._refusal(queue, attributes, capacity, left_ms)
        if refusal is not None:
            return Error(refusal)
        self._last_order += 1
        ticket = Ticket(
            attributes,
            excluded,
            now_ms + min(attributes.first_token_ms, left_ms),
            deadline_at_ms,
            self._last_order,
        )
        self._bytes += attributes.body_bytes
        self._waiting[attributes.request_id] = ticket
        queue.push(ticket)
        return Ok(ticket)

    def place(
        self, fits: Callable[[Ticket], PlacedT | None], now_ms: int
    ) -> Iterator[tuple[Ticket, PlacedT]]:
        """Remove and yield the tickets that fit, most urgent class first."""

        def fits_in_time(ticket: Ticket) -> PlacedT | None:
            if now_ms >= ticket.latest_start_ms:
                return None
            return fits(ticket)

        for queue in self._queues:
            found = queue.first_fit(fits_in_time) if queue.waiting else None
            while found is not None:
                self._forget(found[0])
                yield found
                found = queue.first_fit(fits_in_time)
            if queue.waiting:
                # A less urgent class must not overtake this one.
                return

    def expire(self, now_ms: int) -> list[tuple[Ticket, Refusal]]:
        """Remove and return the tickets whose deadline has passed."""
        refusal = Refusal(
            RefusalCode.DEADLINE_UNREACHABLE,
            detail='the deadline passed in the queue',
        )
        expired: list[tuple[Ticket, Refusal]] = []
        for queue in self._queues:
            for ticket in queue.remove_where(_has_expired(now_ms)):
                self._forget(ticket)
                expired.append((ticket, refusal))
        return expired

    def cancel(self, request_id: RequestId) -> None:
        """Remove the ticket of a caller that has disconnected."""
        ticket = self._waiting.get(request_id)
        if ticket is None:
            return
        queue = self.queue(ticket.attributes.first_token_ms)
        queue.remove_where(lambda other: other is ticket)
        self._forget(ticket)

    def charge(self, attributes: RequestAttributes, tokens: float) -> None:
        """Charge tokens to a customer in the class of the request."""
        self.queue(attributes.first_token_ms).charge(
            attributes.customer_id, tokens
        )

    def decay_usage(self) -> None:
        """Reduce old differences between customers while no request waits."""
        for queue in self._queues:
            queue.decay_usage()

    def _refusal(
        self,
        queue: FairQueue,
        attributes: RequestAttributes,
        capacity: Capacity,
        left_ms: int,
    ) -> Refusal | None:
        own = queue.waiting_of(attributes.customer_id)
        free = MAX_WAITING - len(self._waiting)
        free_bytes = MAX_WAITING_BYTES - self._bytes
        # A customer may hold at most as many places as are still free, so
        # that a burst from one customer always leaves room for the others.
        if own >= free or attributes.body_bytes > free_bytes:
            retry_ms = int(capacity.service_ms) + _MIN_RETRY_AFTER_MS
            return Refusal(
                RefusalCode.QUEUE_FULL,
                retry_after_ms=retry_ms,
                detail=f'{own} requests of this customer wait',
            )
        wait_ms = self._expected_wait(queue, own, capacity)
        late_ms = wait_ms - left_ms * _WAIT_MARGIN
        if late_ms < 0:
            return None
        return Refusal(
            RefusalCode.DEADLINE_UNREACHABLE,
            retry_after_ms=int(late_ms) + _MIN_RETRY_AFTER_MS,
            detail=f'the expected wait is {int(wait_ms)} ms',
        )

    def _expected_wait(
        self, queue: FairQueue, own: int, capacity: Capacity
    ) -> float:
        ahead = min(queue.waiting, (own + 1) * (queue.customers + 1))
        for other in self._queues:
            if other.class_target_ms < queue.class_target_ms:
                ahead += other.waiting
        return ahead * capacity.service_ms / max(1, capacity.slots)

    def _forget(self, ticket: Ticket) -> None:
        ticket.done = True
        self._bytes -= ticket.attributes.body_bytes
        self._waiting.pop(ticket.attributes.request_id, None)


def cost(attributes: RequestAttributes) -> float:
    """Return the tokens charged to the customer when a request starts."""
    return max(1.0, float(attributes.reserved_tokens))


def _rank(queue: FairQueue) -> int:
    return queue.class_target_ms


def _has_expired(now_ms: int) -> Callable[[Ticket], bool]:
    return lambda ticket: now_ms >= ticket.latest_start_ms
