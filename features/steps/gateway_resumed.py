"""Break a stream off and let the next endpoint answer with anything else."""

import itertools

from behave import then, when
from behave.runner import Context
from gateway_fakes import FOREIGN_TEXT
from gateway_subject import GatewaySubject

_STATUSES = (200, 201, 204, 301, 304, 400, 401, 404, 409, 422, 429, 500, 503)
_MEDIA_TYPES = ('application/json', 'text/plain')


@when('a stream breaks off and the next endpoint answers with {count} VMs')
def break_off(context: Context, count: str) -> None:
    context.answers = []
    for status, media in itertools.product(_STATUSES, _MEDIA_TYPES):
        subject = GatewaySubject(context.path)
        names = f'cut, status-{status}-{media}'
        subject.run(subject.start(names, int(count)))
        subject.run(subject.chat('stream'))
        assert len(subject.endpoints[1].seen) == 1, names
        context.answers.append((names, subject.status, subject.text))
        subject.close()


@then('each stream ends with an error event and holds nothing of that answer')
def own_error(context: Context) -> None:
    wrong = []
    for names, status, text in context.answers:
        events = text.split('\n\n')
        sound = status == 200 and events.pop() == ''
        error = events.pop() if events else ''
        contents = [event.startswith('data: {"id"') for event in events]
        ended = '"error"' in error
        foreign = FOREIGN_TEXT.decode() in text or 'HTTP/1.1' in text
        foreign = foreign or '[DONE]' in text
        continued = len(contents) == 2 and all(contents)
        if foreign or not (sound and continued and ended):
            wrong.append((names, status, text))
    total = len(context.answers)
    assert total > 10 and not wrong, f'{len(wrong)} of {total}: {wrong[0]}'
