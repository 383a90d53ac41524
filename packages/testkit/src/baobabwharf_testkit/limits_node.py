"""Run one VM's limit core, or a baseline, in the simulation."""

import abc
from collections.abc import Callable
from typing import Any, final

from baobabwharf_core.fleet_config import Customer, FleetConfig
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_decisions.limits import (
    Granted,
    LimitCore,
    Refused,
    SendBorrow,
)
from baobabwharf_decisions.limits.baselines import FixedBucket

from baobabwharf_testkit.limits_simulation import Network, Simulation, VmClock

CUSTOMER_ID = CustomerId('large')
TICK_US = 50_000
_BORROW_TIMEOUT_US = 400_000
# Called with a function that settles the granted tokens, or None if refused.
ReservationCallback = Callable[[Callable[[int], None] | None], None]


class Node(abc.ABC):
    """Simulate one VM that can crash, restart and freeze."""

    def __init__(
        self,
        vm_id: str,
        simulation: Simulation,
        network: Network,
        clock: VmClock,
    ) -> None:
        self.vm_id = vm_id
        self.simulation = simulation
        self.network = network
        self.clock = clock
        self.generation = 0
        self.alive = True
        self._frozen_until_us = 0

    @property
    def now_ms(self) -> int:
        """Return the time of the VM's own clock."""
        return self.clock.read_ms(self.simulation.now_us)

    @property
    def frozen(self) -> bool:
        """Return whether the VM is frozen now."""
        return self.simulation.now_us < self._frozen_until_us

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, after a freeze, or never if the VM crashed."""
        generation = self.generation
        if not self.alive:
            return
        if self.frozen:
            self.simulation.call_at(
                self._frozen_until_us,
                lambda: self._run_if_same_generation(generation, action),
            )
            return
        action()

    def freeze(self, length_us: int) -> None:
        """Pause the VM for a duration."""
        self._frozen_until_us = self.simulation.now_us + length_us

    def crash(self) -> None:
        """Lose all state and stop."""
        self.alive = False
        self.generation += 1

    def restart(self) -> None:
        """Start again without any state."""
        self.alive = True
        self.generation += 1
        self.begin()

    @abc.abstractmethod
    def begin(self) -> None:
        """Start the process of the VM."""

    @abc.abstractmethod
    def request(
        self, tokens: int, wait_ms: int, callback: ReservationCallback
    ) -> None:
        """Request tokens and wait at most wait_ms for them."""

    def _run_if_same_generation(
        self, generation: int, action: Callable[[], None]
    ) -> None:
        if generation == self.generation:
            self.run(action)


@final
class LimitNode(Node):
    """Run the limit core of the daemon."""

    def begin(self) -> None:
        """Start a core and its periodic ticks."""
        self.peers: dict[str, LimitNode]
        self.config: FleetConfig
        self.core = LimitCore(
            VmId(self.vm_id), self.now_ms + 1, self.now_ms, self.now_ms
        )
        self._callbacks: dict[int, ReservationCallback] = {}
        self.apply()
        self._tick(self.generation)

    def apply(self) -> None:
        """Apply the configuration set by the test."""
        self._advance_clock()
        self.core.configure(self.config)

    def request(
        self, tokens: int, wait_ms: int, callback: ReservationCallback
    ) -> None:
        """Request tokens from the core."""
        self._advance_clock()
        ticket = self.core.request(CUSTOMER_ID, tokens, wait_ms)
        self._callbacks[ticket] = callback
        self._perform_actions()

    def _advance_clock(self) -> None:
        self.core.advance(self.now_ms, self.now_ms)

    def _tick(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.run(self._run_tick)
        self.simulation.call_later(TICK_US, lambda: self._tick(generation))

    def _run_tick(self) -> None:
        self._advance_clock()
        self.core.tick()
        self._perform_actions()
        for returns in self.core.borrower.drain_returns(self.now_ms):
            peer = self.peers[returns.to]
            self._send(peer, peer.receive_return, returns.request)
        self._broadcast_confirmation()

    def _broadcast_confirmation(self) -> None:
        digest = self.core.share_rollout.newest.digest
        if self.simulation.rng.randrange(10) == 0:
            for peer in self.peers.values():
                self._send(peer, peer.receive_confirmation, self.vm_id, digest)

    def spendable(self) -> int:
        """Return the micro-tokens that this VM could grant right now."""
        if not self.alive or self.frozen:
            return 0
        self._advance_clock()
        return self.core.spendable(CUSTOMER_ID)

    def receive_confirmation(self, origin: str, digest: bytes) -> None:
        """Record another VM's confirmation of its share table."""
        self._advance_clock()
        self.core.confirm(VmId(origin), digest)

    def _send(
        self, to: 'LimitNode', method: Callable[..., None], *content: Any
    ) -> None:
        self.network.send(
            self.vm_id, to.vm_id, lambda: to.run(lambda: method(*content))
        )

    def _perform_actions(self) -> None:
        for action in self.core.take_actions():
            if isinstance(action, SendBorrow):
                peer = self.peers[action.to]
                self._send(
                    peer,
                    peer.receive_borrow_request,
                    self.vm_id,
                    action.request,
                )
                self._schedule_borrow_timeout(action.request.number)
            else:
                self._deliver_outcome(action)

    def _schedule_borrow_timeout(self, number: int) -> None:
        generation = self.generation

        def fail() -> None:
            if generation == self.generation:
                self.run(lambda: self._fail_borrow(number))

        self.simulation.call_later(_BORROW_TIMEOUT_US, fail)

    def _fail_borrow(self, number: int) -> None:
        self._advance_clock()
        self.core.handle_borrow_failure(number)
        self._perform_actions()

    def receive_borrow_request(self, borrower: str, request: Any) -> None:
        """Handle a borrow request and send the reply."""
        self._advance_clock()
        reply = self.core.lender.borrow(request, self.now_ms)
        peer = self.peers[borrower]
        self._send(peer, peer.receive_borrow_reply, reply)

    def receive_borrow_reply(self, reply: Any) -> None:
        """Handle a lender's reply."""
        self._advance_clock()
        self.core.handle_borrow_reply(reply)
        self._perform_actions()

    def receive_return(self, request: Any) -> None:
        """Handle tokens that a borrower returns."""
        self._advance_clock()
        self.core.lender.apply_return(request, self.now_ms)

    def _deliver_outcome(self, action: Granted | Refused) -> None:
        callback = self._callbacks.pop(action.ticket)
        if isinstance(action, Refused):
            callback(None)
            return
        reservation_id = action.reservation.reservation_id
        generation = self.generation

        def settle(used: int) -> None:
            if generation == self.generation:
                self.run(lambda: self._settle(reservation_id, used))

        callback(settle)

    def _settle(self, reservation_id: int, used: int) -> None:
        self._advance_clock()
        self.core.settle(reservation_id, used)
        self._perform_actions()


@final
class FixedShareNode(Node):
    """Spend from a fixed share, held here or at the VM with the ledger."""

    def begin(self) -> None:
        """Start with an empty bucket."""
        self.customer: Customer
        self.share_count: int
        self.ledger: FixedShareNode | None
        self._bucket = FixedBucket(self.customer, self.share_count, self.now_ms)

    def request(
        self, tokens: int, wait_ms: int, callback: ReservationCallback
    ) -> None:
        """Try the local bucket or the ledger until the wait ends."""
        deadline_us = self.simulation.now_us + wait_ms * 1000
        self._try_reserve(tokens, deadline_us, _CallbackOnce(callback))

    def _try_reserve(
        self, tokens: int, deadline_us: int, callback: '_CallbackOnce'
    ) -> None:
        owner = self.ledger or self
        if owner is self:
            self._reserve(tokens, self, callback)
        else:
            self.network.send(
                self.vm_id,
                owner.vm_id,
                lambda: owner.run(
                    lambda: owner._reserve(tokens, self, callback)
                ),
            )
        retry_us = min(self.simulation.now_us + TICK_US, deadline_us)
        if owner is not self:
            retry_us = deadline_us
        self.simulation.call_at(
            max(retry_us, self.simulation.now_us + 1),
            lambda: self._retry(tokens, deadline_us, callback),
        )

    def _retry(
        self, tokens: int, deadline_us: int, callback: '_CallbackOnce'
    ) -> None:
        if callback.done:
            return
        if self.simulation.now_us >= deadline_us:
            callback.deliver(None)
        else:
            self._try_reserve(tokens, deadline_us, callback)

    def _reserve(
        self, tokens: int, caller: Node, callback: '_CallbackOnce'
    ) -> None:
        reservation_id = self._bucket.reserve(tokens, self.now_ms)
        if reservation_id is None:
            return
        generation = self.generation

        def settle(used: int) -> None:
            if generation == self.generation and self.alive:
                self._bucket.settle(reservation_id, tokens - used, self.now_ms)

        self.network.send(
            self.vm_id, caller.vm_id, lambda: callback.deliver(settle)
        )


@final
class _CallbackOnce:
    def __init__(self, callback: ReservationCallback) -> None:
        self._callback = callback
        self.done = False

    def deliver(self, settle: Callable[[int], None] | None) -> None:
        if not self.done:
            self.done = True
            self._callback(settle)
        elif settle is not None:
            settle(0)
