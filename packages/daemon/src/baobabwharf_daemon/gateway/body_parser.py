"""Parse and validate the bodies of completion requests.

Prompt tokens are estimated as one per four bytes of UTF-8 text, rounded up,
plus four for each message.  A plain service call costs one token per four
bytes of its body, rounded up, and at least one.
"""

from typing import Any

import msgspec
from baobabwharf_core.ids import ModelId
from baobabwharf_core.refusals import Refusal, RefusalCode

CHAT_PATH = '/v1/chat/completions'
COMPLETIONS_PATH = '/v1/completions'

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4
# Default max_tokens of /v1/completions in the OpenAI API; the API defines none
# for chat.
DEFAULT_COMPLETION_TOKENS = 16
DEFAULT_CHAT_TOKENS = 512
MAX_OUTPUT_TOKENS = 32_768
MAX_CHOICES = 16


class Part(msgspec.Struct):
    """Hold one part of a message; a part without text counts no tokens."""

    type: str = 'text'
    text: str = ''


class Message(msgspec.Struct):
    """Hold the fields of a chat message that the gateway reads."""

    role: str
    content: str | list[Part] | None = None


class _CommonFields(msgspec.Struct):
    model: str
    stream: bool | None = False
    n: int | None = 1
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def requested_limits(self) -> list[int]:
        """Return the output limits that the body specifies."""
        requested = (self.max_tokens, self.max_completion_tokens)
        return [count for count in requested if count is not None]


class ChatBody(_CommonFields):
    """Hold the fields of a chat completion that the gateway reads."""

    messages: list[Message] = msgspec.field(default_factory=list)


class CompletionBody(_CommonFields):
    """Hold the fields of a text completion that the gateway reads."""

    prompt: str | list[str | int | list[int]] = ''
    best_of: int | None = 1


class ParsedBody(msgspec.Struct, frozen=True):
    """Hold a validated request body, which always contains an output limit."""

    model: ModelId
    prompt: str
    prompt_tokens: int
    max_output_tokens: int
    choices: int
    streaming: bool
    body: bytes


_chat_decoder = msgspec.json.Decoder(ChatBody)
_completion_decoder = msgspec.json.Decoder(CompletionBody)


def text_tokens(text: str) -> int:
    """Return the estimated number of tokens in a text."""
    return -(-len(text.encode('utf-8', 'surrogatepass')) // BYTES_PER_TOKEN)


def body_tokens(body: bytes) -> int:
    """Return the number of tokens charged for a plain service call."""
    return max(1, -(-len(body) // BYTES_PER_TOKEN))


def parse_body(path: str, body: bytes) -> ParsedBody | Refusal:
    """Validate a request body; return a Refusal for any invalid bytes."""
    try:
        if path == CHAT_PATH:
            return _check_chat(body)
        return _check_completion(body)
    except (msgspec.DecodeError, UnicodeError) as error:
        return _invalid(_decode_error_detail(error))
    except RecursionError:
        return _invalid('The JSON is nested too deeply.')


def _check_chat(body: bytes) -> ParsedBody | Refusal:
    parsed = _chat_decoder.decode(body)
    if not parsed.messages:
        return _invalid('messages must not be empty.')
    texts = [_message_text(message) for message in parsed.messages]
    tokens = sum(map(text_tokens, texts)) + TOKENS_PER_MESSAGE * len(texts)
    return _build_parsed_body(
        parsed,
        body,
        prompt='\n'.join(texts),
        prompt_tokens=tokens,
        default_limit=DEFAULT_CHAT_TOKENS,
    )


def _check_completion(body: bytes) -> ParsedBody | Refusal:
    parsed = _completion_decoder.decode(body)
    if not parsed.prompt:
        return _invalid('prompt must not be empty.')
    if parsed.best_of not in {None, 1}:
        return _invalid('best_of above 1 is not supported.')
    prompt, tokens, count = _prompt_text(parsed.prompt)
    if count > MAX_CHOICES:
        return _invalid(f'prompt must hold at most {MAX_CHOICES} prompts.')
    return _build_parsed_body(
        parsed,
        body,
        prompt=prompt,
        prompt_tokens=tokens,
        default_limit=DEFAULT_COMPLETION_TOKENS,
        prompts=count,
    )


def _build_parsed_body(
    parsed: _CommonFields,
    body: bytes,
    *,
    prompt: str,
    prompt_tokens: int,
    default_limit: int,
    prompts: int = 1,
) -> ParsedBody | Refusal:
    choices = 1 if parsed.n is None else parsed.n
    requested = parsed.requested_limits
    limit = max(requested, default=default_limit)
    if not parsed.model:
        return _invalid('model must not be empty.')
    if not 1 <= choices <= MAX_CHOICES:
        return _invalid(f'n must be between 1 and {MAX_CHOICES}.')
    if min(requested, default=1) < 1 or limit > MAX_OUTPUT_TOKENS:
        return _invalid(
            f'max_tokens must be between 1 and {MAX_OUTPUT_TOKENS}.'
        )
    return ParsedBody(
        model=ModelId(parsed.model),
        prompt=prompt,
        prompt_tokens=max(1, prompt_tokens),
        max_output_tokens=limit * choices * prompts,
        choices=choices * prompts,
        streaming=bool(parsed.stream),
        body=body if requested else _insert_max_tokens(body, default_limit),
    )


def _insert_max_tokens(body: bytes, limit: int) -> bytes:
    # Without max_tokens the engine could generate more than was reserved.
    if b'max_tokens' not in body:
        start = body.index(b'{') + 1
        return b'%b"max_tokens":%d,%b' % (body[:start], limit, body[start:])
    document: dict[str, Any] = msgspec.json.decode(body)
    document['max_tokens'] = limit
    return msgspec.json.encode(document)


def _message_text(message: Message) -> str:
    content = message.content
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return ''.join(part.text for part in content)


def _prompt_text(
    prompt: str | list[str | int | list[int]],
) -> tuple[str, int, int]:
    if isinstance(prompt, str):
        return prompt, text_tokens(prompt), 1
    text = '\n'.join(part for part in prompt if isinstance(part, str))
    token_ids = sum(_token_count(part) for part in prompt)
    count = sum(1 for part in prompt if not isinstance(part, int))
    return text, text_tokens(text) + token_ids, max(1, count)


def _token_count(part: str | int | list[int]) -> int:
    if isinstance(part, str):
        return 0
    return 1 if isinstance(part, int) else len(part)


def _decode_error_detail(error: Exception) -> str:
    if isinstance(error, UnicodeError):
        return 'The body is not valid UTF-8.'
    return f'{error}.'


def _invalid(detail: str) -> Refusal:
    return Refusal(RefusalCode.INVALID_REQUEST, detail=detail)
