"""Encode typed messages and frame durable records."""

import zlib
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

_FRAME_VERSION = 1
_HEADER_BYTES = 9  # one version byte, four length bytes, four CRC32 bytes
MAX_RECORD_BYTES = 64 * 1024 * 1024

MessageT = TypeVar('MessageT')

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, Any] = {}


def encode(message: object) -> bytes:
    """Encode a typed message as MessagePack."""
    return _encoder.encode(message)


def decode(payload: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode a typed message; raise msgspec.DecodeError on bad input."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(message_type)
        _decoders[message_type] = decoder
    return decoder.decode(payload)


class FrameError(msgspec.Struct, frozen=True):
    """Describe why no frame could be read at an offset."""

    offset: int
    is_truncated: bool
    sentence: str


class Frame(msgspec.Struct, frozen=True):
    """Hold one framed payload and the offset that follows it."""

    payload: bytes
    next_offset: int


def encode_frame(payload: bytes) -> bytes:
    """Prefix a payload with version, length and checksum."""
    header = bytes((_FRAME_VERSION,)) + len(payload).to_bytes(4, 'big')
    checksum = zlib.crc32(header + payload).to_bytes(4, 'big')
    return header + checksum + payload


def read_frame(buffer: bytes, offset: int) -> Result[Frame, FrameError]:
    """Read the frame at an offset; a fault says if only the tail is torn."""
    start = offset + _HEADER_BYTES
    if start > len(buffer):
        return Error(FrameError(offset, True, 'The header is incomplete.'))
    header = buffer[offset : offset + 5]
    length = int.from_bytes(header[1:], 'big')
    end = start + length
    if header[0] != _FRAME_VERSION or length > MAX_RECORD_BYTES:
        return Error(FrameError(offset, False, 'The header is not valid.'))
    if end > len(buffer):
        return Error(FrameError(offset, True, 'The payload is incomplete.'))
    payload = buffer[start:end]
    stored = int.from_bytes(buffer[offset + 5 : start], 'big')
    if zlib.crc32(header + payload) != stored:
        fault = FrameError(offset, end == len(buffer), 'The checksum differs.')
        return Error(fault)
    return Ok(Frame(payload, end))
