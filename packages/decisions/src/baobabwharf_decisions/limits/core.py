"""Reserve and settle the tokens of customers on one VM."""

from typing import final

from baobabwharf_core.fleet_config import Customer, FleetConfig
from baobabwharf_core.ids import CustomerId, VmId

from baobabwharf_decisions.limits.account import Account, Waiter
from baobabwharf_decisions.limits.borrower import Borrower
from baobabwharf_decisions.limits.ledger import Ledger
from baobabwharf_decisions.limits.lender import Lender
from baobabwharf_decisions.limits.messages import (
    Action,
    BorrowReply,
)
from baobabwharf_decisions.limits.reservation_queue import ReservationQueue
from baobabwharf_decisions.limits.shares import ShareRollout
from baobabwharf_decisions.limits.units import MICRO
from baobabwharf_decisions.membership.freeze import FreezeDetector

# Ids start at the nonce shifted by 28 bits, so that processes of one VM use
# different ids, which fit in 63 bits.
_NONCE_MASK = 0xFFFFFFFF
_NONCE_SHIFT = 28
# Holders cannot refill what may still be spent, so a chunk is reported when less
# than this percentage of the last reported amount is left.
_REPORT_PERCENT = 60


@final
class LimitCore:
    """Hold, lend and borrow tokens of all customers on one VM.

    The driver advances the time before each call and drains the actions after
    it.
    """

    def __init__(
        self, vm_id: VmId, nonce: int, now_ms: int, wall_ms: int
    ) -> None:
        self._vm_id = vm_id
        self._customers: dict[CustomerId, Customer] = {}
        self._freeze_detector = FreezeDetector(now_ms, wall_ms)
        self.share_rollout = ShareRollout(vm_id)
        self.lender = Lender(
            self.share_rollout.share,
            self._own_need,
            (nonce & _NONCE_MASK) << _NONCE_SHIFT,
            now_ms,
        )
        self.borrower = Borrower(vm_id, nonce)
        self._ledger = Ledger(self.lender, self.borrower)
        self._queue = ReservationQueue(
            self.lender, self.borrower, self._ledger, self.share_rollout
        )
        self._accounts: dict[CustomerId, Account] = {}
        self._now_ms = now_ms
        self._last_ticket = 0

    @property
    def now_ms(self) -> int:
        """Return the time of the last advance."""
        return self._now_ms

    def advance(self, now_ms: int, wall_ms: int) -> None:
        """Advance the time; after a process freeze all chunks are dropped."""
        self._now_ms = now_ms
        if self._freeze_detector.observe(now_ms, wall_ms):
            self.borrower.drop_in_flight()
            for account in self._accounts.values():
                account.chunks.clear()
                account.asked = 0

    def configure(self, config: FleetConfig) -> None:
        """Apply a newer configuration revision."""
        self._customers = config.customers
        self.lender.configure(config.customers)
        self._queue.configure(config.customers)
        if self.share_rollout.apply(config.vms):
            self.lender.invalidate_shares(self._now_ms)

    def confirm(self, vm_id: VmId, digest: bytes) -> None:
        """Record that a VM uses the share table with this digest."""
        if self.share_rollout.confirm(vm_id, digest):
            self.lender.invalidate_shares(self._now_ms)

    def request(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> int:
        """Request tokens; return a ticket that the resulting action carries."""
        self._last_ticket += 1
        ticket = self._last_ticket
        customer = self._customers.get(customer_id)
        if customer is None or tokens > customer.burst_tokens:
            self._queue.refuse_at_once(ticket, customer)
            return ticket
        account = self._account(customer_id)
        amount = tokens * MICRO
        account.note_demand(amount, self._now_ms)
        deadline_ms = self._now_ms + wait_ms
        account.waiters.append(Waiter(ticket, amount, deadline_ms))
        self._queue.serve(account, self._now_ms)
        if account.waiters:
            self._refill_account(account)
            self._queue.refuse_overdue(account, self._now_ms)
        return ticket

    def spendable(self, customer_id: CustomerId) -> int:
        """Return the micro-tokens that requests on this VM could spend now."""
        account = self._account(customer_id)
        self._ledger.drop_expired(account, self._now_ms)
        return self._ledger.balance(account, self._now_ms)

    def settle(self, reservation_id: int, used_tokens: int) -> None:
        """Settle a reservation and refund its unused tokens."""
        customer_id = self._ledger.customer_of(reservation_id)
        if customer_id is None:
            return
        account = self._account(customer_id)
        self._ledger.drop_expired(account, self._now_ms)
        used = used_tokens * MICRO
        self._ledger.settle(account, reservation_id, used, self._now_ms)
        self._queue.serve(account, self._now_ms)

    def cancel(self, ticket: int) -> None:
        """Drop a waiting request whose caller has disconnected."""
        for account in self._accounts.values():
            for waiter in tuple(account.waiters):
                if waiter.ticket == ticket:
                    account.waiters.remove(waiter)

    def tick(self) -> None:
        """Serve and refuse waiters, borrow, return; call about every 50 ms."""
        for account in tuple(self._accounts.values()):
            self._ledger.drop_expired(account, self._now_ms)
            self._queue.serve(account, self._now_ms)
            self._queue.refuse_overdue(account, self._now_ms)
            self._refill_account(account)
            surplus = account.borrowed - account.waiting
            surplus -= 2 * account.target_balance(self._now_ms)
            self._return_surplus(account, surplus)
            if account.is_idle(self._now_ms):
                del self._accounts[account.customer_id]

    def handle_borrow_reply(self, reply: BorrowReply) -> None:
        """Process a holder's reply to a borrow request."""
        for taken in self.borrower.match_reply(reply, self._now_ms):
            customer_id, chunk, holder, level_left, asked = taken
            account = self._account(customer_id)
            account.asked = max(0, account.asked - asked)
            account.note_level(holder, level_left, self._now_ms)
            if chunk is not None:
                account.add_chunk(chunk)
            self._ledger.drop_expired(account, self._now_ms)
            self._queue.serve(account, self._now_ms)
            if account.waiters:
                self._refill_account(account)

    def handle_borrow_failure(self, number: int) -> None:
        """Process the failure or timeout of a borrow request."""
        for ask in self.borrower.handle_failure(number, self._now_ms):
            account = self._account(ask.customer_id)
            account.asked = max(0, account.asked - ask.amount)

    def return_all_chunks(self) -> None:
        """Return all chunks to their holders before this VM stops."""
        for account in self._accounts.values():
            self._ledger.drop_expired(account, self._now_ms)
            self._return_surplus(account, account.borrowed)

    def take_actions(self) -> list[Action]:
        """Return the actions due now; token returns are taken separately."""
        return [
            *self._queue.take_actions(),
            *self.borrower.take_actions(self._now_ms),
        ]

    def _account(self, customer_id: CustomerId) -> Account:
        account = self._accounts.get(customer_id)
        if account is None:
            account = Account(customer_id, self._now_ms)
            self._accounts[customer_id] = account
        return account

    def _own_need(self, customer_id: CustomerId) -> int:
        account = self._accounts.get(customer_id)
        if account is None:
            return 0
        return account.target_balance(self._now_ms) + account.waiting

    def _refill_account(self, account: Account) -> None:
        customer = self._customers.get(account.customer_id)
        if customer is None:
            return
        target = account.target_balance(self._now_ms)
        own = self._ledger.balance(account, self._now_ms) - account.borrowed
        # The own bucket also covers demand that rises faster than replies arrive,
        # so only half of it counts.
        supply = account.borrowed + account.asked + own // 2
        need = target + account.waiting - supply
        if need > 0 and (account.waiters or need > target // 2):
            self.borrower.queue_asks(
                account, need, customer, self.share_rollout.newest, self._now_ms
            )

    def _return_surplus(self, account: Account, surplus: int) -> None:
        for chunk in tuple(account.chunks):
            # A spent chunk is ended as well, so that refill may replace it.
            if chunk.left <= max(surplus, 0):
                surplus -= chunk.left
                account.chunks.remove(chunk)
                self.borrower.end_chunk(account.customer_id, chunk)
            elif chunk.left < chunk.reported * _REPORT_PERCENT // 100:
                self.borrower.queue_report(account.customer_id, chunk, 0)
