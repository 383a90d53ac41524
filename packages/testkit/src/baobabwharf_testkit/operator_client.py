"""Call the operator interface of a fleet."""

import asyncio
import hashlib
import secrets
import ssl
import uuid
from typing import Any

import aiohttp
import msgspec
from baobabwharf_core.changes import (
    Change,
    ChangeCode,
    ChangeOutcome,
    ChangeRequest,
)
from baobabwharf_core.ids import RequestId, Revision

_FAILURES = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)
_CALL_TIMEOUT_S = 12.0
_RETRY_S = 0.2


def key_digest(secret: str) -> bytes:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(secret.encode()).digest()


def new_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(32)


def new_request_id() -> RequestId:
    """Return a request id for a change."""
    return RequestId(f'op-{uuid.uuid4()}')


class FleetAnswer(ChangeOutcome, frozen=True):
    """Report also whether all live VMs confirmed the change.

    in_force is None if the answer did not wait for the fleet.
    """

    in_force: bool | None = None
    behind: tuple[str, ...] = ()


class OperatorClient:
    """Send changes to any VM that answers."""

    def __init__(
        self, urls: tuple[str, ...], token: str, ca_file: str | None = None
    ) -> None:
        self._urls = list(urls)
        self._headers = {'Authorization': f'Bearer {token}'}
        self._ca_file = ca_file
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def change(
        self,
        change: Change,
        *,
        request_id: RequestId | None = None,
        expected: Revision | None = None,
        wait_ms: int = 0,
        attempts: int = 10,
    ) -> FleetAnswer:
        """Submit a change; resend under the same id until it is answered."""
        request = ChangeRequest(
            request_id or new_request_id(), change, expected
        )
        outcome = FleetAnswer(
            request.request_id, ChangeCode.UNKNOWN, Revision(0), 'No answer.'
        )
        for _ in range(attempts):
            answered = await self._send(request, wait_ms)
            outcome = answered or outcome
            if outcome.code not in {
                ChangeCode.UNKNOWN,
                ChangeCode.NOT_ACCEPTED,
            }:
                return outcome
            self._urls = self._urls[1:] + self._urls[:1]
            await asyncio.sleep(_RETRY_S)
        return outcome

    async def get(self, path: str) -> Any:
        """Return the JSON response of the first VM that answers, or None."""
        for url in tuple(self._urls):
            found = await self._get_at(url, path)
            if found is not None:
                return found
        return None

    async def _send(
        self, request: ChangeRequest, wait_ms: int
    ) -> FleetAnswer | None:
        query = f'?wait=fleet&timeout_ms={wait_ms}' if wait_ms else ''
        url = f'{self._urls[0]}/operator/v1/changes{query}'
        try:
            async with self._get_session().post(
                url,
                data=msgspec.json.encode(request),
                headers={'Content-Type': 'application/json'},
            ) as response:
                return msgspec.json.decode(
                    await response.read(), type=FleetAnswer
                )
        except _FAILURES:
            return None

    async def _get_at(self, url: str, path: str) -> Any:
        try:
            async with self._get_session().get(url + path) as response:
                return await response.json() if response.status == 200 else None
        except _FAILURES:
            return None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            context: ssl.SSLContext | bool = True
            if self._ca_file:
                context = ssl.create_default_context(cafile=self._ca_file)
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(ssl=context),
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
                headers=self._headers,
            )
        return self._session
