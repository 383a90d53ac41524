"""Steps that test the parsers of the gateway, which do no I/O."""

import json
import os

import msgspec
from baobabwharf_core.refusals import Refusal
from baobabwharf_daemon.forwarding.event_stream_parser import EventStreamParser
from baobabwharf_daemon.gateway.body_parser import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    MAX_OUTPUT_TOKENS,
    parse_body,
)
from baobabwharf_daemon.gateway.scrub import scrub_json, scrub_url
from behave import then, when
from hypothesis import given as given_each
from hypothesis import seed, settings
from hypothesis import strategies as st

EXAMPLES = int(os.environ.get('GATEWAY_FUZZ_EXAMPLES', '300'))
KEY = b'bw-secret/key'
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)
MESSAGES = st.lists(
    st.fixed_dictionaries(
        {'role': st.sampled_from(['user', 'system']), 'content': st.text()}
    ),
    max_size=3,
)
FIELDS = {
    'model': st.just('rota-1') | JSON,
    'messages': MESSAGES | JSON,
    'prompt': st.text() | st.lists(st.text(), max_size=3) | JSON,
    'stream': st.booleans() | JSON,
    'n': st.integers(0, 20) | JSON,
    'max_tokens': st.integers(-1, 40_000) | JSON,
    'max_completion_tokens': st.integers(-1, 40_000) | JSON,
}
VALID_BODIES = st.fixed_dictionaries(
    {
        'model': st.just('rota-1'),
        'messages': st.just([{'role': 'user', 'content': 'Plan the shift'}]),
        'prompt': st.text(min_size=1, max_size=9),
    },
    optional={
        'n': st.integers(0, 17),
        'max_tokens': st.none() | st.integers(0, 33_000),
        'max_completion_tokens': st.none() | st.integers(0, 33_000),
        'stream': st.none() | st.booleans(),
    },
)
BODIES = (
    VALID_BODIES.map(json.dumps).map(str.encode)
    | st.binary(max_size=200)
    | st.text(max_size=200).map(str.encode)
    | JSON.map(json.dumps).map(str.encode)
    | st.fixed_dictionaries({}, optional=FIELDS).map(json.dumps).map(str.encode)
)


class ParserSubject:
    def __init__(self):
        self.accepted = 0
        self.refused = 0

    def check(self, path, body):
        parsed = parse_body(path, body)
        if isinstance(parsed, Refusal):
            assert 400 <= parsed.status < 500, parsed
            self.refused += 1
            return
        self.accepted += 1
        assert parsed.prompt_tokens >= 1
        sent = json.loads(parsed.body)
        requested = (sent.get('max_tokens'), sent.get('max_completion_tokens'))
        limit = max(count for count in requested if count is not None)
        assert 1 <= limit <= MAX_OUTPUT_TOKENS
        assert limit * parsed.choices == parsed.max_output_tokens


@when('the request parser of the gateway is fuzzed with seed {number:d}')
def fuzz(context, number):
    subject = ParserSubject()
    context.subject = subject
    print(f'seed {number}, {EXAMPLES} examples')

    @seed(number)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given_each(st.sampled_from([CHAT_PATH, COMPLETIONS_PATH]), BODIES)
    def examples(path, body):
        subject.check(path, body)

    examples()


@then('the request parser of the gateway never raised')
def counted(context):
    assert context.subject.accepted and context.subject.refused


@then('every body that the gateway parser accepts contains its output limit')
def states_limit(context):
    subject = ParserSubject()
    message = '"messages":[{"role":"user","content":"x"}]'
    for extra in (
        '',
        ',"max_tokens":null',
        ',"max_tokens":null,"max_completion_tokens":9',
        ',"max_completion_tokens":7,"max_tokens":3',
        ',"user":"max_tokens"',
        ',"n":3',
    ):
        body = f' {{"model":"rota-1",{message}{extra}}}'
        subject.check(CHAT_PATH, body.encode())
    assert subject.accepted == 6, subject.refused
    for prompt in ('"a"', '["a","b"]', '[1,2]', '[[1],[2]]'):
        body = f'{{"model":"rota-1","prompt":{prompt}}}'
        subject.check(COMPLETIONS_PATH, body.encode())
    assert subject.accepted == 10, subject.refused


def event(request_id, text, separators=(',', ':'), **fields):
    choices = [{'index': 0, 'delta': {'content': text}}]
    document = {'id': f'chatcmpl-{request_id}', 'choices': choices, **fields}
    return f'data: {json.dumps(document, separators=separators)}\n\n'.encode()


def feed(stream, content, split_points):
    passed_on = b''
    start = 0
    for end in [
        *sorted(end % (len(content) + 1) for end in split_points),
        len(content),
    ]:
        passed_on += stream.feed(content[start:end])
        start = end
    return passed_on


@then('the event stream of the gateway counts the same for any split')
def counts_any_split(context):
    delimiters = [
        'a',
        '',
        '"content":"',
        '\n\ndata: [DONE]\n\n',
        '\\"id":"x"',
        'é',
    ]

    @seed(11)
    @settings(max_examples=200, deadline=None, database=None)
    @given_each(
        st.lists(st.sampled_from(delimiters), min_size=1, max_size=8),
        st.lists(st.integers(0, 2000), max_size=6),
        st.sampled_from([(',', ':'), (', ', ': ')]),
        st.sampled_from([b'\n', b'\r\n']),
    )
    def examples(texts, split_points, separators, newline):
        content = b''.join(event('r1', text, separators) for text in texts)
        content += event('r1', '', usage={'completion_tokens': 4})
        content += b': comment\n\ndata: [DONE]\n\n'
        stream = EventStreamParser('r1', 'shown')
        passed_on = feed(stream, content.replace(b'\n', newline), split_points)
        assert stream.done and not stream.broken
        assert stream.tokens == sum(1 for text in texts if text)
        assert stream.usage.completion_tokens == 4
        assert passed_on == content.replace(b'r1', b'shown')

    examples()


@then(
    'the event stream of the gateway stops before an event of another response'
)
def foreign_event(context):
    @seed(13)
    @settings(max_examples=200, deadline=None, database=None)
    @given_each(st.integers(0, 6), st.lists(st.integers(0, 2000), max_size=4))
    def examples(before, split_points):
        valid = b''.join(event('r1', f't{index}') for index in range(before))
        foreign = event('r2', 'not yours')
        rest = event('r1', 'x') + b'data: [DONE]\n\n'
        stream = EventStreamParser('r1')
        passed_on = feed(stream, valid + foreign, split_points)
        assert stream.mismatch and not stream.done
        assert passed_on == valid
        whole = EventStreamParser('r1')
        assert whole.feed(valid + foreign + rest) == valid
        assert whole.mismatch

    examples()


@then('the event stream of the gateway joins the data lines of an event')
def joined_lines(context):
    @seed(31)
    @settings(max_examples=200, deadline=None, database=None)
    @given_each(
        st.sampled_from(['data: ', 'data:', 'id: 7\ndata: ']),
        st.lists(st.integers(0, 2000), max_size=4),
    )
    def examples(prefix, split_points):
        first = '{"id":"chatcmpl-r1",'
        second = '"choices":[{"delta":{"content":"a"}}]}'
        content = f'{prefix}{first}\ndata: {second}\n\n'.encode()
        stream = EventStreamParser('r1')
        passed_on = feed(stream, content + b'data: [DONE]\n\n', split_points)
        assert stream.done and not stream.broken
        assert stream.tokens == 1, stream.tokens
        assert passed_on == content + b'data: [DONE]\n\n'

    examples()


@then('the scrubber of the gateway redacts a key however it is escaped')
def scrubbed(context):
    @seed(17)
    @settings(max_examples=200, deadline=None, database=None)
    @given_each(st.lists(st.booleans(), min_size=len(KEY), max_size=len(KEY)))
    def examples(flags):
        pairs = list(zip(KEY.decode(), flags, strict=True))
        escaped = ''.join(f'\\u{ord(c):04x}' if f else c for c, f in pairs)
        body = f'{{"a":["x{escaped}y"],"{escaped}":1}}'.encode()
        clean = scrub_json(body, KEY)
        assert KEY.decode() not in str(msgspec.json.decode(clean))
        quoted = ''.join(f'%{ord(c):02X}' if f else c for c, f in pairs)
        passed_on = scrub_url(f'/a/{quoted}?b=1', KEY)
        assert KEY.decode() not in passed_on and quoted not in passed_on

    examples()
