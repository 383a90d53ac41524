"""Run one VM's limit core, or a baseline, in the simulated world."""

import abc
from collections.abc import Callable
from typing import Any, final

from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.model import Customer, FleetConfig
from baobabwharf_decisions.limits import (
    Granted,
    LimitCore,
    Refused,
    SendBorrow,
)
from baobabwharf_decisions.limits.baselines import FixedBucket

from baobabwharf_testkit.limits_simulation import Network, VmClock, World

CUSTOMER = CustomerId('large')
TICK_US = 50_000
_TIMEOUT_US = 400_000
# Tells whether tokens were granted, and how to settle them.
Answer = Callable[[Callable[[int], None] | None], None]


class Node(abc.ABC):
    """Be one VM that can crash, restart and freeze."""

    def __init__(
        self,
        vm_id: str,
        world: World,
        network: Network,
        clock: VmClock,
    ) -> None:
        self.vm_id = vm_id
        self.world = world
        self.network = network
        self.clock = clock
        self.life = 0
        self.alive = True
        self._frozen_until_us = 0

    @property
    def now_ms(self) -> int:
        """Return what the VM's clock shows."""
        return self.clock.read_ms(self.world.now_us)

    @property
    def frozen(self) -> bool:
        """Tell whether the VM does not run now."""
        return self.world.now_us < self._frozen_until_us

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, after a freeze, or not if the VM died."""
        life = self.life
        if not self.alive:
            return
        if self.frozen:
            self.world.at(
                self._frozen_until_us, lambda: self._run_if(life, action)
            )
            return
        action()

    def freeze(self, length_us: int) -> None:
        """Stop for a while."""
        self._frozen_until_us = self.world.now_us + length_us

    def crash(self) -> None:
        """Lose all state and stop."""
        self.alive = False
        self.life += 1

    def restart(self) -> None:
        """Begin again without any state."""
        self.alive = True
        self.life += 1
        self.begin()

    @abc.abstractmethod
    def begin(self) -> None:
        """Start a process."""

    @abc.abstractmethod
    def request(self, tokens: int, wait_ms: int, answer: Answer) -> None:
        """Ask for tokens."""

    def _run_if(self, life: int, action: Callable[[], None]) -> None:
        if life == self.life:
            self.run(action)


@final
class LimitNode(Node):
    """Run the limit core of the daemon."""

    def begin(self) -> None:
        """Start a core and its ticks."""
        self.peers: dict[str, LimitNode]
        self.config: FleetConfig
        self.core = LimitCore(
            VmId(self.vm_id), self.now_ms + 1, self.now_ms, self.now_ms
        )
        self._answers: dict[int, Answer] = {}
        self.apply()
        self._tick(self.life)

    def apply(self) -> None:
        """Follow the configuration set by the test."""
        self._advance()
        self.core.configure(self.config)

    def request(self, tokens: int, wait_ms: int, answer: Answer) -> None:
        """Ask the core."""
        self._advance()
        ticket = self.core.request(CUSTOMER, tokens, wait_ms)
        self._answers[ticket] = answer
        self._act()

    def _advance(self) -> None:
        self.core.advance(self.now_ms, self.now_ms)

    def _tick(self, life: int) -> None:
        if life != self.life:
            return
        self.run(self._work)
        self.world.after(TICK_US, lambda: self._tick(life))

    def _work(self) -> None:
        self._advance()
        self.core.tick()
        self._act()
        for returns in self.core.borrower.drain_returns(self.now_ms):
            peer = self.peers[returns.to]
            self._send(peer, peer.take_back, returns.request)
        self._confirm()

    def _confirm(self) -> None:
        digest = self.core.book.newest.digest
        if self.world.rng.randrange(10) == 0:
            for peer in self.peers.values():
                self._send(peer, peer.confirmed, self.vm_id, digest)

    def spendable(self) -> int:
        """Return the micro-tokens that this VM could hand out right now."""
        if not self.alive or self.frozen:
            return 0
        self._advance()
        return self.core.spendable(CUSTOMER)

    def confirmed(self, origin: str, digest: bytes) -> None:
        """Take another VM's confirmation of its share table."""
        self._advance()
        self.core.confirm(VmId(origin), digest)

    def _send(
        self, to: 'LimitNode', method: Callable[..., None], *content: Any
    ) -> None:
        self.network.send(
            self.vm_id, to.vm_id, lambda: to.run(lambda: method(*content))
        )

    def _act(self) -> None:
        for action in self.core.drain():
            if isinstance(action, SendBorrow):
                peer = self.peers[action.to]
                self._send(peer, peer.lend, self.vm_id, action.request)
                self._expect(action.request.number)
            else:
                self._answer(action)

    def _expect(self, number: int) -> None:
        life = self.life

        def fail() -> None:
            if life == self.life:
                self.run(lambda: self._fail(number))

        self.world.after(_TIMEOUT_US, fail)

    def _fail(self, number: int) -> None:
        self._advance()
        self.core.borrow_failed(number)
        self._act()

    def lend(self, borrower: str, request: Any) -> None:
        """Answer a borrower."""
        self._advance()
        reply = self.core.lender.borrow(request, self.now_ms)
        peer = self.peers[borrower]
        self._send(peer, peer.take_reply, reply)

    def take_reply(self, reply: Any) -> None:
        """Take a holder's answer."""
        self._advance()
        self.core.borrowed(reply)
        self._act()

    def take_back(self, request: Any) -> None:
        """Take tokens that a borrower returns."""
        self._advance()
        self.core.lender.take_back(request, self.now_ms)

    def _answer(self, action: Granted | Refused) -> None:
        answer = self._answers.pop(action.ticket)
        if isinstance(action, Refused):
            answer(None)
            return
        reservation_id = action.reservation.reservation_id
        life = self.life

        def settle(used: int) -> None:
            if life == self.life:
                self.run(lambda: self._settle(reservation_id, used))

        answer(settle)

    def _settle(self, reservation_id: int, used: int) -> None:
        self._advance()
        self.core.settle(reservation_id, used)
        self._act()


@final
class FixedNode(Node):
    """Spend from a fixed part, at this VM or at the one with the ledger."""

    def begin(self) -> None:
        """Start with an empty bucket."""
        self.customer: Customer
        self.parts: int
        self.ledger: FixedNode | None
        self._bucket = FixedBucket(self.customer, self.parts, self.now_ms)

    def request(self, tokens: int, wait_ms: int, answer: Answer) -> None:
        """Ask the own bucket or the ledger, until the wait is over."""
        until_us = self.world.now_us + wait_ms * 1000
        self._try(tokens, until_us, _Once(answer))

    def _try(self, tokens: int, until_us: int, answer: '_Once') -> None:
        owner = self.ledger or self
        if owner is self:
            self._reserve(tokens, self, answer)
        else:
            self.network.send(
                self.vm_id,
                owner.vm_id,
                lambda: owner.run(lambda: owner._reserve(tokens, self, answer)),
            )
        retry_us = min(self.world.now_us + TICK_US, until_us)
        if owner is not self:
            retry_us = until_us
        self.world.at(
            max(retry_us, self.world.now_us + 1),
            lambda: self._again(tokens, until_us, answer),
        )

    def _again(self, tokens: int, until_us: int, answer: '_Once') -> None:
        if answer.done:
            return
        if self.world.now_us >= until_us:
            answer.give(None)
        else:
            self._try(tokens, until_us, answer)

    def _reserve(self, tokens: int, caller: Node, answer: '_Once') -> None:
        reservation_id = self._bucket.reserve(tokens, self.now_ms)
        if reservation_id is None:
            return
        life = self.life

        def settle(used: int) -> None:
            if life == self.life and self.alive:
                self._bucket.settle(reservation_id, tokens - used, self.now_ms)

        self.network.send(self.vm_id, caller.vm_id, lambda: answer.give(settle))


@final
class _Once:
    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self.done = False

    def give(self, settle: Callable[[int], None] | None) -> None:
        if not self.done:
            self.done = True
            self._answer(settle)
        elif settle is not None:
            settle(0)
