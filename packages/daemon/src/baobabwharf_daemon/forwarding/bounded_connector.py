"""Open client connections that bound what precedes a response."""

import functools
from typing import Any, final

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Interim responses are hints; more of them only keep the parser busy.
_MAX_INTERIM = 16
# Parsed in one go while a head is awaited.
_SLICE_BYTES = 4096
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


@final
class _BoundedHandler(ResponseHandler):
    """Fail a request whose interim responses do not end.

    The library puts each of them into a queue without a bound.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._interim = 0
        self._awaits_head = True

    def set_response_params(self, **params: Any) -> None:
        """Begin to wait for the response to the next request."""
        self._interim = 0
        self._awaits_head = True
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the interim responses before the final one."""
        status = data[0].code
        if status < _FIRST_FINAL_STATUS and status != _SWITCHING_PROTOCOLS:
            self._interim += 1
        else:
            self._awaits_head = False
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, in slices while a head is awaited."""
        offset = 0
        while self._awaits_head and len(data) - offset > _SLICE_BYTES:
            end = offset + _SLICE_BYTES
            super().data_received(data[offset:end])
            offset = end
            if self._exceeds_bound():
                return
        super().data_received(data[offset:])
        self._exceeds_bound()

    def _exceeds_bound(self) -> bool:
        if self._interim <= _MAX_INTERIM:
            return False
        error = aiohttp.ClientConnectionError('Too many interim responses.')
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        return True


@final
class BoundedConnector(aiohttp.TCPConnector):
    """Create connections whose interim responses are bounded."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = functools.partial(_BoundedHandler, loop=self._loop)
        self._factory = factory
