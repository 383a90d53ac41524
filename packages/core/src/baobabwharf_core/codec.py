"""Encode messages as MessagePack and frame records for storage."""

import zlib
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

_FRAME_VERSION = 1
_HEADER_BYTES = 9  # 1 byte version, 4 bytes length, 4 bytes CRC32
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
    try:
        return decoder.decode(payload)
    except RecursionError as error:
        raise msgspec.DecodeError(
            'The message is nested too deeply.'
        ) from error


def decode_each(
    payloads: Iterable[msgspec.Raw], message_type: type[MessageT]
) -> tuple[list[MessageT], list[str]]:
    """Decode messages one by one; return those decoded and the faults."""
    decoded: list[MessageT] = []
    faults: list[str] = []
    for payload in payloads:
        try:
            decoded.append(decode(bytes(payload), message_type))
        except msgspec.DecodeError as fault:
            faults.append(str(fault))
    return decoded, faults


def encode_each(messages: Iterable[object]) -> tuple[msgspec.Raw, ...]:
    """Encode messages so that a receiver can decode them one by one."""
    return tuple(msgspec.Raw(encode(message)) for message in messages)


class FrameError(msgspec.Struct, frozen=True):
    """Describe why no frame could be read at an offset.

    torn is set if the frame ends at or beyond the end of the buffer, as after
    an interrupted write.
    """

    offset: int
    torn: bool
    message: str


class Frame(msgspec.Struct, frozen=True):
    """Hold the payload of a frame and the offset of the next frame."""

    payload: bytes
    next_offset: int


def encode_frame(payload: bytes) -> bytes:
    """Return the payload preceded by version, length and checksum."""
    header = bytes((_FRAME_VERSION,)) + len(payload).to_bytes(4, 'big')
    checksum = zlib.crc32(header + payload).to_bytes(4, 'big')
    return header + checksum + payload


def read_frame(buffer: bytes, offset: int) -> Result[Frame, FrameError]:
    """Read the frame at an offset and verify its checksum."""
    start = offset + _HEADER_BYTES
    if start > len(buffer):
        return Error(
            FrameError(offset, True, 'The frame header is incomplete.')
        )
    header = buffer[offset : offset + 5]
    length = int.from_bytes(header[1:], 'big')
    end = start + length
    if header[0] != _FRAME_VERSION or length > MAX_RECORD_BYTES:
        return Error(FrameError(offset, False, 'The frame header is invalid.'))
    if end > len(buffer):
        return Error(
            FrameError(offset, True, 'The frame payload is incomplete.')
        )
    payload = buffer[start:end]
    stored = int.from_bytes(buffer[offset + 5 : start], 'big')
    if zlib.crc32(header + payload) != stored:
        error = FrameError(
            offset, end == len(buffer), 'The checksum does not match.'
        )
        return Error(error)
    return Ok(Frame(payload, end))
