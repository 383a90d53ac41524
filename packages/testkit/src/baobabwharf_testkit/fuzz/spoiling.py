"""Spoil one field of a valid message at a time."""

import json
import math
from collections.abc import Iterator
from typing import Any

import msgspec

from baobabwharf_testkit.fuzz.boundary import Encoding

Path = tuple[str | int, ...]

_DEPTHS = (40, 900, 2000, 100_000)
_LONG = 70_000
_LONE_SURROGATE = 0xD800
_INTEGERS = (
    -1,
    0,
    2**31,
    2**53,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    2**70,
    2**200,
    -(2**63),
    -(2**70),
)
_FLOATS = (0.5, -0.5, 1e15, 1e300, -1e300)
_TEXTS = (
    '',
    '²',
    '\0',
    'a\r\nX: y',
    'a' * _LONG,
    '10.0.0.1:0',
    '10.0.0.1:70000',
    '10.0.0.1:' + '9' * 30,
    '10.0.0.1:²',
    '10.0.0.1\0:80',
    '10.0.0.1\r\n:80',
    '0.0.0.0:80',
    f'{"1" * _LONG}:80',
    '[::1',
)
_JSON_TOKENS = (
    b'null',
    b'true',
    b'[]',
    b'{}',
    b'1e400',
    b'-1e400',
    b'1e-400',
    b'9' * 5000,
    b'NaN',
    json.dumps(chr(_LONE_SURROGATE)).encode(),
    b'"\xff"',
    *(b'[' * depth + b']' * depth for depth in _DEPTHS),
    *(b'{"a":' * depth + b'0' + b'}' * depth for depth in _DEPTHS),
)
_MSGPACK_TOKENS = (
    # Lengths beyond the end of the message, and an extension.
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xdb\xff\xff\xff\xff',
    b'\xd4\x01\x00',
    b'\xa1\xff',
    *(b'\x91' * depth + b'\xc0' for depth in _DEPTHS),
)
_PLAIN: tuple[Any, ...] = (None, True, [], {}, b'', *_FLOATS, *_TEXTS)
_UNKNOWN_FIELD = 'fieldOfALaterVersion'
_REPEATS = 1000


def tokens(encoding: Encoding) -> list[bytes]:
    """Return encoded values that a field may not hold."""
    if encoding is Encoding.JSON:
        plain = [value for value in _PLAIN if not isinstance(value, bytes)]
        values = [json.dumps(value).encode() for value in (*_INTEGERS, *plain)]
        return [*values, *_JSON_TOKENS]
    packable = [number for number in _INTEGERS if -(2**63) <= number < 2**64]
    special = (math.nan, math.inf, -math.inf)
    values = [
        msgspec.msgpack.encode(value)
        for value in (*packable, *special, *_PLAIN)
    ]
    return [*values, *_MSGPACK_TOKENS]


def paths(document: Any, prefix: Path = ()) -> Iterator[Path]:
    """Yield the path of each value in a document."""
    yield prefix
    children: Any = ()
    if isinstance(document, dict):
        children = document.items()
    elif isinstance(document, list):
        children = enumerate(document)
    for key, child in children:
        yield from paths(child, (*prefix, key))


def decode_plain(content: bytes, encoding: Encoding) -> Any:
    """Return a message as dicts, lists and plain values."""
    if encoding is Encoding.JSON:
        return msgspec.json.decode(content)
    return msgspec.msgpack.decode(content, strict=False)


def encode_plain(document: Any, encoding: Encoding) -> bytes:
    """Return the bytes of a document, which may hold raw values."""
    if encoding is Encoding.JSON:
        return msgspec.json.encode(document)
    return msgspec.msgpack.encode(document)


def replace_at(document: Any, path: Path, value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    changed = document.copy()
    changed[path[0]] = replace_at(document[path[0]], path[1:], value)
    return changed


def remove_at(document: Any, path: Path) -> Any:
    """Return a copy of a document without the value at a path."""
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    smaller = parent.copy()
    smaller.pop(path[-1])
    return replace_at(document, path[:-1], smaller)


def spoiled(content: bytes, encoding: Encoding) -> Iterator[bytes]:
    """Yield the message with each field spoiled in each way."""
    document = decode_plain(content, encoding)
    raw_tokens = [msgspec.Raw(token) for token in tokens(encoding)]
    for path in paths(document):
        for token in raw_tokens:
            yield encode_plain(replace_at(document, path, token), encoding)
        if path:
            yield encode_plain(remove_at(document, path), encoding)
        yield from _grown(document, path, raw_tokens, encoding)


def _grown(
    document: Any, path: Path, raw_tokens: list[Any], encoding: Encoding
) -> Iterator[bytes]:
    """Yield the message with unknown fields or many entries at a path."""
    found = document
    for key in path:
        found = found[key]
    if isinstance(found, dict):
        for token in raw_tokens:
            grown = {**found, _UNKNOWN_FIELD: token}
            yield encode_plain(replace_at(document, path, grown), encoding)
    elif isinstance(found, list) and found:
        grown_list = found * _REPEATS
        yield encode_plain(replace_at(document, path, grown_list), encoding)
