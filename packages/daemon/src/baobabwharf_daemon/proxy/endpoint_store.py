"""Store the endpoints on disk, so that they survive a restart of all VMs."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import (
    decode,
    decode_each,
    encode,
    encode_each,
)
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord

from baobabwharf_daemon.durable_files import replace_file
from baobabwharf_daemon.log import get_logger

_FILE = 'endpoints.msgpack'
# Records older than this have probably changed.
_MAX_AGE_MS = 30_000

_log = get_logger('endpoint_store')


class _Stored(msgspec.Struct, frozen=True):
    wall_ms: int
    # Each is an EndpointRecord; an invalid one does not affect the others.
    records: tuple[msgspec.Raw, ...]


@final
class EndpointStore:
    """Own the file; losing it only delays serving after a restart."""

    def __init__(self, folder: Path | None, clock: Clock) -> None:
        self._path = None if folder is None else folder / _FILE
        self._clock = clock

    def load(self) -> tuple[EndpointRecord, ...]:
        """Return the stored records unless they are too old or unreadable."""
        if self._path is None or not self._path.exists():
            return ()
        try:
            stored = decode(self._path.read_bytes(), _Stored)
        except (OSError, msgspec.DecodeError) as error:
            _log.warning('Stored endpoints could not be read: %s', error)
            return ()
        age_ms = self._clock.wall_ms() - stored.wall_ms
        if not 0 <= age_ms <= _MAX_AGE_MS:
            _log.info('Stored endpoints are %d ms old and were ignored', age_ms)
            return ()
        records, faults = decode_each(stored.records, EndpointRecord)
        for fault in faults:
            _log.warning('Ignoring a stored endpoint: %s', fault)
        return tuple(records)

    async def save(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the stored records."""
        if self._path is None:
            return
        stored = _Stored(self._clock.wall_ms(), encode_each(records))
        try:
            await asyncio.to_thread(replace_file, self._path, encode(stored))
        except OSError as fault:
            _log.warning('Endpoints could not be stored: %s', fault)
