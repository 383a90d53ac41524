"""Wait until processes answer their health probes."""

import asyncio
import ssl

import aiohttp
import msgspec

from baobabwharf_testkit.processes import ManagedProcess

_POLL_S = 0.05
_MS_PER_S = 1000
_PROBE_TIMEOUT_S = 1.0
_OK = 200
_FAILURES = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class FleetError(Exception):
    """Report that a fleet did not reach the expected state."""


class Probe(msgspec.Struct, frozen=True):
    """Hold a health URL, its process and a field that must be true."""

    url: str
    process: ManagedProcess
    field: str = ''


async def wait_until_ready(
    probes: list[Probe],
    context: ssl.SSLContext | bool,
    timeout_ms: int,
    key: str = '',
) -> None:
    """Poll until all probes succeed; raise FleetError after the timeout."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_ms / _MS_PER_S
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(ssl=context),
        timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
        headers={'Authorization': f'Bearer {key}'} if key else None,
    ) as session:
        waiting = await _filter_unready(session, probes)
        while waiting:
            _raise_if_failed(waiting, loop.time() > deadline_s)
            await asyncio.sleep(_POLL_S)
            waiting = await _filter_unready(session, waiting)


async def _filter_unready(
    session: aiohttp.ClientSession, probes: list[Probe]
) -> list[Probe]:
    ready = await asyncio.gather(
        *(_is_ready(session, probe) for probe in probes)
    )
    pairs = zip(probes, ready, strict=True)
    return [probe for probe, is_ready in pairs if not is_ready]


async def _is_ready(session: aiohttp.ClientSession, probe: Probe) -> bool:
    try:
        async with session.get(probe.url) as response:
            content = await response.read()
            status = response.status
    except _FAILURES:
        return False
    if status != _OK:
        return False
    return not probe.field or bool(msgspec.json.decode(content)[probe.field])


def _raise_if_failed(waiting: list[Probe], timed_out: bool) -> None:
    for probe in waiting:
        process = probe.process
        if not process.running:
            raise FleetError(
                f'The process for {probe.url} ended with '
                f'{process.exit_code}; see {process.log}.'
            )
        if timed_out:
            raise FleetError(f'{probe.url} is not ready; see {process.log}.')
