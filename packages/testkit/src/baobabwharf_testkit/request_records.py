"""Collect the records of endpoints; find repeated bookings and leaked keys."""

from collections import Counter
from pathlib import Path

import aiohttp
import msgspec

from baobabwharf_testkit.endpoint_control import RUNS_PATH, SEEN_PATH
from baobabwharf_testkit.endpoint_model import RecordsPage, SeenRequest
from baobabwharf_testkit.fleet import Fleet

_TIMEOUT_S = 10.0


class RequestRecords(msgspec.Struct):
    """Count runs of bookings by body digest and requests with a key."""

    runs: Counter[str]
    seen: list[SeenRequest] = []
    requests_with_key: int = 0
    dropped_requests: int = 0

    @property
    def repeated(self) -> tuple[str, ...]:
        """Return the digests of bookings that ran more than once."""
        return tuple(name for name, count in self.runs.items() if count > 1)

    def add(self, page: RecordsPage, secrets: list[str]) -> None:
        """Count the records of one endpoint."""
        self.runs.update(run.body_digest for run in page.runs)
        self.dropped_requests += page.dropped
        for request in page.seen:
            self.seen.append(request)
            text = str(request)
            contains_secret = any(secret in text for secret in secrets)
            self.requests_with_key += contains_secret


async def fetch_request_records(
    fleet: Fleet, secrets: list[str]
) -> RequestRecords:
    """Fetch the records of all running endpoints."""
    records = RequestRecords(Counter())
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for instance in fleet.endpoints.values():
            if instance.process.running:
                for path in (RUNS_PATH, SEEN_PATH):
                    page = await _read(session, instance.url + path)
                    records.add(page, secrets)
    return records


def read_saved_records(folder: Path, secrets: list[str]) -> RequestRecords:
    """Read the records that stopped endpoints wrote to a folder."""
    records = RequestRecords(Counter())
    for path in sorted(folder.glob('*.json')):
        page = msgspec.json.decode(path.read_bytes(), type=RecordsPage)
        records.add(page, secrets)
    return records


async def _read(session: aiohttp.ClientSession, url: str) -> RecordsPage:
    async with session.get(url) as response:
        return msgspec.json.decode(await response.read(), type=RecordsPage)
