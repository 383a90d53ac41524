"""Encode calls and refusals that VMs exchange when forwarding.

A call is sent as the length of its head, the encoded head and the raw body.
"""

import base64

import msgspec
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.refusals import Refusal
from expression import Error, Ok, Result

from baobabwharf_daemon.gateway.calls import Call

FORWARD_PATH = '/forward/v1/call'
FLEET_SECRET_HEADER = 'X-Fleet-Secret'
REFUSAL_HEADER = 'X-Refusal'
# Upper bound of the encoded attributes and headers of a call; the caller
# listener limits the size of the headers.
MAX_CALL_HEAD_BYTES = 64 * 1024
_LENGTH_BYTES = 4


def encode_call(call: Call) -> bytes:
    """Encode a call: length of the head, head, body."""
    head = encode(msgspec.structs.replace(call, body=b''))
    length = len(head).to_bytes(_LENGTH_BYTES, 'big')
    return b''.join((length, head, call.body))


def decode_call(data: bytes) -> Result[Call, str]:
    """Decode a forwarded call."""
    head_end = _LENGTH_BYTES + int.from_bytes(data[:_LENGTH_BYTES], 'big')
    if head_end > len(data):
        return Error('The head of the call is incomplete.')
    try:
        call = decode(data[_LENGTH_BYTES:head_end], Call)
    except msgspec.DecodeError as error:
        return Error(f'{error}')
    return Ok(msgspec.structs.replace(call, body=data[head_end:]))


def encode_refusal(refusal: Refusal) -> str:
    """Encode a refusal as a header value."""
    return base64.b64encode(encode(refusal)).decode()


def decode_refusal(header: str) -> Refusal | None:
    """Decode a refusal from a header value; None if it is malformed."""
    try:
        return decode(base64.b64decode(header), Refusal)
    except (ValueError, msgspec.DecodeError):
        return None
