"""Announce a simulated endpoint to the VMs and renew its lease."""

import asyncio
import logging
import random
import ssl
from collections import deque

import aiohttp
import msgspec
from baobabwharf_core.announcements import (
    ANNOUNCE_PATH,
    HEARTBEAT_PATH,
    Announcement,
    CacheEvent,
    Capabilities,
    Heartbeat,
    LeaseAnswer,
)
from baobabwharf_core.ids import (
    EndpointId,
    Incarnation,
    ModelId,
    RegionId,
    ServiceId,
    ZoneId,
)

from baobabwharf_testkit.endpoint_engine import Engine, LoadHistory
from baobabwharf_testkit.endpoint_model import (
    EndpointKind,
    EndpointSettings,
    Faults,
)

_LOG = logging.getLogger('baobabwharf.testkit.endpoint')
# A third of the lease, so that the lease survives a failover to another VM.
_CALL_TIMEOUT_S = 1.0
_RETRY_S = 0.2
_DEFAULT_HEARTBEAT_MS = 1000
_MS_PER_S = 1000
_FAILURES = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)


def build_announcement(
    settings: EndpointSettings, url: str, incarnation: int
) -> Announcement:
    """Return the announcement for the settings."""
    is_engine = settings.kind is EndpointKind.ENGINE
    return Announcement(
        endpoint_id=EndpointId(settings.endpoint_id),
        service=ServiceId(settings.service),
        region=RegionId(settings.region),
        zone=ZoneId(settings.zone),
        url=settings.announced_url or url,
        incarnation=Incarnation(incarnation),
        models=tuple(ModelId(model) for model in settings.models),
        adapters=settings.adapters,
        capabilities=Capabilities(
            priority=settings.priority and is_engine,
            cancel=settings.cancel and is_engine,
            resume=settings.resume and is_engine,
            kv_transfer=is_engine,
            checks_fencing=settings.checks_fencing and is_engine,
        ),
        slots=settings.slots,
        tokens_per_s=settings.tokens_per_s,
        prefill_tokens_per_s=settings.prefill_tokens_per_s,
    )


class CacheEventFeed:
    """Delay cache events and drop a seeded random share of them."""

    def __init__(self, settings: EndpointSettings) -> None:
        self._delay_ms = settings.cache_event_delay_ms
        self._loss_share = settings.cache_event_loss
        self._random = random.Random(settings.seed)
        self._pending: deque[tuple[int, CacheEvent]] = deque()

    def add(self, events: list[CacheEvent], now_ms: int) -> None:
        """Queue new events."""
        for event in events:
            if self._random.random() >= self._loss_share:
                self._pending.append((now_ms, event))

    def take_due(self, now_ms: int) -> tuple[CacheEvent, ...]:
        """Remove and return the events that are old enough to be reported."""
        ready = []
        while self._pending and now_ms - self._pending[0][0] >= self._delay_ms:
            ready.append(self._pending.popleft()[1])
        return tuple(ready)


class Announcer:
    """Renew the lease of the endpoint; fail over between the VMs."""

    def __init__(
        self,
        settings: EndpointSettings,
        announcement: Announcement,
        engine: Engine,
        history: LoadHistory,
        faults: Faults,
    ) -> None:
        self._settings = settings
        self._announcement = announcement
        self._engine = engine
        self._history = history
        self._faults = faults
        self._feed = CacheEventFeed(settings)
        self._urls = list(settings.vm_urls)
        self._sequence = 0
        self._leaving = False
        self._registered = asyncio.Event()

    @property
    def registered(self) -> bool:
        """Return whether a VM holds a lease of this endpoint."""
        return self._registered.is_set()

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint has announced that it leaves."""
        return self._leaving

    async def run(self) -> None:
        """Announce and send heartbeats until cancelled."""
        async with self._session() as session:
            while True:
                wait_ms = await self._renew_or_rotate(session)
                await asyncio.sleep(wait_ms / _MS_PER_S)

    async def leave(self) -> None:
        """Announce to one VM that the endpoint leaves."""
        self._leaving = True
        async with self._session() as session:
            for _ in self._urls:
                heartbeat = self._heartbeat()
                lease_answer = await self._post(
                    session, HEARTBEAT_PATH, heartbeat
                )
                if lease_answer is not None:
                    return
                self._rotate_urls()

    def _session(self) -> aiohttp.ClientSession:
        context: ssl.SSLContext | bool = True
        if self._settings.ca_file:
            context = ssl.create_default_context(cafile=self._settings.ca_file)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=context),
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            headers={'Authorization': f'Bearer {self._settings.endpoint_key}'},
        )

    async def _renew_or_rotate(self, session: aiohttp.ClientSession) -> float:
        if self._faults.hold_heartbeats:
            return _DEFAULT_HEARTBEAT_MS
        lease_answer = await self._renew(session)
        if lease_answer is None:
            self._registered.clear()
            self._rotate_urls()
            return _RETRY_S * _MS_PER_S
        self._registered.set()
        self._update_urls(lease_answer)
        return lease_answer.heartbeat_ms

    async def _renew(
        self, session: aiohttp.ClientSession
    ) -> LeaseAnswer | None:
        if not self.registered:
            announced = await self._post(
                session, ANNOUNCE_PATH, self._announcement
            )
            if announced is None:
                return None
        return await self._post(session, HEARTBEAT_PATH, self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        now = int(asyncio.get_running_loop().time() * _MS_PER_S)
        self._feed.add(self._engine.cache.take_events(), now)
        self._sequence += 1
        return Heartbeat(
            endpoint_id=self._announcement.endpoint_id,
            incarnation=self._announcement.incarnation,
            sequence=self._sequence,
            load=self._history.lagged(),
            cache_events=self._feed.take_due(now),
            leaving=self._leaving,
        )

    async def _post(
        self,
        session: aiohttp.ClientSession,
        path: str,
        message: Announcement | Heartbeat,
    ) -> LeaseAnswer | None:
        if not self._urls:
            return None
        url = self._urls[0] + path
        try:
            return await self._exchange(session, url, message)
        except _FAILURES as error:
            _LOG.info('testkit: no lease from %s: %r', url, error)
            return None

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        url: str,
        message: Announcement | Heartbeat,
    ) -> LeaseAnswer | None:
        headers = {'Content-Type': 'application/json'}
        payload = msgspec.json.encode(message)
        async with session.post(url, data=payload, headers=headers) as response:
            content = await response.read()
            if response.status >= 300:
                _LOG.info(
                    'testkit: no lease from %s: status %s: %s',
                    url,
                    response.status,
                    content,
                )
                return None
            return msgspec.json.decode(content, type=LeaseAnswer)

    def _rotate_urls(self) -> None:
        self._urls = self._urls[1:] + self._urls[:1]

    def _update_urls(self, lease_answer: LeaseAnswer) -> None:
        urls = self._urls[:1]
        for url in (*lease_answer.vm_urls, *self._settings.vm_urls):
            if url not in urls:
                urls.append(url)
        self._urls = urls
