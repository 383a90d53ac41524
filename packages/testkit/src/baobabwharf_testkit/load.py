"""Send calls as a caller that follows the list of entry VMs."""

import asyncio
import random
import ssl
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from baobabwharf_testkit.calls import (
    Call,
    CallKind,
    CheckResult,
    Outcome,
    Response,
    check_response,
)

_NS_PER_MS = 1_000_000
_MS_PER_S = 1000
_CALL_TIMEOUT_S = 60.0
_LIST_TIMEOUT_S = 2.0
_BACKOFF_MS = 100
_MAX_RETRY_DELAY_MS = 2000
_OK = 200
_FAILURES = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)
# Refusals after which a caller retries; the others are final.
_RETRYABLE_REFUSALS = frozenset(
    (
        'rate_exceeded',
        'queue_full',
        'deadline_unreachable',
        'no_endpoint',
        'link_saturated',
        'region_unreachable',
        'vm_stopping',
        'vm_not_ready',
        'retry_budget_empty',
        'claim_unavailable',
        'claim_running',
        'endpoint_failed',
    )
)


class EntryVms:
    """Follow GET /v1/entry-vms and fall back to the URLs given at start."""

    def __init__(
        self, initial_urls: tuple[str, ...], region: str, seed: int
    ) -> None:
        self._initial_urls = list(initial_urls)
        self._region = region
        self._random = random.Random(seed)
        self._ranked: list[str] = []
        self._valid_until_ms = 0.0

    @property
    def initial_urls(self) -> tuple[str, ...]:
        """Return the URLs that are used while no list is known."""
        return tuple(self._initial_urls)

    def drop(self, url: str) -> None:
        """Forget a VM until the next list names it again."""
        self._ranked = [other for other in self._ranked if other != url]
        self._initial_urls = [
            other for other in self._initial_urls if other != url
        ] + [url]
        self._valid_until_ms = 0.0

    async def choose(self, session: aiohttp.ClientSession) -> str:
        """Return the URL of the VM to use now."""
        if _now_ms() > self._valid_until_ms or not self._ranked:
            await self._refresh(session)
        return self._ranked[0] if self._ranked else self._initial_urls[0]

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
        for url in (*self._ranked, *self._initial_urls):
            document = await _fetch_entry_list(session, url)
            if document is not None and document['vms']:
                self._ranked = self._rank(document['vms'])
                self._valid_until_ms = _now_ms() + document['valid_ms']
                return

    def _rank(self, vms: list[dict[str, str]]) -> list[str]:
        """Shuffle the VMs of the own region; keep the order of the others."""
        own_region = [vm['url'] for vm in vms if vm['region'] == self._region]
        other_regions = [
            vm['url'] for vm in vms if vm['region'] != self._region
        ]
        self._random.shuffle(own_region)
        return own_region + other_regions


async def _fetch_entry_list(
    session: aiohttp.ClientSession, url: str
) -> dict[str, Any] | None:
    timeout = aiohttp.ClientTimeout(total=_LIST_TIMEOUT_S)
    list_url = f'{url}/v1/entry-vms'
    try:
        async with session.get(list_url, timeout=timeout) as response:
            content = await response.read()
            status = response.status
    except _FAILURES:
        return None
    if status != _OK:
        return None
    return msgspec.json.decode(content, type=dict[str, Any])


class Statistics:
    """Count outcomes and collect times for each kind of call."""

    def __init__(self) -> None:
        self.outcomes: dict[CallKind, Counter[Outcome]] = {}
        self.reasons: Counter[str] = Counter()
        self.first_token_ms: dict[CallKind, list[float]] = {}
        self.total_ms: dict[CallKind, list[float]] = {}
        self.wrong: list[str] = []

    def record(
        self, call: Call, result: CheckResult, response: Response
    ) -> None:
        """Record a call by its last response."""
        kind = call.kind
        self.outcomes.setdefault(kind, Counter())[result.outcome] += 1
        if result.outcome is Outcome.WRONG:
            self.wrong.append(f'{call.path}: {result.reason}')
        if result.outcome is not Outcome.COMPLETE:
            self.reasons[f'{kind.value}: {result.reason}'] += 1
            return
        self.total_ms.setdefault(kind, []).append(response.total_ms)
        if response.first_token_ms is not None:
            first = self.first_token_ms.setdefault(kind, [])
            first.append(response.first_token_ms)

    def count(self, *outcomes: Outcome) -> int:
        """Return the number of calls with these outcomes."""
        return sum(
            counts[outcome]
            for counts in self.outcomes.values()
            for outcome in outcomes
        )


class Caller:
    """Send the calls of one customer from one region."""

    def __init__(
        self,
        key: str,
        entries: EntryVms,
        context: ssl.SSLContext | bool,
        seed: int,
    ) -> None:
        self._entries = entries
        self._random = random.Random(seed)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=context, limit=0),
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
        )
        self._headers = {'Authorization': f'Bearer {key}'}

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_with_retries(
        self,
        call: Call,
        retry_timeout_ms: float = 10_000,
        on_response: Callable[[Call, Outcome], None] | None = None,
    ) -> tuple[CheckResult, Response]:
        """Send a call; retry it while that is safe, until the timeout."""
        deadline_ms = _now_ms() + retry_timeout_ms
        while True:
            response = await self.send(call)
            result = check_response(call, response)
            if on_response is not None:
                on_response(call, result.outcome)
            should_retry = _may_retry(call, result)
            if not should_retry or _now_ms() > deadline_ms:
                return result, response
            if _should_switch_vm(result):
                self._entries.drop(response.vm_url)
            await asyncio.sleep(self._retry_delay_ms(result) / _MS_PER_S)

    async def send(self, call: Call) -> Response:
        """Send a call once and return what was received."""
        response = Response(vm_url=await self._entries.choose(self._session))
        started = _now_ms()
        try:
            await self._exchange(call, response, started)
        except _FAILURES as error:
            response.transport_error = type(error).__name__
            response.unsent = isinstance(error, aiohttp.ClientConnectorError)
        response.total_ms = _now_ms() - started
        return response

    async def _exchange(
        self, call: Call, response: Response, started: float
    ) -> None:
        async with self._session.request(
            call.method,
            response.vm_url + call.path,
            data=call.body or None,
            headers=self._headers | call.headers,
        ) as http_response:
            response.status = http_response.status
            response.headers = {
                name.lower(): text
                for name, text in http_response.headers.items()
            }
            parts = []
            async for chunk in http_response.content.iter_any():
                if response.first_token_ms is None:
                    response.first_token_ms = _now_ms() - started
                parts.append(chunk)
            response.content = b''.join(parts)

    def _retry_delay_ms(self, result: CheckResult) -> float:
        if result.retry_after_ms:
            return min(result.retry_after_ms, _MAX_RETRY_DELAY_MS)
        return self._random.uniform(_BACKOFF_MS / 2, _BACKOFF_MS)


def _should_switch_vm(result: CheckResult) -> bool:
    if result.outcome in {Outcome.UNSENT, Outcome.BROKEN}:
        return True
    return result.reason in {'vm_stopping', 'vm_not_ready'}


def _may_retry(call: Call, result: CheckResult) -> bool:
    outcome = result.outcome
    if outcome is Outcome.UNSENT:
        return True
    if outcome is Outcome.REFUSED:
        return result.reason in _RETRYABLE_REFUSALS
    if outcome in {Outcome.BROKEN, Outcome.FAILED}:
        # An idempotency key makes a retry safe; reads are always safe.
        keyed = 'Idempotency-Key' in call.headers
        final = result.reason == 'claim_unknown'
        return (keyed and not final) or call.method == 'GET'
    return False


def _now_ms() -> float:
    return time.monotonic_ns() / _NS_PER_MS
