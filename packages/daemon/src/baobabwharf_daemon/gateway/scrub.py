"""Redact a caller's key in everything that leaves this VM."""

import re

import msgspec

_REPLACEMENT = b'REDACTED'
_BACKSLASH = b'\x5c'
# JSON escapes that can encode a printable ASCII character of a key.
_ESCAPE = re.compile(rb'\\(?:u00[2-7]|/)')
_DROPPED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'cookie',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-api-key',
        'x-deadline-ms',
        'x-priority',
        'x-request-id',
        'x-residency',
        'x-resume-from-token',
        'x-work-class',
    )
)


def scrub_bytes(content: bytes, key: bytes) -> bytes:
    """Replace occurrences of the key that are not escaped."""
    if key and key in content:
        return content.replace(key, _REPLACEMENT)
    return content


def scrub_json(body: bytes, key: bytes) -> bytes:
    """Replace the key in a JSON body, including escaped occurrences."""
    body = scrub_bytes(body, key)
    # Searching for a single byte first is far faster than the checks below.
    if not key or _BACKSLASH not in body:
        return body
    if key.isascii() and not _ESCAPE.search(body):
        return body
    try:
        unescaped = msgspec.json.encode(msgspec.json.decode(body))
    except (msgspec.DecodeError, RecursionError):
        return body
    return scrub_bytes(unescaped, key) if key in unescaped else body


def scrub_url(target: str, key: bytes) -> str:
    """Replace the key in a path or query.

    If it occurs percent-encoded, the result is empty.
    """
    if not key:
        return target
    raw = scrub_bytes(target.encode('utf-8', 'surrogateescape'), key)
    if b'%' in raw and key in _unquote(raw):
        return ''
    return raw.decode('utf-8', 'surrogateescape')


def forwardable_headers(
    headers: list[tuple[str, str]], key: bytes
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward to an endpoint, with the key replaced."""
    return tuple(
        (str(name), scrub_bytes(content.encode(errors='replace'), key).decode())
        for name, content in headers
        if name.lower() not in _DROPPED_HEADERS
    )


def _unquote(raw: bytes) -> bytes:
    parts = raw.split(b'%')
    decoded = [parts[0]]
    for part in parts[1:]:
        try:
            decoded.append(bytes((int(part[:2], 16),)) + part[2:])
        except ValueError:
            decoded.append(b'%' + part)
    return b''.join(decoded)
