"""Decide whom to ask for tokens, and give back what is not needed."""

from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.model import Customer

from baobabwharf_decisions.limits.account import Account, Chunk, Estimate
from baobabwharf_decisions.limits.messages import (
    Action,
    Ask,
    BorrowReply,
    BorrowRequest,
    Returned,
    ReturnRequest,
    SendBorrow,
    SendReturn,
)
from baobabwharf_decisions.limits.shares import Share, ShareTable
from baobabwharf_decisions.limits.units import CHUNK_LIFETIME_MS

# A holder that gave no reply is not asked again for so long.
_BACKOFF_MS = 500
# A holder with less than this share of the need is not worth a message.
_WORTH_DIVISOR = 50


class _Sent(msgspec.Struct):
    to: VmId
    sent_ms: int
    asks: tuple[Ask, ...]


@final
class Borrower:
    """Hold asks under way and what goes back to holders."""

    def __init__(self, vm_id: VmId, nonce: int) -> None:
        self._vm_id = vm_id
        self._nonce = nonce
        self._last_number = 0
        self._sent: dict[int, _Sent] = {}
        self._asks: dict[VmId, list[Ask]] = {}
        self._returns: dict[VmId, list[Returned]] = {}
        self._silent_until: dict[VmId, int] = {}
        # Chunk to all that was returned of it; a resend repeats the total.
        self._totals: dict[tuple[VmId, int], tuple[int, int]] = {}

    def plan(
        self,
        account: Account,
        need: int,
        customer: Customer,
        table: ShareTable,
        now_ms: int,
    ) -> None:
        """Ask holders for an amount, those in this region first."""
        here = table.region_of(self._vm_id)
        holders = [
            holder
            for holder in table.holders(account.customer_id)
            if self._may_ask(holder, now_ms)
        ]
        near = [vm for vm in holders if table.region_of(vm) == here]
        far = [vm for vm in holders if table.region_of(vm) != here]
        for group in (near, far):
            have = {
                vm: available(account, vm, table.share(vm, customer), now_ms)
                for vm in group
            }
            need -= self._ask_group(account, have, need, now_ms)

    def expected(
        self,
        account: Account,
        customer: Customer,
        table: ShareTable,
        now_ms: int,
    ) -> tuple[int, int, int]:
        """Return what holders may lend: now, per ms, and at most."""
        level, rate, cap = 0, 0, 0
        for holder in table.holders(account.customer_id):
            if self._may_ask(holder, now_ms):
                share = table.share(holder, customer)
                level += available(account, holder, share, now_ms)
                rate += share.rate
                cap += share.cap
        return level, rate, cap

    def take_reply(
        self, reply: BorrowReply, now_ms: int
    ) -> tuple[tuple[CustomerId, Chunk | None, VmId, int, int], ...]:
        """Return per ask: customer, chunk, holder, level left, amount."""
        sent = self._sent.pop(reply.number, None)
        if sent is None or reply.nonce != self._nonce:
            return ()
        # The lifetime began at the latest when the request was sent.
        expires_ms = sent.sent_ms + CHUNK_LIFETIME_MS
        taken = []
        for ask, grant in zip(sent.asks, reply.grants, strict=True):
            chunk = None
            if grant.amount > 0 and expires_ms > now_ms:
                chunk = Chunk(grant.chunk_id, sent.to, expires_ms, grant.amount)
            taken.append(
                (ask.customer_id, chunk, sent.to, grant.level_left, ask.amount)
            )
        return tuple(taken)

    def take_failure(self, number: int, now_ms: int) -> tuple[Ask, ...]:
        """Leave a silent holder alone for a while; return the lost asks."""
        sent = self._sent.pop(number, None)
        if sent is None:
            return ()
        self._silent_until[sent.to] = now_ms + _BACKOFF_MS
        return sent.asks

    def give_back(
        self, customer_id: CustomerId, lender: VmId, chunk_id: int, amount: int
    ) -> None:
        """Return tokens of a chunk that is not held any more."""
        key = (lender, chunk_id)
        total = self._totals.get(key, (0, 0))[1] + amount
        self._totals[key] = (self._last_number, total)
        self._returns.setdefault(lender, []).append(
            Returned(customer_id, chunk_id, total)
        )
        if len(self._totals) > 4096:
            del self._totals[next(iter(self._totals))]

    def forget(self) -> None:
        """Drop asks under way; their replies may be of any age."""
        self._sent.clear()
        self._asks.clear()

    def drain(self, now_ms: int) -> list[Action]:
        """Return one message for each holder that has any."""
        actions: list[Action] = []
        for to, asks in self._asks.items():
            self._last_number += 1
            number = self._last_number
            self._sent[number] = _Sent(to, now_ms, tuple(asks))
            request = BorrowRequest(
                self._vm_id, self._nonce, number, tuple(asks)
            )
            actions.append(SendBorrow(to, request))
        for to, items in self._returns.items():
            message = ReturnRequest(self._vm_id, tuple(items))
            actions.append(SendReturn(to, message))
        self._asks.clear()
        self._returns.clear()
        return actions

    def _may_ask(self, holder: VmId, now_ms: int) -> bool:
        if holder == self._vm_id:
            return False
        return self._silent_until.get(holder, now_ms) <= now_ms

    def _ask_group(
        self, account: Account, have: dict[VmId, int], need: int, now_ms: int
    ) -> int:
        total = sum(have.values())
        if need <= 0 or total <= 0:
            return 0
        wanted = min(need, total)
        asked = 0
        for holder, level in have.items():
            amount = -(-wanted * level // total)
            if amount <= need // _WORTH_DIVISOR:
                continue
            ask = Ask(account.customer_id, amount)
            self._asks.setdefault(holder, []).append(ask)
            account.asked += amount
            account.estimates[holder] = Estimate(level - amount, now_ms)
            asked += amount
        return asked


def available(account: Account, holder: VmId, share: Share, now_ms: int) -> int:
    """Estimate what a holder has; an unknown one may be full."""
    known = account.estimates.get(holder)
    if known is None:
        return share.cap
    refilled = known.level + share.rate * (now_ms - known.at_ms)
    return max(0, min(share.cap, refilled))
