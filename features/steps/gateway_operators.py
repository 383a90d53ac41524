"""Steps that test the operator and endpoint routes of the gateway."""

import json

import msgspec
from baobabwharf_core.announcements import Announcement, Heartbeat, LoadReport
from baobabwharf_core.changes import ChangeCode
from baobabwharf_core.fleet_config import VmRecord
from behave import then
from gateway_fakes import ENDPOINT_KEY, KEY, SERVICE, TOKEN, digest

OPERATOR = {'Authorization': f'Bearer {TOKEN}'}
CHANGE = {'type': 'WithdrawKey', 'key_id': 'k1'}


def operate(subject, method, path, headers=None, **options):
    url = f'{subject.vm.operator}/operator/v1/{path}'
    subject.run(
        subject.send(method, url, headers=headers or OPERATOR, **options)
    )
    return subject.status


def change(subject, request_id, query=''):
    body = {'request_id': request_id, 'change': CHANGE}
    return operate(subject, 'POST', f'changes{query}', json=body)


@then('the gateway answers operators only with a token')
def token(context):
    subject = context.subject
    wrong = {'Authorization': 'Bearer wrong'}
    for path in ('config', 'status', 'events', 'changes/x', 'requests/x'):
        assert operate(subject, 'GET', path, wrong) == 401
    assert operate(subject, 'POST', 'changes', wrong, json={}) == 401
    assert operate(subject, 'GET', 'config') == 200
    assert KEY not in subject.text
    assert operate(subject, 'GET', 'status') == 200
    assert json.loads(subject.text)['vms'][0]['role'] == 'leader'
    assert operate(subject, 'POST', 'changes', data=b'{"a') == 400


@then('the gateway maps each outcome of a change to its status')
def outcomes(context):
    subject = context.subject
    expected = {
        ChangeCode.ACCEPTED: 200,
        ChangeCode.REVISION_CONFLICT: 409,
        ChangeCode.NOT_FOUND: 404,
        ChangeCode.ALREADY_EXISTS: 409,
        ChangeCode.INVALID: 422,
        ChangeCode.NOT_ACCEPTED: 503,
        ChangeCode.UNKNOWN: 504,
    }
    for code, status in expected.items():
        subject.vm.changes.code = code
        assert change(subject, code.value) == status
        assert json.loads(subject.text)['code'] == code.value
        assert operate(subject, 'GET', f'changes/{code.value}') == status
    assert operate(subject, 'GET', 'changes/never') == 404
    subject.vm.changes.code = ChangeCode.ACCEPTED


@then('a withdrawal at the gateway reaches the tombstone callback')
def tombstone(context):
    subject = context.subject
    subject.vm.tombstones.clear()
    change(subject, 'withdraw')
    assert subject.vm.tombstones == [digest(KEY)]
    operate(subject, 'GET', 'events')
    sentence = json.loads(subject.text)['events'][-1]['sentence']
    assert sentence == 'WithdrawKey: accepted, revision 2.'


@then('the gateway waits until a change is in force on all live VMs')
def in_force(context):
    subject = context.subject
    subject.vm.status.revisions['vm9'] = 1
    assert change(subject, 'w1', '?wait=fleet&timeout_ms=100') == 200
    answer = json.loads(subject.text)
    assert (answer['in_force'], answer['behind']) == (False, ['vm9'])
    subject.vm.status.revisions['vm9'] = 2
    change(subject, 'w2', '?wait=fleet&timeout_ms=100')
    assert json.loads(subject.text)['in_force'] is True
    assert change(subject, 'w3', '?wait=fleet&timeout_ms=x') == 400


@then('the gateway explains a request to operators')
def explained(context):
    subject = context.subject
    subject.run(subject.chat('whole'))
    request_id = subject.headers['X-Request-Id']
    assert operate(subject, 'GET', f'requests/{request_id}') == 200
    answer = json.loads(subject.text)
    assert answer['state'] == 'answered'
    assert 'least loaded' in ' '.join(answer['record'])
    assert request_id in answer['decisions'][0]


def announce(subject, key, path='announce', message=None, **fields):
    message = message or Announcement(
        **{
            'endpoint_id': 'e1',
            'service': SERVICE,
            'region': 'tunis-a',
            'zone': 'z',
            'url': 'http://127.0.0.1:1',
            'incarnation': 1,
            **fields,
        }
    )
    headers = {'Authorization': f'Bearer {key}'}
    url = f'/platform/v1/{path}'
    body = msgspec.json.encode(message)
    return subject.run(subject.send('POST', url, data=body, headers=headers))


@then('the gateway takes announcements only with the key of the service')
def announcements(context):
    subject = context.subject
    registry = subject.vm.registry
    beat = Heartbeat('e1', 1, 1, LoadReport(1, 0))
    assert announce(subject, 'wrong') == 401
    assert announce(subject, KEY) == 401
    assert announce(subject, ENDPOINT_KEY, service='desk') == 401
    assert announce(subject, ENDPOINT_KEY, region='sfax-a') == 400
    assert announce(subject, ENDPOINT_KEY, 'heartbeat', beat) == 400
    assert not registry.announced and not registry.beats
    assert announce(subject, ENDPOINT_KEY) == 200
    assert announce(subject, ENDPOINT_KEY, 'heartbeat', beat) == 200
    assert len(registry.announced) == len(registry.beats) == 1


@then('the gateway lists entry VMs with its own region first')
def entry_vms(context):
    subject = context.subject
    subject.vm.membership.vms = tuple(
        VmRecord(name, region, 'z', False, '', '', f'http://{name}')
        for name, region in (('a', 'sfax-a'), ('b', 'tunis-a'))
    )
    assert subject.run(subject.send('GET', '/v1/entry-vms')) == 200
    listed = json.loads(subject.text)
    assert [vm['vm_id'] for vm in listed['vms']] == ['b', 'a']
    assert listed['vms'][0]['url'] == 'http://b'
    assert listed['valid_ms'] > 0
