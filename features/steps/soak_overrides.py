"""Read the soak's address overrides while the file is rewritten."""

import json

from baobabwharf_soak.fleet import write_overrides
from behave import given, then, when
from behave.runner import Context


class OverridesFile:
    """Hold the file, a reader and the part that it has read."""

    def __init__(self, context: Context) -> None:
        self.path = context.path / 'overrides.json'
        self.reader = None
        self.read_part = b''

    def write(self, count: int) -> None:
        overrides = {
            f'127.0.0.{number}:20010': f'127.0.0.1:{20_000 + count + number}'
            for number in range(count)
        }
        write_overrides(self.path, overrides)


@given('a file of {count:d} address overrides')
def existing_file(context: Context, count: int) -> None:
    context.overrides = OverridesFile(context)
    context.overrides.write(count)


@given('a reader that has read {size:d} bytes of it')
def partial_reader(context: Context, size: int) -> None:
    overrides = context.overrides
    overrides.reader = overrides.path.open('rb', buffering=0)
    context.add_cleanup(overrides.reader.close)
    overrides.read_part = overrides.reader.read(size)


@when('the soak writes {count:d} overrides to it')
def rewrite(context: Context, count: int) -> None:
    context.overrides.write(count)


@then('the reader has received {count:d} overrides')
def reader_has_received(context: Context, count: int) -> None:
    content = context.overrides.read_part + context.overrides.reader.read()
    assert len(json.loads(content)) == count, content


@then('a new reader gets {count:d} overrides')
def new_reader_gets(context: Context, count: int) -> None:
    assert len(json.loads(context.overrides.path.read_bytes())) == count
