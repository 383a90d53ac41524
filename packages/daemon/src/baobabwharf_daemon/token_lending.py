"""Enforce customers' rate limits by lending tokens between VMs."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, final

from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import Reservation
from baobabwharf_decisions.limits import (
    BorrowReply,
    BorrowRequest,
    Granted,
    LimitCore,
    Refused,
    ReturnReply,
    ReturnRequest,
    SendBorrow,
)
from baobabwharf_decisions.membership import Summary
from expression import Error, Ok, Result

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import ConfigSource, LimitClient
from baobabwharf_daemon.membership_task import MembershipTask
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

BORROW_PATH = '/baobabwharf.Lending/Borrow'
RETURN_PATH = '/baobabwharf.Lending/Return'
SHARES_TOPIC = 'shares'
_TICK_S = 0.05
# Exceeds the round trip between the farthest regions; a later reply would be
# refused anyway, because its chunk would have expired.
_CALL_TIMEOUT_MS = 400

ReservationResult = Result[Reservation, Refusal]


@final
class _LendingService:
    """Serve the lending calls of other VMs."""

    def __init__(self, core: LimitCore, advance: Callable[[], None]) -> None:
        self._core = core
        self._advance = advance

    def register(self, server: RpcServer) -> None:
        server.register_unary(
            BORROW_PATH, BorrowRequest, BorrowReply, self._lend
        )
        server.register_unary(
            RETURN_PATH, ReturnRequest, ReturnReply, self._accept_returns
        )

    async def _lend(self, request: BorrowRequest) -> BorrowReply:
        self._advance()
        return self._core.lender.borrow(request, self._core.now_ms)

    async def _accept_returns(self, request: ReturnRequest) -> ReturnReply:
        self._advance()
        self._core.lender.apply_return(request, self._core.now_ms)
        return ReturnReply()


@final
class TokenLending(Task, LimitClient):
    """Reserve tokens, lending and borrowing them between VMs."""

    def __init__(
        self,
        vm_id: VmId,
        clock: Clock,
        client: RpcClient,
        config_source: ConfigSource,
        membership: MembershipTask,
    ) -> None:
        self._clock = clock
        self._client = client
        self._config_source = config_source
        self._membership = membership
        self._core = LimitCore(
            vm_id, clock.wall_ms(), clock.now_ms(), clock.wall_ms()
        )
        self._waiting: dict[int, asyncio.Future[ReservationResult]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._published_digest = b''
        membership.listeners.add_summary_listener(self._on_summary)

    @property
    def core(self) -> LimitCore:
        """Return the limit core, for operators and tests."""
        return self._core

    def register(self, server: RpcServer) -> None:
        """Serve Lending.Borrow and Lending.Return."""
        _LendingService(self._core, self._advance).register(server)

    async def start(self) -> None:
        """Start following the configuration and prefetching tokens."""
        self._configure()
        self._spawn(self._follow_config())
        self._spawn(self._tick_forever())

    async def stop(self) -> None:
        """Return borrowed chunks and stop."""
        self._advance()
        self._core.return_all_chunks()
        returns = [
            self._call(action.to, RETURN_PATH, action.request)
            for action in self._core.borrower.drain_returns(
                self._core.now_ms, at_once=True
            )
        ]
        await asyncio.gather(*returns)
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> ReservationResult:
        """Reserve tokens, waiting up to wait_ms to borrow missing ones."""
        self._advance()
        ticket = self._core.request(customer_id, tokens, wait_ms)
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._run_actions()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(ticket, future)
            raise

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Release the unused part of a reservation."""
        self._advance()
        self._core.settle(reservation.reservation_id, used_tokens)
        self._run_actions()

    def _cancel(
        self, ticket: int, future: asyncio.Future[ReservationResult]
    ) -> None:
        if self._waiting.pop(ticket, None) is not None:
            self._core.cancel(ticket)
        elif future.done() and not future.cancelled():
            granted = future.result()
            if granted.is_ok():
                self.settle(granted.ok, 0)

    def _advance(self) -> None:
        self._core.advance(self._clock.now_ms(), self._clock.wall_ms())

    def _configure(self) -> None:
        self._advance()
        self._core.configure(self._config_source.config)
        for summary in self._membership.summaries(SHARES_TOPIC):
            self._on_summary(summary)
        digest = self._core.share_rollout.newest.digest
        if digest != self._published_digest:
            self._published_digest = digest
            revision = self._config_source.config.revision
            self._membership.publish_summary(SHARES_TOPIC, revision, digest)

    def _on_summary(self, summary: Summary) -> None:
        if summary.topic == SHARES_TOPIC:
            self._advance()
            self._core.confirm(summary.origin, summary.payload)

    def _run_actions(self) -> None:
        for action in self._core.take_actions():
            if isinstance(action, SendBorrow):
                self._spawn(self._send_borrow(action))
            elif isinstance(action, Granted):
                self._resolve(action.ticket, Ok(action.reservation))
            elif isinstance(action, Refused):
                self._resolve(action.ticket, Error(action.refusal))

    def _resolve(self, ticket: int, outcome: ReservationResult) -> None:
        future = self._waiting.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def _send_borrow(self, action: SendBorrow) -> None:
        reply = await self._call(action.to, BORROW_PATH, action.request)
        self._advance()
        if isinstance(reply, BorrowReply) and reply.answers(action.request):
            self._core.handle_borrow_reply(reply)
        else:
            self._core.handle_borrow_failure(action.request.number)
        self._run_actions()

    async def _call(self, to: VmId, path: str, request: Any) -> Any:
        record = self._config_source.config.vms.get(to)
        if record is None:
            return None
        reply_type = BorrowReply if path == BORROW_PATH else ReturnReply
        outcome: Result[Any, Any] = await self._client.call(
            record.peer_address, path, request, reply_type, _CALL_TIMEOUT_MS
        )
        return outcome.ok if outcome.is_ok() else None

    async def _follow_config(self) -> None:
        changes = self._config_source.subscribe()
        while True:
            await changes.get()
            self._configure()

    async def _tick_forever(self) -> None:
        while True:
            self._advance()
            self._core.tick()
            self._run_actions()
            due_returns = self._core.borrower.drain_returns(self._core.now_ms)
            for returns in due_returns:
                self._spawn(
                    self._call(returns.to, RETURN_PATH, returns.request)
                )
            await asyncio.sleep(_TICK_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = spawn(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
