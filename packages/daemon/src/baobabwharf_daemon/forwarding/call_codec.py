"""Frame calls that are forwarded between VMs."""

import base64

import msgspec
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.refusals import Refusal
from expression import Error, Ok, Result

from baobabwharf_daemon.gateway.calls import Call

FORWARD_PATH = '/forward/v1/call'
FLEET_SECRET_HEADER = 'X-Fleet-Secret'
REFUSAL_HEADER = 'X-Refusal'
# Facts and headers of a call; the caller listener bounds the headers.
MAX_CALL_HEAD_BYTES = 64 * 1024
_LENGTH_BYTES = 4


def encode_call(call: Call) -> bytes:
    """Return the head of a call, its length before it, and the body."""
    head = encode(msgspec.structs.replace(call, body=b''))
    length = len(head).to_bytes(_LENGTH_BYTES, 'big')
    return b''.join((length, head, call.body))


def decode_call(framed: bytes) -> Result[Call, str]:
    """Read a forwarded call."""
    end = _LENGTH_BYTES + int.from_bytes(framed[:_LENGTH_BYTES], 'big')
    if end > len(framed):
        return Error('The head of the call is incomplete.')
    try:
        call = decode(framed[_LENGTH_BYTES:end], Call)
    except msgspec.DecodeError as fault:
        return Error(f'{fault}')
    return Ok(msgspec.structs.replace(call, body=framed[end:]))


def encode_refusal(refusal: Refusal) -> str:
    """Return a refusal as a header."""
    return base64.b64encode(encode(refusal)).decode()


def decode_refusal(header: str) -> Refusal | None:
    """Read a refusal from a header."""
    try:
        return decode(base64.b64decode(header), Refusal)
    except (ValueError, msgspec.DecodeError):
        return None
