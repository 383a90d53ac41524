"""Send odd registrations and configurations to a running fleet."""

import json
import signal

from baobabwharf_soak.platform_boundaries import (
    ConfigurationBoundary,
    RegistrationBoundary,
)
from behave import then, when
from behave.runner import Context
from platform_fleet import _request_until_run

_DEPTHS = (2000, 100_000, 400_000)
_NUMBERS = (2**53, 2**64, 2**70, 2**200, 1e300, -1e300)
_TEXTS = ('', 'a\0', 'a\r\nX: y', 'a' * 5000)
_ADDRESSES = (
    '10.0.0.1',
    '10.0.0.1:0',
    '10.0.0.1:70000',
    '10.0.0.1:' + '9' * 30,
    '10.0.0.1:²',
    '10.0.0.1\0:80',
    '10.0.0.1\r\n:80',
    '0.0.0.0:80',
    'name.example:80',
    'a' * 5000 + ':80',
)
_REGISTRATION_FIELDS = {
    'slots': _NUMBERS,
    'sequence': _NUMBERS,
    'born': _NUMBERS,
    'coldLeftMs': _NUMBERS,
    'leavesMs': _NUMBERS,
    'service': _TEXTS,
    'zone': _TEXTS,
    'state': _TEXTS,
    'address': _ADDRESSES,
}
_CONFIGURATION_FIELDS = {
    ('version',): _NUMBERS[1:],
    ('routes', 0, 'timeoutMs'): _NUMBERS,
    ('routes', 0, 'targetLatencyMs'): _NUMBERS,
    ('routes', 0, 'gapTargetMs'): _NUMBERS,
    ('routes', 0, 'priority'): _NUMBERS,
    ('routes', 0, 'maxAttempts'): _NUMBERS,
    ('routes', 1, 'trafficSplit', 0, 'weight'): _NUMBERS,
    ('services', 0, 'maxConnections'): _NUMBERS,
    ('services', 0, 'coldS'): _NUMBERS,
    ('services', 0, 'engine', 'slots'): _NUMBERS,
    ('services', 0, 'engine', 'kvCacheTokens'): _NUMBERS,
    ('limits', 'maxBodyBytes'): _NUMBERS,
    ('limits', 'idleTimeoutMs'): _NUMBERS,
    ('tenants', 0, 'ratePerS'): _NUMBERS,
    ('tenants', 0, 'burst'): _NUMBERS,
    ('tenants', 0, 'priority'): _NUMBERS,
    ('tenants', 0, 'name'): _TEXTS,
}


def _nested(content: bytes, depth: int) -> bytes:
    """Return a JSON object with an unknown field that is nested deeply."""
    return b'%s,"later":%s%s}' % (content[:-1], b'[' * depth, b']' * depth)


@when('each odd registration is sent to a disk VM')
def odd_registrations(context: Context) -> None:
    fleet = context.fleet
    sound = RegistrationBoundary().samples()[0]
    cases = [
        (field, json.dumps({**json.loads(sound), field: value}).encode())
        for field, values in _REGISTRATION_FIELDS.items()
        for value in values
    ]
    # The shallow ones are short enough to be read.
    cases += [('nested', _nested(sound, _DEPTHS[0]))]
    cases += [('longer', _nested(sound, depth)) for depth in _DEPTHS[1:]]
    context.answers = []
    for number, (field, content) in enumerate(cases):
        host = fleet.disks[number % len(fleet.disks)]
        url = fleet.control(host, f'instances/odd-{number}')
        answer = fleet.run(fleet.call('PUT', url, content))
        context.answers.append((field, content[:300], answer))


@when('each odd configuration is sent to a disk VM')
def odd_configurations(context: Context) -> None:
    fleet = context.fleet
    sound = ConfigurationBoundary().samples()[0]
    cases = []
    for path, values in _CONFIGURATION_FIELDS.items():
        for value in values:
            document = json.loads(sound)
            parent = document
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = value
            cases.append((str(path[-1]), json.dumps(document).encode()))
    cases += [('nested', _nested(sound, depth)) for depth in _DEPTHS]
    context.answers = []
    for number, (field, content) in enumerate(cases):
        url = fleet.control(fleet.disks[number % len(fleet.disks)], 'config')
        answer = fleet.run(fleet.call('PUT', url, content))
        context.answers.append((field, content[:300], answer))


@then('each one is answered with 400 and its field')
def refused_with_field(context: Context) -> None:
    wrong = [
        (field, content, status, body[:200])
        for field, content, (status, body) in context.answers
        if status != 400 or field not in json.loads(body)['error']
    ]
    assert not wrong, (len(wrong), len(context.answers), wrong[:5])


@then('no process has ended')
def none_ended(context: Context) -> None:
    ended = {
        host: process.poll()
        for host, process in context.fleet.processes.items()
        if process.poll() is not None
    }
    assert not ended, ended


@when('the endpoint starts again')
def endpoint_restarts(context: Context) -> None:
    fleet = context.fleet
    fleet.endpoint.born += 1
    fleet.register(fleet.disks[0], 'ready')


@when('all VMs are restarted one after the other')
def all_restarted(context: Context) -> None:
    fleet = context.fleet
    for host in (*fleet.disks, *fleet.entries):
        process = fleet.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0, host
        fleet.start(host, bootstrap=False)
        fleet.register(fleet.disks[0], 'ready')
        _request_until_run(fleet, fleet.entries[0])
