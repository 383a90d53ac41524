"""Derive responses from requests, so that callers can verify each token."""

import hashlib
from typing import Any

_SEED_BYTES = 8
# An odd constant spreads successive tokens over 32 bits.
_TOKEN_STEP = 2654435761
_TOKEN_MASK = 0xFFFFFFFF
CHARS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 16


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text of the prompt or of all messages of a request body."""
    messages = body.get('messages')
    if isinstance(messages, list):
        return '\n'.join(_message_text(message) for message in messages)
    prompt = body.get('prompt', '')
    if isinstance(prompt, list):
        return '\n'.join(str(part) for part in prompt)
    return str(prompt)


def _message_text(message: dict[str, Any]) -> str:
    content = message.get('content') or ''
    if isinstance(content, list):
        content = ''.join(str(part.get('text', '')) for part in content)
    return str(content)


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def output_tokens(body: dict[str, Any]) -> int:
    """Return the number of output tokens that a request body asks for."""
    names = ('max_tokens', 'max_completion_tokens')
    limits = [int(body[name]) for name in names if body.get(name)]
    return max(limits, default=DEFAULT_OUTPUT_TOKENS)


def prompt_seed(prompt: str) -> int:
    """Return the seed from which all tokens of a completion are derived."""
    digest = hashlib.blake2b(prompt.encode(), digest_size=_SEED_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def completion_token(seed: int, index: int) -> str:
    """Return one token of a completion: eight hex digits and a space."""
    return f'{(seed + (index + 1) * _TOKEN_STEP) & _TOKEN_MASK:08x} '


def expected_completion(body: dict[str, Any]) -> str:
    """Return the complete text that an engine generates for a request body."""
    seed = prompt_seed(prompt_text(body))
    count = output_tokens(body)
    return ''.join(completion_token(seed, index) for index in range(count))


def sheet_text(path: str) -> str:
    """Return the job sheet that a plain service returns for a path."""
    seed = prompt_seed(path)
    return ''.join(completion_token(seed, index) for index in range(8))


def body_digest(body: bytes) -> str:
    """Return the digest with which a plain service identifies a body."""
    return hashlib.sha256(body).hexdigest()
