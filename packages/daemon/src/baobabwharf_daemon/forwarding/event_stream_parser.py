"""Validate server-sent events of an engine while they are relayed."""

from typing import Any

import msgspec
from baobabwharf_core.input_types import ExactInteger

MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = b'\n\n'
_DATA_FIELD = b'data:'
_DONE_PAYLOAD = b'[DONE]'
_DONE_EVENT = b'data: [DONE]\n\n'
_CONTENT_FIELD = b'"content":"'
_EMPTY_CONTENT_FIELD = b'"content":""'
# Chunks that hold one of these are parsed event by event; the last one matches
# JSON with a space after the colon.
_FULL_PARSE_MARKERS = (
    b'"error"',
    b'"usage"',
    b'"tool_calls"',
    b'_content"',
    b'": ',
)


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[Any] | None = None
    reasoning_content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class Usage(msgspec.Struct):
    """Hold the token counts that an engine reports."""

    prompt_tokens: ExactInteger = 0
    completion_tokens: ExactInteger = 0


class _Event(msgspec.Struct):
    id: str | None = None
    choices: list[_Choice] = []
    usage: Usage | None = None
    error: Any = None


class _CompletionResponse(msgspec.Struct):
    id: str | None = None
    usage: Usage | None = None


_event_decoder = msgspec.json.Decoder(_Event)
_completion_decoder = msgspec.json.Decoder(_CompletionResponse)


class EventStreamParser:
    """Split chunks into complete events, validate them and count tokens.

    Each choice of an event whose delta or text is not empty counts as one
    token.
    """

    def __init__(self, request_id: str, visible_id: str = '') -> None:
        self._request_id = request_id
        # A resumed stream keeps the id of its first attempt.
        self._rewrites_id = visible_id not in {'', request_id}
        self._attempt_id_bytes = request_id.encode()
        self._visible_id_bytes = visible_id.encode()
        self._incomplete_event = b''
        self.tokens = 0
        self.usage: Usage | None = None
        self._event_prefix = b''
        self.done = False
        self.mismatch = False
        self.failed = False

    @property
    def broken(self) -> bool:
        """Return whether an invalid event was found; it is not passed on."""
        return self.mismatch or self.failed

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the complete, valid events to pass on."""
        buffered = (
            self._incomplete_event + chunk if self._incomplete_event else chunk
        )
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        end = buffered.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._buffer_incomplete(buffered)
            return b''
        self._incomplete_event = buffered[end:]
        return self._rewrite_ids(
            buffered, self._find_accepted_end(buffered, end)
        )

    def _count_uniform_events(
        self, buffered: bytes, start: int, end: int
    ) -> bool:
        """Count events that all start like a checked one, without parsing.

        The prefix is the raw beginning of a checked event up to the end of
        its id.  Its quotes cannot occur unescaped inside a JSON string, so
        if it occurs once per event, each event has the right id.  Return
        False if the events must be parsed one by one.
        """
        if any(
            buffered.find(marker, start, end) >= 0
            for marker in _FULL_PARSE_MARKERS
        ):
            return False
        events = buffered.count(_EVENT_END, start, end)
        finished = buffered.endswith(_DONE_EVENT, start, end)
        if buffered.count(self._event_prefix, start, end) != events - finished:
            return False
        with_content = buffered.count(_CONTENT_FIELD, start, end)
        self.tokens += with_content - buffered.count(
            _EMPTY_CONTENT_FIELD, start, end
        )
        self.done = finished
        return True

    def _rewrite_ids(self, buffered: bytes, accepted_end: int) -> bytes:
        accepted = (
            buffered
            if accepted_end == len(buffered)
            else buffered[:accepted_end]
        )
        if self._rewrites_id:
            return accepted.replace(
                self._attempt_id_bytes, self._visible_id_bytes
            )
        return accepted

    def _find_accepted_end(self, buffered: bytes, end: int) -> int:
        """Return the offset up to which the events are valid."""
        accepted_end = 0
        fast_path_tried = False
        while accepted_end < end:
            if self._event_prefix and not fast_path_tried:
                fast_path_tried = True
                if self._count_uniform_events(buffered, accepted_end, end):
                    return end
            next_start = buffered.index(_EVENT_END, accepted_end) + len(
                _EVENT_END
            )
            if not self._check_event(buffered[accepted_end : next_start - 2]):
                break
            accepted_end = next_start
        return accepted_end

    def _buffer_incomplete(self, buffered: bytes) -> None:
        self._incomplete_event = buffered
        self.failed = len(buffered) > MAX_EVENT_BYTES

    def _check_event(self, event: bytes) -> bool:
        if b'\n' in event or not event.startswith(_DATA_FIELD):
            return self._check_multiline_event(event)
        payload = event[len(_DATA_FIELD) :].strip()
        if payload == _DONE_PAYLOAD:
            self.done = True
            return True
        return self._check_payload(payload)

    def _check_multiline_event(self, event: bytes) -> bool:
        lines = [
            line[len(_DATA_FIELD) :].removeprefix(b' ')
            for line in event.split(b'\n')
            if line.startswith(_DATA_FIELD)
        ]
        if not lines:
            return True
        payload = b'\n'.join(lines).strip()
        if payload == _DONE_PAYLOAD:
            self.done = True
            return True
        return self._check_payload(payload)

    def _check_payload(self, payload: bytes) -> bool:
        try:
            event = _event_decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError):
            self.failed = True
            return False
        if event.id and self._request_id not in event.id:
            self.mismatch = True
            return False
        if event.error is not None:
            self.failed = True
            return False
        self._count_tokens(event)
        self._event_prefix = _find_event_prefix(payload, event)
        return True

    def _count_tokens(self, event: _Event) -> None:
        if event.usage is not None:
            self.usage = event.usage
        for choice in event.choices:
            delta = choice.delta
            if choice.text or (
                delta is not None
                and (
                    delta.content or delta.tool_calls or delta.reasoning_content
                )
            ):
                self.tokens += 1


def _find_event_prefix(payload: bytes, event: _Event) -> bytes:
    """Return the raw beginning shared by compact events with this id.

    Empty if the event is not in the compact form.
    """
    prefix = b'{"id":"%b"' % (event.id or '').encode()
    if payload.startswith(prefix) and _CONTENT_FIELD in payload:
        return b'data: %b' % prefix
    return b''


def read_usage(body: bytes, request_id: str) -> Usage | None:
    """Return the usage in a complete response body.

    None if the id in the body belongs to another request.
    """
    try:
        response = _completion_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return Usage()
    if response.id and request_id not in response.id:
        return None
    return response.usage or Usage()
