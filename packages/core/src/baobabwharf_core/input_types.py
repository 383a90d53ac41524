"""Define the ranges of values that come from other programs.

Each value in range can be stored, sent to another VM and used in arithmetic.
"""

from typing import Annotated

from msgspec import Meta

# Larger integers lose digits in JSON implementations that use floats.
MAX_EXACT_INTEGER = 2**53 - 1
# MessagePack holds no larger signed integer.
_MAX_INTEGER = 2**63 - 1
# More than 11 days; no time-out or remaining time is longer.
_MAX_DURATION_MS = 10**9
_MAX_DURATION_S = _MAX_DURATION_MS // 1000
_MAX_COUNT = 10**6
_MAX_PORT = 65_535
_MAX_RATE = 10**12
_MAX_NAME = 256
_MAX_TEXT = 4096
# The longest host name of DNS and a port.
_MAX_ADDRESS = 253 + len(f':{_MAX_PORT}')

# Header values and log lines must not contain line ends or NUL.
_PRINTABLE = r'\A[^\x00-\x1f\x7f]*\Z'
_VISIBLE_ASCII = r'\A[\x21-\x7e]*\Z'
_PORT = (
    '(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
    '|655[0-2][0-9]|6553[0-5])'
)
_HOST = r'(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])'
_ADDRESS = rf'\A{_HOST}:{_PORT}\Z'
_OPTIONAL_ADDRESS = rf'\A(?:{_HOST}:{_PORT})?\Z'

# Sequence numbers, start times and sizes.
EXACT_INTEGER = Meta(ge=0, le=MAX_EXACT_INTEGER)
ExactInteger = Annotated[int, EXACT_INTEGER]
# Loads and spending; differences of them are negative.
Amount = Annotated[int, Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)]
VersionNumber = Annotated[int, Meta(ge=0, le=_MAX_INTEGER)]
# Slots, connections, attempts and priorities.
SmallCount = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
# Limits of customers in tokens, or in tokens per second.
TokenCount = Annotated[int, Meta(ge=0, le=_MAX_RATE)]
# Parts of such limits, in millionths of a token.
MicroTokens = Annotated[int, Meta(ge=0, le=_MAX_RATE * 10**6)]
# Tokens, or tokens per second.
Rate = Annotated[float, Meta(ge=0, le=_MAX_RATE)]
# Memory of a VM.
Megabytes = Annotated[float, Meta(ge=1, le=_MAX_RATE)]
# Tokens per second by which times are divided.
Speed = Annotated[float, Meta(gt=0, le=_MAX_RATE)]
Weight = Annotated[float, Meta(ge=0, le=_MAX_COUNT)]
DurationMs = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]
DurationIntegerMs = Annotated[int, Meta(ge=0, le=_MAX_DURATION_MS)]
DurationSeconds = Annotated[float, Meta(ge=0, le=_MAX_DURATION_S)]
# Remaining time, which is negative once it is over.
RemainingMs = Annotated[float, Meta(ge=-_MAX_DURATION_MS, le=_MAX_DURATION_MS)]
RemainingIntegerMs = Annotated[
    int, Meta(ge=-_MAX_DURATION_MS, le=_MAX_DURATION_MS)
]
NAME = Meta(min_length=1, max_length=_MAX_NAME, pattern=_PRINTABLE)
Name = Annotated[str, NAME]
Text = Annotated[str, Meta(max_length=_MAX_TEXT, pattern=_PRINTABLE)]
# Ids that are sent in headers.
HEADER_TOKEN = Meta(min_length=1, max_length=_MAX_NAME, pattern=_VISIBLE_ASCII)
HeaderToken = Annotated[str, HEADER_TOKEN]
# HOST:PORT; an IPv6 address has brackets.
Address = Annotated[str, Meta(max_length=_MAX_ADDRESS, pattern=_ADDRESS)]
# The base URL of an endpoint of the own interface.
BaseUrl = Annotated[
    str,
    Meta(
        max_length=_MAX_TEXT,
        pattern=rf'\Ahttps?://{_HOST}(?::{_PORT})?(?:/[\x21-\x7e]*)?\Z',
    ),
]
# Empty if there is none.
OptionalAddress = Annotated[
    str, Meta(max_length=_MAX_ADDRESS, pattern=_OPTIONAL_ADDRESS)
]
Port = Annotated[int, Meta(ge=1, le=_MAX_PORT)]
