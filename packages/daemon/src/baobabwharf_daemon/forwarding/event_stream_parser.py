"""Check a stream of server-sent events while it passes through."""

from typing import Any

import msgspec

MAX_EVENT_BYTES = 1024 * 1024

_END = b'\n\n'
_DATA = b'data:'
_DONE = b'[DONE]'
_DONE_EVENT = b'data: [DONE]\n\n'
_CONTENT = b'"content":"'
_NO_CONTENT = b'"content":""'
# Events with these are parsed one by one; so are all with spaces.
_UNUSUAL = (b'"error"', b'"usage"', b'"tool_calls"', b'_content"', b'": ')


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[Any] | None = None
    reasoning_content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class Usage(msgspec.Struct):
    """Hold the token counts that an engine reports."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct):
    id: str | None = None
    choices: list[_Choice] = []
    usage: Usage | None = None
    error: Any = None


class _Whole(msgspec.Struct):
    id: str | None = None
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(_Event)
_whole_decoder = msgspec.json.Decoder(_Whole)


class EventStreamParser:
    """Cut chunks into whole events and count their tokens.

    One token is one event with a choice whose delta or text is not empty.
    """

    def __init__(self, request_id: str, shown_id: str = '') -> None:
        self._request_id = request_id
        # A resumed stream goes on under the id with which it began.
        self._rename = shown_id not in {'', request_id}
        self._sent_id = request_id.encode()
        self._shown_id = shown_id.encode()
        self._tail = b''
        self.tokens = 0
        self.usage: Usage | None = None
        self._marker = b''
        self.done = False
        self.mismatch = False
        self.failed = False

    @property
    def broken(self) -> bool:
        """Tell whether an event was wrong; it was not passed on."""
        return self.mismatch or self.failed

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that may be passed on."""
        buffered = self._tail + chunk if self._tail else chunk
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        end = buffered.rfind(_END) + len(_END)
        if end < len(_END):
            self._keep(buffered)
            return b''
        self._tail = buffered[end:]
        return self._shown(buffered, self._check(buffered, end))

    def _count_plain(self, buffered: bytes, start: int, end: int) -> bool:
        """Count events that all look like the first one, without parsing.

        The marker is the raw beginning of a checked event up to the end of
        its id.  Its quotes cannot stand unescaped inside a JSON string, so
        as many markers as events means that each event has the right id.
        """
        if any(buffered.find(word, start, end) >= 0 for word in _UNUSUAL):
            return False
        events = buffered.count(_END, start, end)
        finished = buffered.endswith(_DONE_EVENT, start, end)
        if buffered.count(self._marker, start, end) != events - finished:
            return False
        filled = buffered.count(_CONTENT, start, end)
        self.tokens += filled - buffered.count(_NO_CONTENT, start, end)
        self.done = finished
        return True

    def _shown(self, buffered: bytes, passed: int) -> bytes:
        shown = buffered if passed == len(buffered) else buffered[:passed]
        if self._rename:
            return shown.replace(self._sent_id, self._shown_id)
        return shown

    def _check(self, buffered: bytes, end: int) -> int:
        """Return the end of the events that may be passed on."""
        passed = 0
        tried = False
        while passed < end:
            if self._marker and not tried:
                tried = True
                if self._count_plain(buffered, passed, end):
                    return end
            after = buffered.index(_END, passed) + len(_END)
            if not self._inspect(buffered[passed : after - 2]):
                break
            passed = after
        return passed

    def _keep(self, buffered: bytes) -> None:
        self._tail = buffered
        self.failed = len(buffered) > MAX_EVENT_BYTES

    def _inspect(self, event: bytes) -> bool:
        if not event.startswith(_DATA):
            return self._inspect_lines(event)
        payload = event[len(_DATA) :].strip()
        if payload == _DONE:
            self.done = True
            return True
        return self._inspect_payload(payload)

    def _inspect_lines(self, event: bytes) -> bool:
        lines = [line for line in event.splitlines() if line[:5] == _DATA]
        if lines:
            return self._inspect(b'\n'.join(lines))
        return True

    def _inspect_payload(self, payload: bytes) -> bool:
        try:
            event = _decoder.decode(payload)
        except msgspec.DecodeError:
            self.failed = True
            return False
        if event.id and self._request_id not in event.id:
            self.mismatch = True
            return False
        if event.error is not None:
            self.failed = True
            return False
        self._count(event)
        self._marker = _marker_of(payload, event)
        return True

    def _count(self, event: _Event) -> None:
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


def _marker_of(payload: bytes, event: _Event) -> bytes:
    """Return the beginning of compact events; empty if they differ."""
    marker = b'{"id":"%b"' % (event.id or '').encode()
    if payload.startswith(marker) and _CONTENT in payload:
        return b'data: %b' % marker
    return b''


def read_whole(body: bytes, request_id: str) -> Usage | None:
    """Return the usage of a whole answer; None if it is another's."""
    try:
        whole = _whole_decoder.decode(body)
    except msgspec.DecodeError:
        return Usage()
    if whole.id and request_id not in whole.id:
        return None
    return whole.usage or Usage()
