"""Grant waiting requests in order and refuse those past their deadline."""

from typing import final

from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId
from baobabwharf_core.refusals import Refusal, RefusalCode

from baobabwharf_decisions.limits.account import Account, Waiter
from baobabwharf_decisions.limits.borrower import Borrower
from baobabwharf_decisions.limits.ledger import Ledger
from baobabwharf_decisions.limits.lender import Lender
from baobabwharf_decisions.limits.messages import Granted, Refused
from baobabwharf_decisions.limits.retry_after import retry_after_ms
from baobabwharf_decisions.limits.shares import ShareRollout

# Waiting requests of one customer; further ones are refused at once.
_MAX_WAITERS = 256


@final
class ReservationQueue:
    """Grant or refuse the waiting requests of all customers."""

    def __init__(
        self,
        lender: Lender,
        borrower: Borrower,
        ledger: Ledger,
        share_rollout: ShareRollout,
    ) -> None:
        self._lender = lender
        self._borrower = borrower
        self._ledger = ledger
        self._share_rollout = share_rollout
        self._customers: dict[CustomerId, Customer] = {}
        self._actions: list[Granted | Refused] = []

    def configure(self, customers: dict[CustomerId, Customer]) -> None:
        """Apply the caps of a newer configuration revision."""
        self._customers = customers

    def serve(self, account: Account, now_ms: int) -> None:
        """Grant requests in order while the tokens suffice."""
        while account.waiters:
            waiter = account.waiters[0]
            reservation = self._ledger.reserve(account, waiter.amount, now_ms)
            if reservation is None:
                return
            account.waiters.popleft()
            self._actions.append(Granted(waiter.ticket, reservation))

    def refuse_overdue(self, account: Account, now_ms: int) -> None:
        """Refuse requests past their deadline or beyond the queue limit."""
        overdue = [
            waiter
            for position, waiter in enumerate(account.waiters)
            if waiter.deadline_ms <= now_ms or position >= _MAX_WAITERS
        ]
        for waiter in overdue:
            account.waiters.remove(waiter)
            self._refuse(account, waiter, now_ms)

    def refuse_at_once(self, ticket: int, customer: Customer | None) -> None:
        """Refuse a request that no refill covers or whose customer is unknown.

        An unknown customer has no configuration on this VM.
        """
        refusal = Refusal(
            RefusalCode.VM_NOT_READY, detail='The customer is not known yet.'
        )
        if customer is not None:
            refusal = Refusal(
                RefusalCode.REQUEST_ABOVE_BURST,
                detail=f'The burst is {customer.burst_tokens} tokens.',
            )
        self._actions.append(Refused(ticket, refusal))

    def take_actions(self) -> list[Granted | Refused]:
        """Return the grants and refusals since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def _refuse(self, account: Account, waiter: Waiter, now_ms: int) -> None:
        customer = self._customers.get(account.customer_id)
        if customer is None:
            self.refuse_at_once(waiter.ticket, None)
            return
        wait_ms = retry_after_ms(
            waiter.amount,
            account.borrowed,
            self._lender.bucket(account.customer_id, now_ms),
            self._borrower.expected_supply(
                account, customer, self._share_rollout.newest, now_ms
            ),
        )
        refusal = Refusal(RefusalCode.RATE_EXCEEDED, retry_after_ms=wait_ms)
        self._actions.append(Refused(waiter.ticket, refusal))
