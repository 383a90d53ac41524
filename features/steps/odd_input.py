"""Feed odd messages to the boundaries of the programs."""

import asyncio
import json
import logging
import random
import socket
import sys
import tempfile
import typing
from pathlib import Path

import msgspec
import uvloop
from baobabwharf_core import codec
from baobabwharf_core.announcements import Heartbeat, LoadReport
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.codec import decode, encode, encode_each
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_daemon.endpoint_registry import (
    AgedAnnouncement,
    AgedHeartbeat,
    SyncRequest,
)
from baobabwharf_daemon.gateway import announcement_routes
from baobabwharf_daemon.proxy import endpoint_store
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector
from baobabwharf_daemon.proxy.endpoint_store import EndpointStore
from baobabwharf_decisions.limits import ReturnRequest
from baobabwharf_decisions.limits.messages import Returned
from baobabwharf_decisions.proxying.endpoint_table import (
    MAX_ENDPOINTS,
    EndpointTable,
)
from baobabwharf_platform import registrations
from baobabwharf_soak.datagram_boundaries import DATAGRAM_BOUNDARIES
from baobabwharf_soak.fuzz import BOUNDARIES, REGRESSIONS
from baobabwharf_soak.platform_boundaries import RegistrationBoundary
from baobabwharf_soak.registry_boundaries import (
    RegistrySubject,
    announcement,
    beat,
)
from baobabwharf_testkit.fuzz import fuzzer, spoiling
from baobabwharf_testkit.fuzz.boundary import Encoding
from behave import given, then, when
from behave.runner import Context
from endpoint_store import record as endpoint_record
from proxy_exchanges import SingleVmView

_NUMBERS = ('slots', 'sequence', 'born', 'coldLeftMs', 'leavesMs')
_TOO_LARGE = (2**53, 2**63, 2**64, 2**70, 2**200, 1e300, -1e300)


def _quiet(context: Context) -> None:
    """Write no line for each of thousands of odd messages."""
    logging.disable(logging.CRITICAL)
    context.add_cleanup(logging.disable, logging.NOTSET)


@given('every boundary of the programs')
def every_boundary(context: Context) -> None:
    _quiet(context)
    names = [boundary.name for boundary in BOUNDARIES]
    assert len(set(names)) == len(names)


@then('valid messages are accepted')
def valid_accepted(context: Context) -> None:
    for boundary in BOUNDARIES:
        assert not fuzzer.check_samples(boundary), boundary.name


@then('a message with any one field spoiled is refused or can be used')
def each_field(context: Context) -> None:
    for boundary in BOUNDARIES:
        findings = fuzzer.check_each_field(boundary)
        assert not findings, (len(findings), findings[0])


@then(
    '{count:d} random messages with seed {seed:d} are refused or can be used at each'
)
def random_messages(context: Context, count: int, seed: int) -> None:
    for boundary in BOUNDARIES:
        finding = fuzzer.search(boundary, seed, count)
        assert finding is None, finding


@then('those that were kept are borne')
def regressions(context: Context) -> None:
    assert list(REGRESSIONS.iterdir())
    assert not fuzzer.replay(BOUNDARIES, REGRESSIONS)


@given('registrations are decoded without the range of "{field}"')
def without_range(context: Context, field: str) -> None:
    _quiet(context)
    kind = registrations._Registration
    hints = typing.get_type_hints(kind, include_extras=True)
    plain = typing.get_type_hints(kind)
    # The types without their ranges, which get_type_hints leaves out.
    hints[field] = plain[field]
    fields = [
        (one.name, hints[one.name])
        if one.required
        else (one.name, hints[one.name], one.default)
        for one in msgspec.structs.fields(kind)
    ]
    open_kind = msgspec.defstruct(
        'Registration', fields, frozen=True, rename='camel'
    )
    sound = registrations._decoder
    registrations._decoder = msgspec.json.Decoder(open_kind)
    context.add_cleanup(setattr, registrations, '_decoder', sound)


# The message, the part of it that has the field, and how it is decoded.
_MESSAGE_KINDS = {
    'heartbeat': (Heartbeat, LoadReport),
    'token-return': (ReturnRequest, Returned),
}


def _without_range(kind: type, name: str, field_type: object) -> type:
    """Return a kind of message with another type for one field."""
    (field,) = (one for one in msgspec.structs.fields(kind) if one.name == name)
    spec = (name, field_type)
    if not field.required:
        spec = (name, field_type, field.default)
    return msgspec.defstruct(kind.__name__, [spec], bases=(kind,), frozen=True)


@given('{name} whose "{part}" is decoded without the range of "{field}"')
def nested_without_range(
    context: Context, name: str, part: str, field: str
) -> None:
    _quiet(context)
    kind, part_kind = _MESSAGE_KINDS[name]
    open_part = _without_range(part_kind, field, int)
    is_list = part != 'load'
    part_type = tuple[open_part, ...] if is_list else open_part
    open_kind = _without_range(kind, part, part_type)
    if kind is Heartbeat:
        place, key = vars(announcement_routes), '_heartbeats'
        decoder = msgspec.json.Decoder(open_kind)
    else:
        place, key = codec._decoders, kind
        decoder = msgspec.msgpack.Decoder(open_kind)
    sound = place.get(key)
    place[key] = decoder
    context.add_cleanup(place.__setitem__, key, sound)
    context.boundary = next(one for one in BOUNDARIES if one.name == name)


@then('one with any field spoiled makes the VM fail')
def nested_search_finds(context: Context) -> None:
    assert fuzzer.check_each_field(context.boundary)


@given(
    'heartbeats of {count:d} endpoints of which each in turn is spoiled in '
    'each way'
)
def handed_over_spoiled(context: Context, count: int) -> None:
    _quiet(context)
    names = [EndpointId(f'i-{number}') for number in range(count)]
    announced = encode_each(
        AgedAnnouncement(announcement(name), 1) for name in names
    )
    beats = encode_each(AgedHeartbeat(beat(name), 1) for name in names)
    context.requests = []
    for number, sound in enumerate(beats):
        document = msgspec.msgpack.decode(bytes(sound))
        for path in spoiling.paths(document):
            for token in filter(_is_whole, spoiling.tokens(Encoding.MSGPACK)):
                changed = list(beats)
                spoiled = spoiling.replace_at(
                    document, path, msgspec.Raw(token)
                )
                changed[number] = msgspec.Raw(encode(spoiled))
                request = SyncRequest(VmId('o'), announced, tuple(changed))
                context.requests.append((names[number], encode(request)))


@then('a VM that is handed them knows the load of the other {count:d}')
def knows_other_loads(context: Context, count: int) -> None:
    assert len(context.requests) > 1000
    for spoiled_id, content in context.requests:
        subject = RegistrySubject()
        subject.hand_over(decode(content, SyncRequest))
        loads = subject.reported_requests()
        loads.pop(spoiled_id, None)
        assert len(loads) == count, (spoiled_id, loads)
        assert set(loads.values()) == {3}, (spoiled_id, loads)


@then('a registration with any one field spoiled makes the VM fail')
def search_finds(context: Context) -> None:
    boundary = RegistrationBoundary()
    assert not fuzzer.check_samples(boundary)
    assert fuzzer.check_each_field(boundary)


@then('each registration with one number too large names its field')
def names_field(context: Context) -> None:
    sample = json.loads(RegistrationBoundary().samples()[0])
    for field in _NUMBERS:
        for number in _TOO_LARGE:
            content = json.dumps({**sample, field: number}).encode()
            decoded = registrations.decode_registration(
                'i-1', content, {'z-1': 'r-1'}
            )
            assert decoded.is_error(), (field, number)
            assert f'$.{field}' in decoded.error, decoded.error


@given(
    '{count:d} stored endpoints of which each in turn is spoiled in each way'
)
def stored_spoiled(context: Context, count: int) -> None:
    _quiet(context)
    records = [
        msgspec.msgpack.decode(encode(endpoint_record(number)))
        for number in range(count)
    ]
    context.spoiled_files = []
    for number, sound in enumerate(records):
        for path in spoiling.paths(sound):
            for token in spoiling.tokens(Encoding.MSGPACK):
                # A length beyond the end, or nesting beyond what can be skipped,
                # spoils the file, not one record.
                if not _is_whole(token):
                    continue
                changed = list(records)
                changed[number] = spoiling.replace_at(
                    sound, path, msgspec.Raw(token)
                )
                context.spoiled_files.append((number, changed))


def _is_whole(token: bytes) -> bool:
    try:
        msgspec.msgpack.decode(token)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


@then('a disk VM that starts knows the other {count:d}')
def knows_others(context: Context, count: int) -> None:
    clock = SystemClock()
    assert len(context.spoiled_files) > 1000
    for number, records in context.spoiled_files:
        with tempfile.TemporaryDirectory() as folder:
            stored = {'wall_ms': clock.wall_ms(), 'records': records}
            path = Path(folder) / endpoint_store._FILE
            path.write_bytes(encode(stored))
            loaded = EndpointStore(Path(folder), clock).load()
        others = {one.endpoint_id for one in loaded} - {f'i-{number}'}
        assert len(others) >= count, (number, loaded)


@given('a socket that receives load reports')
def load_socket(context: Context) -> None:
    _quiet(context)
    boundary = next(one for one in DATAGRAM_BOUNDARIES if one.name == 'loads')
    context.boundary = boundary
    context.task = boundary._task()


@when('odd datagrams of each kind arrive before a sound one')
def odd_datagrams(context: Context) -> None:
    boundary, task = context.boundary, context.task
    sample = boundary.samples()[0]
    odd = [
        content
        for content in spoiling.spoiled(sample, boundary.encoding)
        if len(content) < 60_000
    ]
    assert len(odd) > 200, len(odd)

    async def send_all() -> None:
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: task, local_addr=('127.0.0.1', 0)
        )
        address = transport.get_extra_info('sockname')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for content in odd:
                sender.sendto(content, address)
                # The receive buffer holds few of the large ones.
                await asyncio.sleep(0)
            for _repeat in range(50):
                sender.sendto(_newer(sample), address)
                await asyncio.sleep(0.01)
        context.closed = transport.is_closing()
        transport.close()

    loop = uvloop.new_event_loop()
    loop.run_until_complete(send_all())
    loop.close()


def _newer(sample: bytes) -> bytes:
    """Return a report that is newer than any with a spoiled sequence."""
    report = msgspec.msgpack.decode(sample)
    return encode({**report, 'vm_id': 'sound', 'sequence': 9})


@then('the sound one is applied')
def sound_applied(context: Context) -> None:
    assert isinstance(context.task, DatagramTask)
    assert not context.closed
    assert context.task._newest['sound'] == 9


@given('{count:d} endpoints of a known service')
def known_endpoints(context: Context, count: int) -> None:
    context.endpoint_table = EndpointTable()
    context.endpoint_table.services = frozenset(('s',))
    context.sound = [endpoint_record(number) for number in range(count)]
    for sound in context.sound:
        assert context.endpoint_table.update(sound, 1)


@when('{count:d} later entries of unknown services name their addresses')
def unknown_services(context: Context, count: int) -> None:
    for number in range(count):
        sound = context.sound[number % len(context.sound)]
        odd = msgspec.structs.replace(
            sound,
            endpoint_id=f'odd-{number}',
            service=f'unknown-{number}',
            incarnation=2**52,
        )
        context.endpoint_table.update(odd, 1)


@then('the sound ones are all known and their heartbeats are taken')
def sound_hold(context: Context) -> None:
    table = context.endpoint_table
    for sound in context.sound:
        assert table.entries[sound.endpoint_id].record == sound
        beat = msgspec.structs.replace(sound, sequence=2, draining=True)
        assert table.update(beat, 2), sound
        assert table.entries[sound.endpoint_id].record == beat


@then('the table holds at most {count:d} entries')
def bounded(context: Context, count: int) -> None:
    table = context.endpoint_table
    assert len(table.entries) == MAX_ENDPOINTS == count


@then('an endpoint of a known service takes over the address of one that ended')
def takes_over(context: Context) -> None:
    table = context.endpoint_table
    ended = table.entries['i-1'].record
    taker = msgspec.structs.replace(
        ended, endpoint_id='i-new', incarnation=ended.incarnation + 1
    )
    assert table.update(taker, 3)
    assert 'i-1' not in table.entries
    for endpoint_id in tuple(table.entries):
        table.drop(endpoint_id)
    assert not table._ids_at


def _count_steps(action) -> int:
    """Return the number of bytecode instructions that an action takes.

    Unlike times, it is the same on a busy machine.
    """
    steps = 0

    def trace(frame, event, argument):
        nonlocal steps
        frame.f_trace_opcodes = True
        steps += event == 'opcode'
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return steps


def _steps_by_action(context: Context) -> dict[str, int]:
    own = VmRecord('v', 'r', 'z', False, '', '', '')
    selector = EndpointSelector(
        own,
        SystemClock(),
        context.endpoint_table,
        SingleVmView(),
        random.Random(1),
    )
    service = DeployedService('s')
    # Loads are created when they are first asked for.
    selector.endpoints.candidates(service, frozenset(), selector.loads)
    actions = {
        'choose an endpoint': lambda: selector.endpoints.candidates(
            service, frozenset(), selector.loads
        ),
        'publish the region slots': selector.own_slots,
    }
    return {name: _count_steps(action) for name, action in actions.items()}


@when('{count:d} later entries of unknown services are added')
def add_unknown(context: Context, count: int) -> None:
    context.steps_before = _steps_by_action(context)
    unknown_services(context, count)
    context.steps_after = _steps_by_action(context)


@then('they add at most a tenth to the steps that it takes to {what}')
def steps_bounded(context: Context, what: str) -> None:
    before, after = context.steps_before[what], context.steps_after[what]
    assert before > 100 and after <= before * 1.1, (before, after)
