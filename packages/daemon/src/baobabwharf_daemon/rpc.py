"""Exchange typed messages between VMs over gRPC."""

import asyncio
import ssl
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar, cast, final

import msgspec
from baobabwharf_core.codec import MAX_RECORD_BYTES, decode, encode
from baobabwharf_core.refusals import RefusalCode
from expression import Error, Ok, Result
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from baobabwharf_daemon.loop_timeout import LoopTimeout
from baobabwharf_daemon.settings import Tls

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')
UnaryHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Any], AsyncIterator[Any]]

_SECRET_HEADER = 'x-fleet-secret'
_MS_PER_S = 1000
_UNCOMPRESSED = b'\x00'
_COMPRESSED = b'\x01'
# Heartbeats stay uncompressed; configurations shrink to a tenth, which matters
# on links with little bandwidth.
_MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 1
_CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
    msgspec.DecodeError,
)


@final
class MessageCodec(CodecBase):
    """Encode msgspec structs as MessagePack for gRPC."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message; large ones are compressed."""
        payload = encode(message)
        if len(payload) < _MIN_COMPRESSED_BYTES:
            return _UNCOMPRESSED + payload
        return _COMPRESSED + zlib.compress(payload, _COMPRESSION_LEVEL)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of the given type; raise DecodeError if invalid."""
        payload = data[1:]
        if data[:1] == _COMPRESSED:
            payload = _decompress(payload)
        return decode(payload, message_type)


class RpcFailure(msgspec.Struct, frozen=True):
    """Describe why a call got no reply; it may still have been handled."""

    address: str
    reason: str
    code: RefusalCode = RefusalCode.REGION_UNREACHABLE


def server_context(tls: Tls) -> ssl.SSLContext:
    """Return a TLS context that requires a client certificate of the CA."""
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.ca_file)
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(['h2'])
    return context


def client_context(tls: Tls) -> ssl.SSLContext:
    """Return a TLS context that presents the certificate of this VM."""
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(tls.ca_file)
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.set_alpn_protocols(['h2'])
    return context


class _Service:
    """Expose the registered handlers to grpclib."""

    def __init__(self, mapping: Mapping[str, Handler]) -> None:
        self._mapping = mapping

    def __mapping__(self) -> Mapping[str, Handler]:
        return self._mapping


@final
class RpcServer:
    """Serve the registered methods on the peer listener."""

    def __init__(self, secret: str, tls: Tls | None) -> None:
        self._secret = secret
        self._tls = tls
        self._handlers: dict[str, Handler] = {}
        self._server: Server | None = None

    def register_unary(
        self,
        path: str,
        request_type: type[RequestT],
        reply_type: type[ReplyT],
        handler: Callable[[RequestT], Awaitable[ReplyT]],
    ) -> None:
        """Register a handler for calls with one reply."""

        async def serve(stream: Stream[Any, Any]) -> None:
            request = await self._receive(stream)
            await stream.send_message(await handler(request))

        self._add(
            path,
            serve,
            Cardinality.UNARY_UNARY,
            request_type,
            reply_type,
        )

    def register_stream(
        self,
        path: str,
        request_type: type[RequestT],
        reply_type: type[ReplyT],
        handler: Callable[[RequestT], AsyncIterator[ReplyT]],
    ) -> None:
        """Register a handler for calls with a stream of replies."""

        async def serve(stream: Stream[Any, Any]) -> None:
            request = await self._receive(stream)
            async for reply in handler(request):
                await stream.send_message(reply)

        self._add(
            path,
            serve,
            Cardinality.UNARY_STREAM,
            request_type,
            reply_type,
        )

    async def start(self, host: str, port: int) -> None:
        """Start to listen for calls of other VMs."""
        self._server = Server(
            [cast(Any, _Service(self._handlers))], codec=MessageCodec()
        )
        context = server_context(self._tls) if self._tls else None
        await self._server.start(host, port, ssl=context)

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _add(
        self,
        path: str,
        serve: Callable[[Stream[Any, Any]], Awaitable[None]],
        cardinality: Cardinality,
        request_type: Any,
        reply_type: Any,
    ) -> None:
        self._handlers[path] = Handler(
            serve, cardinality, request_type, reply_type
        )

    async def _receive(self, stream: Stream[Any, Any]) -> Any:
        metadata: Mapping[str, Any] = stream.metadata or {}
        if metadata.get(_SECRET_HEADER, '') != self._secret:
            raise GRPCError(Status.UNAUTHENTICATED)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT)
        return request


@final
class RpcClient:
    """Call other VMs, with one connection per address."""

    def __init__(
        self,
        secret: str,
        tls: Tls | None,
        overrides: Mapping[str, str] | None = None,
    ) -> None:
        # gRPC does not allow empty metadata values.
        self._metadata = {_SECRET_HEADER: secret} if secret else {}
        self._tls = tls
        self._overrides = overrides or {}
        self._channels: dict[str, Channel] = {}

    async def call(
        self,
        address: str,
        path: str,
        request: Any,
        reply_type: type[ReplyT],
        timeout_ms: int,
    ) -> Result[ReplyT, RpcFailure]:
        """Return the reply, or a failure if none arrives within the timeout."""
        method = UnaryUnaryMethod(
            self._channel(address), path, type(request), reply_type
        )
        try:
            async with LoopTimeout(timeout_ms / _MS_PER_S):
                return Ok(await method(request, metadata=self._metadata))
        except _CALL_ERRORS as error:
            return Error(RpcFailure(address, _describe(error)))

    async def stream(
        self,
        address: str,
        path: str,
        request: Any,
        reply_type: type[ReplyT],
        idle_timeout_ms: int,
    ) -> AsyncIterator[Result[ReplyT, RpcFailure]]:
        """Yield replies; end with a failure if the stream is idle too long."""
        method = UnaryStreamMethod(
            self._channel(address), path, type(request), reply_type
        )
        idle_s = idle_timeout_ms / _MS_PER_S
        try:
            async with method.open(metadata=self._metadata) as stream:
                async with LoopTimeout(idle_s):
                    await stream.send_message(request, end=True)
                async for reply in _receive_all(stream, idle_s):
                    yield Ok(reply)
        except _CALL_ERRORS as error:
            yield Error(RpcFailure(address, _describe(error)))

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def reset(self, address: str) -> None:
        """Drop the connection to an address; the next call opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            target = self._overrides.get(address, address)
            host, _colon, port = target.rpartition(':')
            context = client_context(self._tls) if self._tls else None
            channel = Channel(
                host, int(port), ssl=context, codec=MessageCodec()
            )
            self._channels[address] = channel
        return channel


async def _receive_all(stream: Any, idle_s: float) -> AsyncIterator[Any]:
    while True:
        async with LoopTimeout(idle_s):
            reply = await stream.recv_message()
        if reply is None:
            return
        yield reply


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(payload, MAX_RECORD_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError('The message is truncated or too large.')
    return content


def read_secret(path: Path | None) -> str:
    """Return the shared secret of the fleet, empty if no file is set."""
    if path is None:
        return ''
    return path.read_text().strip()


def _describe(error: BaseException) -> str:
    return f'{type(error).__name__}: {error}'
