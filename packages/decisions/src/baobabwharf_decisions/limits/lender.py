"""Hold this VM's buckets and lend from them to other VMs."""

from collections import OrderedDict
from collections.abc import Callable
from typing import final

from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId, VmId

from baobabwharf_decisions.limits.bucket import HolderBucket
from baobabwharf_decisions.limits.messages import (
    BorrowReply,
    BorrowRequest,
    Grant,
    ReturnRequest,
)
from baobabwharf_decisions.limits.shares import Share
from baobabwharf_decisions.limits.units import LENDER_LIFETIME_MS

# Replies kept to answer resent requests.
_MAX_KEPT_REPLIES = 512


@final
class Lender:
    """Lend chunks; a resent request gets the same reply."""

    def __init__(
        self,
        share_of: Callable[[Customer], Share],
        own_need_of: Callable[[CustomerId], int],
        first_id: int,
        start_ms: int,
    ) -> None:
        self._share_of = share_of
        self._own_need_of = own_need_of
        self._last_id = first_id
        # Chunks lent by an earlier process may be spent until then.
        self.refill_from_ms = start_ms + LENDER_LIFETIME_MS
        self.share_epoch = 0
        self._customers: dict[CustomerId, Customer] = {}
        self._buckets: dict[CustomerId, HolderBucket] = {}
        self._replies: OrderedDict[tuple[VmId, int, int], BorrowReply] = (
            OrderedDict()
        )

    def configure(self, customers: dict[CustomerId, Customer]) -> None:
        """Apply the caps of a newer configuration revision."""
        self._customers = customers

    def invalidate_shares(self, now_ms: int) -> None:
        """Invalidate cached shares; later buckets refill from now_ms on."""
        self.share_epoch += 1
        self.refill_from_ms = max(self.refill_from_ms, now_ms)

    def next_id(self) -> int:
        """Return an id for a chunk or a reservation."""
        self._last_id += 1
        return self._last_id

    def bucket(
        self, customer_id: CustomerId, now_ms: int
    ) -> HolderBucket | None:
        """Return a customer's refilled bucket, None for an unknown customer."""
        customer = self._customers.get(customer_id)
        if customer is None:
            return None
        bucket = self._buckets.get(customer_id)
        key = (self.share_epoch, customer)
        if bucket is None:
            share = self._share_of(customer)
            # A new bucket counts as empty at the start of its refill.
            bucket = HolderBucket(share.rate, share.cap, self.refill_from_ms)
            bucket.share_key = key
            self._buckets[customer_id] = bucket
        elif bucket.share_key != key:
            share = self._share_of(customer)
            bucket.set_share(share.rate, share.cap, now_ms)
            bucket.share_key = key
        bucket.refill(now_ms)
        return bucket

    def borrow(self, request: BorrowRequest, now_ms: int) -> BorrowReply:
        """Lend what this VM does not need for its own requests."""
        key = (request.borrower, request.nonce, request.number)
        known = self._replies.get(key)
        if known is not None:
            return known
        grants = tuple(
            self._grant(ask.customer_id, ask.amount, now_ms)
            for ask in request.asks
        )
        reply = BorrowReply(request.nonce, request.number, grants)
        self._replies[key] = reply
        if len(self._replies) > _MAX_KEPT_REPLIES:
            self._replies.popitem(last=False)
        return reply

    def apply_return(self, request: ReturnRequest, now_ms: int) -> None:
        """Apply a borrower's reports on the chunks lent to it."""
        for returned in request.items:
            bucket = self.bucket(returned.customer_id, now_ms)
            if bucket is not None:
                bucket.apply_return(
                    returned.chunk_id,
                    returned.left,
                    returned.total,
                    returned.used,
                )

    def _grant(
        self, customer_id: CustomerId, amount: int, now_ms: int
    ) -> Grant:
        bucket = self.bucket(customer_id, now_ms)
        if bucket is None:
            return Grant(customer_id, 0, 0, 0)
        spare = max(0, bucket.level - self._own_need_of(customer_id))
        lent = min(amount, spare)
        chunk_id = self.next_id()
        if lent > 0:
            bucket.lend(chunk_id, lent, now_ms + LENDER_LIFETIME_MS)
        return Grant(customer_id, chunk_id, max(lent, 0), spare - lent)
