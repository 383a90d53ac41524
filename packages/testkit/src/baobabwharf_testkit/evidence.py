"""Check what the endpoints recorded against what must never happen."""

from collections import Counter
from typing import Any

import aiohttp
import msgspec

from baobabwharf_testkit.endpoint_control import RUNS_PATH, SEEN_PATH
from baobabwharf_testkit.fleet import Fleet

_TIMEOUT_S = 10.0


class Evidence(msgspec.Struct):
    """Count bookings by their body and requests that showed a key."""

    runs: Counter[str]
    requests_seen: int = 0
    requests_with_key: int = 0
    requests_not_kept: int = 0

    @property
    def repeated(self) -> tuple[str, ...]:
        """Return the digests of bookings that ran more than once."""
        return tuple(name for name, count in self.runs.items() if count > 1)


async def collect_evidence(fleet: Fleet, secrets: list[str]) -> Evidence:
    """Ask all endpoints that still run."""
    evidence = Evidence(Counter())
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for unit in fleet.endpoints.values():
            if unit.process.running:
                runs = await _read(session, unit.url + RUNS_PATH)
                seen = await _read(session, unit.url + SEEN_PATH)
                _add(evidence, runs, seen, secrets)
    return evidence


def _add(
    evidence: Evidence,
    runs: dict[str, Any],
    seen: dict[str, Any],
    secrets: list[str],
) -> None:
    evidence.runs.update(run['body_digest'] for run in runs['runs'])
    evidence.requests_not_kept += seen['dropped']
    for request in seen['seen']:
        evidence.requests_seen += 1
        text = str(request)
        shown = any(secret in text for secret in secrets)
        evidence.requests_with_key += shown


async def _read(session: aiohttp.ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url) as answer:
        return msgspec.json.decode(await answer.read(), type=dict[str, Any])
