"""Decode JSON that comes from other programs."""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from baobabwharf_core.codec import encode

# Messages of the decoder repeat parts of the input, then name the field.
_MAX_REASON_PART = 150

MessageT = TypeVar('MessageT')


def decode_json(
    content: bytes, decoder: msgspec.json.Decoder[MessageT], max_bytes: int
) -> Result[MessageT, str]:
    """Decode a message; an error says which field is invalid, or why.

    A message that is returned can be stored and sent to other VMs.
    """
    if len(content) > max_bytes:
        return Error(f'The JSON is longer than {max_bytes} bytes.')
    try:
        message = decoder.decode(content)
    except RecursionError:
        return Error('The JSON is nested too deeply.')
    except (msgspec.DecodeError, UnicodeError) as error:
        return Error(f'{_shorten(str(error))}.')
    try:
        encode(message)
    except OverflowError:
        return Error('A number is too large to be stored.')
    return Ok(message)


def _shorten(reason: str) -> str:
    if len(reason) <= 2 * _MAX_REASON_PART:
        return reason
    return f'{reason[:_MAX_REASON_PART]}...{reason[-_MAX_REASON_PART:]}'
