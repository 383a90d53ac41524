"""Run real daemons and inject faults."""

import asyncio
import itertools
import time

import msgspec
from baobabwharf_core.changes import ChangeCode, SetCap, WithdrawKey
from baobabwharf_core.ids import CustomerId, KeyId, RequestId
from baobabwharf_testkit.calls import (
    CallKind,
    Outcome,
    booking_call,
    completion_call,
)
from baobabwharf_testkit.expected_responses import body_digest
from baobabwharf_testkit.fleet_fixture import (
    FIRST_REGION,
    REGION_WITHOUT_ENDPOINTS,
    SECOND_REGION,
    FleetFixture,
)
from baobabwharf_testkit.loop_thread import LoopThread
from baobabwharf_testkit.soak_clients import RateLimitCheck
from baobabwharf_testkit.workload import CustomerPlan
from behave import given, then, when
from behave.runner import Context

_SEED = 11
_CONVERGENCE_TIMEOUT_S = 20
# A change must be in force on all VMs within 5 s.
_IN_FORCE_MS = 5000
# Long enough for the other VMs, while one of them cannot answer.
_SHORT_WAIT_MS = 1000
_FLOOD_S = 3
_FLOOD_RATE = 300
# Concurrent calls to each of the 4 VMs.
_FLOOD_CALLS_PER_VM = 3


class FleetSubject:
    """Run one fleet for the whole feature and build its calls."""

    def __init__(self) -> None:
        print(f'Fleet seed {_SEED}.')
        self.loop = LoopThread()
        self.fixture = FleetFixture(_SEED)
        self.numbers = itertools.count(1)
        try:
            self.run(self.fixture.start())
        except BaseException:
            self.fixture.fleet.kill_all()
            raise

    def run(self, work):
        return self.loop.run(work)

    def new_name(self) -> str:
        return f'f{next(self.numbers)}'

    def create_customer(self, *residency: str) -> str:
        return self.run(
            self.fixture.create_customer(self.new_name(), *residency)
        )

    def chat(self, tokens: int = 8):
        prompt = f'{self.new_name()} asks'
        return completion_call(CallKind.CHAT, 'rota-model', prompt, tokens)

    def booking(self):
        return booking_call('rota-app', '/bookings', self.new_name())

    def vm_ids(self) -> list[str]:
        return list(self.fixture.fleet.vms)

    def run_count(self, call) -> int:
        request_records = self.run(self.fixture.request_records())
        return request_records.runs[body_digest(call.body)]

    def reach_same_revision(self) -> bool:
        deadline_s = time.monotonic() + _CONVERGENCE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            found = {
                self.run(self.fixture.revision(vm_id))
                for vm_id in self.vm_ids()
            }
            if len(found) == 1 and -1 not in found:
                return True
            time.sleep(0.1)
        return False

    def close(self) -> None:
        try:
            self.run(self.fixture.stop())
        finally:
            self.fixture.fleet.kill_all()
            self.loop.close()


def _vm(region: str) -> str:
    return f'{region}-vm1'


def _cap(name: str, rate: int) -> SetCap:
    return SetCap(CustomerId(name), rate, rate)


@given('the fleet runs')
def running(context: Context) -> None:
    feature = context.feature
    if not hasattr(feature, 'fleet'):
        feature.fleet = FleetSubject()
        context.add_cleanup(feature.fleet.close, layer='feature')
    context.fleet = feature.fleet


@when('a fleet caller in the region without endpoints streams a chat')
def streams(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer()
    context.result_and_response = fleet.run(
        fleet.fixture.send_with_retries(
            key, _vm(REGION_WITHOUT_ENDPOINTS), fleet.chat()
        )
    )


@then('the fleet answer is complete')
def complete(context: Context) -> None:
    result, _response = context.result_and_response
    assert result.outcome is Outcome.COMPLETE, result


@then('the fleet request reached one endpoint and showed it no key')
def reached_once(context: Context) -> None:
    _result, response = context.result_and_response
    fleet = context.fleet
    seen = fleet.run(
        fleet.fixture.seen_requests(response.headers['x-request-id'])
    )
    assert len(seen) == 1, seen
    request_records = fleet.run(fleet.fixture.request_records())
    assert request_records.requests_with_key == 0


@when('a fleet caller bound to the region without endpoints asks')
def asks_bound(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer(REGION_WITHOUT_ENDPOINTS)
    context.responses = [
        fleet.run(fleet.fixture.send(key, vm_id, fleet.chat()))
        for vm_id in fleet.vm_ids()
    ]


@then('the fleet refuses it as not run and no endpoint saw the request')
def not_run(context: Context) -> None:
    fleet = context.fleet
    for result, response in context.responses:
        assert result.outcome is Outcome.REFUSED, result
        request_id = response.headers['x-request-id']
        assert fleet.run(fleet.fixture.seen_requests(request_id)) == []


@when('the key of a fleet caller is withdrawn while it streams')
def withdrawn(context: Context) -> None:
    fleet = context.fleet
    name = fleet.new_name()
    context.key = fleet.run(fleet.fixture.create_customer(name))
    call = fleet.chat(1200)
    future = fleet.loop.submit(
        fleet.fixture.send(context.key, _vm(REGION_WITHOUT_ENDPOINTS), call)
    )
    time.sleep(0.5)
    change = WithdrawKey(KeyId(name))
    # "accepted" alone says that a majority of the disk VMs has the withdrawal.
    answer = fleet.run(
        fleet.fixture.change_until_accepted(
            _vm(FIRST_REGION), change, _IN_FORCE_MS
        )
    )
    # Sent before anything else, so that no VM has time to learn of it late.
    context.refused = _ask_everywhere(fleet, context.key)
    assert answer.in_force is True, answer
    context.result_and_response = future.result(30)


def _ask_everywhere(fleet: FleetSubject, key: str) -> dict:
    async def ask() -> dict:
        vm_ids = fleet.vm_ids()
        answers = await asyncio.gather(
            *(fleet.fixture.send(key, vm_id, fleet.chat()) for vm_id in vm_ids)
        )
        return dict(zip(vm_ids, answers, strict=True))

    return fleet.run(ask())


@then('the fleet stream ends with an error and the key is refused everywhere')
def stream_ended(context: Context) -> None:
    result, response = context.result_and_response
    assert result.outcome in {Outcome.FAILED, Outcome.BROKEN}, result
    assert response.content.count(b'data: ') > 1
    for vm_id, (refused, response) in context.refused.items():
        assert response.status == 401, (vm_id, refused)


@when('a fleet key is withdrawn while a VM is cut off from the others')
def withdrawn_at_cut(context: Context) -> None:
    fleet = context.fleet
    name = fleet.new_name()
    context.key = fleet.run(fleet.fixture.create_customer(name))
    context.cut = _vm(SECOND_REGION)
    others = set(fleet.vm_ids()) - {context.cut}
    links = fleet.fixture.fleet.links
    fleet.loop.call(lambda: links.partition({context.cut}, others))
    change = WithdrawKey(KeyId(name))
    context.answer = fleet.run(
        fleet.fixture.change_until_accepted(
            _vm(FIRST_REGION), change, _SHORT_WAIT_MS
        )
    )
    context.refused = _ask_everywhere(fleet, context.key)


@then('the fleet key works at no VM that the answer says is up to date')
def works_nowhere(context: Context) -> None:
    behind = set(context.answer.behind)
    assert behind <= {context.cut}, context.answer
    for vm_id, (refused, response) in context.refused.items():
        if vm_id != context.cut:
            assert response.status == 401, (vm_id, refused)


@then('the fleet key is refused everywhere within seconds')
def refused_in_seconds(context: Context) -> None:
    fleet = context.fleet
    deadline_s = time.monotonic() + _IN_FORCE_MS / 1000
    while time.monotonic() < deadline_s:
        answers = _ask_everywhere(fleet, context.key)
        statuses = {response.status for _, response in answers.values()}
        if statuses == {401}:
            return
    raise AssertionError(answers)


@when('a fleet booking is sent at all VMs at once and again later')
def booked(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer()
    context.booking = fleet.booking()

    async def book_everywhere():
        return await asyncio.gather(
            *(
                fleet.fixture.send_with_retries(key, vm_id, context.booking)
                for vm_id in fleet.vm_ids()
            )
        )

    first = fleet.run(book_everywhere())
    context.responses = first + fleet.run(book_everywhere())


@then('each complete fleet booking answer is the same and it ran once')
def booked_once(context: Context) -> None:
    outcomes = [result.outcome for result, _response in context.responses]
    assert set(outcomes) == {Outcome.COMPLETE}, context.responses
    assert (
        len({response.content for _result, response in context.responses}) == 1
    )
    assert context.fleet.run_count(context.booking) == 1


@when('a fleet booking is sent again with another body')
def other_body(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer()
    context.booking = fleet.booking()
    fixture = fleet.fixture
    first, _response = fleet.run(
        fixture.send_with_retries(key, _vm(FIRST_REGION), context.booking)
    )
    assert first.outcome is Outcome.COMPLETE, first
    other = msgspec.structs.replace(context.booking, body=b'{"other": 1}')
    context.other = other
    context.result_and_response = fleet.run(
        fixture.send_with_retries(key, _vm(SECOND_REGION), other)
    )


@then('the fleet refuses it with idempotency_mismatch and it ran once')
def mismatch(context: Context) -> None:
    result, _response = context.result_and_response
    assert result.reason == 'idempotency_mismatch', result
    assert context.fleet.run_count(context.booking) == 1
    assert context.fleet.run_count(context.other) == 0


@when('all fleet engines cross their next answers while callers stream')
def crossed(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer()
    fleet.run(fleet.fixture.set_faults(cross_next=2))

    async def stream_everywhere():
        return await asyncio.gather(
            *(
                fleet.fixture.send_with_retries(key, vm_id, fleet.chat())
                for vm_id in fleet.vm_ids() * 2
            )
        )

    context.responses = fleet.run(stream_everywhere())
    fleet.run(fleet.fixture.set_faults())


@then('no fleet answer is wrong')
def none_wrong(context: Context) -> None:
    for result, _response in context.responses:
        assert result.outcome is not Outcome.WRONG, result
    outcomes = [result.outcome for result, _response in context.responses]
    assert Outcome.COMPLETE in outcomes


@when('a fleet engine breaks a stream after {tokens:d} tokens')
def breaks(context: Context, tokens: int) -> None:
    fleet = context.fleet
    key = fleet.create_customer(FIRST_REGION, SECOND_REGION)
    call = fleet.chat(20)
    fixture = fleet.fixture
    fleet.run(fixture.set_faults(break_next=1, break_after_tokens=tokens))
    context.result_and_response = fleet.run(
        fixture.send(key, _vm(REGION_WITHOUT_ENDPOINTS), call)
    )
    fleet.run(fixture.set_faults())


@when('two fleet operators race under one revision')
def race(context: Context) -> None:
    fleet = context.fleet
    name = fleet.new_name()
    fleet.run(fleet.fixture.create_customer(name))
    context.customer_name = name
    revision = fleet.run(fleet.fixture.revision(_vm(FIRST_REGION)))

    async def race_both():
        return await asyncio.gather(
            *(
                fleet.fixture.change(
                    _vm(region),
                    _cap(name, rate),
                    RequestId(f'race-{rate}'),
                    revision,
                    attempts=20,
                )
                for rate, region in (
                    (1000, FIRST_REGION),
                    (2000, SECOND_REGION),
                )
            )
        )

    context.race_revision = revision
    context.outcomes = fleet.run(race_both())


@then('one fleet operator is accepted and the other is told of the conflict')
def one_accepted(context: Context) -> None:
    codes = sorted(outcome.code.value for outcome in context.outcomes)
    assert codes == ['accepted', 'revision_conflict'], context.outcomes


@then('a resent fleet change gets its first answer')
def resent(context: Context) -> None:
    fleet = context.fleet
    for outcome in context.outcomes:
        rate = int(outcome.request_id.removeprefix('race-'))
        change = _cap(context.customer_name, rate)
        again = fleet.run(
            fleet.fixture.change(
                _vm(REGION_WITHOUT_ENDPOINTS),
                change,
                outcome.request_id,
                context.race_revision,
                attempts=20,
            )
        )
        assert (again.code, again.revision) == (
            outcome.code,
            outcome.revision,
        ), (again, outcome)


@when('the first fleet region is partitioned')
def partitioned(context: Context) -> None:
    fleet = context.fleet
    name = fleet.new_name()
    context.key = fleet.run(fleet.fixture.create_customer(name))
    context.customer_name = name
    inside = {
        vm_id for vm_id in fleet.vm_ids() if vm_id.startswith(FIRST_REGION)
    }
    outside = set(fleet.vm_ids()) - inside
    links = fleet.fixture.fleet.links
    fleet.loop.call(lambda: links.partition(inside, outside))
    # Started here, since a minority answers only after its timeouts.
    change = _cap(name, 5000)
    context.change = fleet.loop.submit(
        fleet.fixture.change(_vm(FIRST_REGION), change)
    )
    context.bookings = [fleet.booking() for _ in range(2)]
    context.booked = [
        fleet.loop.submit(fleet.fixture.send(context.key, vm_id, call))
        for vm_id, call in zip(
            (f'{FIRST_REGION}-vm1', f'{FIRST_REGION}-vm2'),
            context.bookings,
            strict=True,
        )
    ]


@then('callers of the first fleet region still get answers')
def still_served(context: Context) -> None:
    fleet = context.fleet
    for vm_id in (f'{FIRST_REGION}-vm1', f'{FIRST_REGION}-vm2'):
        result, _response = fleet.run(
            fleet.fixture.send_with_retries(context.key, vm_id, fleet.chat())
        )
        assert result.outcome is Outcome.COMPLETE, (vm_id, result)


@then('its fleet bookings are refused as not run')
def bookings_refused(context: Context) -> None:
    for future in context.booked:
        result, _response = future.result(30)
        assert result.outcome is Outcome.REFUSED, result


@then('its fleet operators are not told that a change is accepted')
def not_accepted(context: Context) -> None:
    fleet = context.fleet
    outcome = context.change.result(30)
    expected = {ChangeCode.NOT_ACCEPTED, ChangeCode.UNKNOWN}
    assert outcome.code in expected, outcome
    change = _cap(context.customer_name, 6000)
    fleet.run(fleet.fixture.change_until_accepted(_vm(SECOND_REGION), change))


@when('the fleet is connected again')
def connected(context: Context) -> None:
    fleet = context.fleet
    fleet.loop.call(fleet.fixture.fleet.links.end_drops)


@then('all fleet VMs reach the same revision')
def reach_same(context: Context) -> None:
    assert context.fleet.reach_same_revision()


@then('the refused fleet bookings never ran')
def never_ran(context: Context) -> None:
    for call in context.bookings:
        assert context.fleet.run_count(call) == 0


@when('a fleet VM is killed, loses its data folder and starts again')
def loses_data(context: Context) -> None:
    fleet = context.fleet
    vm_id = _vm(SECOND_REGION)
    processes = fleet.fixture.fleet
    processes.vms[vm_id].process.kill()
    processes.delete_data_folder(vm_id)
    fleet.create_customer()
    fleet.run(processes.restart(vm_id))


@when('a fleet customer floods all VMs')
def floods(context: Context) -> None:
    fleet = context.fleet
    name = fleet.new_name()
    key = fleet.run(fleet.fixture.create_customer(name, rate=_FLOOD_RATE))
    plan = CustomerPlan(name, FIRST_REGION, _FLOOD_RATE, 2 * _FLOOD_RATE)
    context.flood = RateLimitCheck(plan)

    async def flood(vm_id: str, deadline_s: float) -> None:
        while time.monotonic() < deadline_s:
            call = completion_call(
                CallKind.QUICK, 'rota-model', fleet.new_name(), 8
            )
            result, response = await fleet.fixture.send(key, vm_id, call)
            if result.outcome is Outcome.COMPLETE:
                context.flood.add(response)

    async def flood_all() -> None:
        deadline_s = time.monotonic() + _FLOOD_S
        vms = fleet.vm_ids() * _FLOOD_CALLS_PER_VM
        await asyncio.gather(*(flood(vm_id, deadline_s) for vm_id in vms))

    fleet.run(flood_all())


@then('the fleet handed out no more than its rate and burst')
def within_cap(context: Context) -> None:
    assert context.flood.tokens > 0
    assert context.flood.peak_ratio <= 1, context.flood.peak_ratio


@when('a fleet engine is stopped while it streams')
def engine_stopped(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer(SECOND_REGION)
    call = fleet.chat(120)
    future = fleet.loop.submit(
        fleet.fixture.send(key, _vm(REGION_WITHOUT_ENDPOINTS), call)
    )
    time.sleep(0.5)
    instance = fleet.fixture.fleet.endpoints[f'rota-model-{SECOND_REGION}-1']
    context.code = fleet.run(instance.process.terminate(20_000))
    context.result_and_response = future.result(30)
    instance.process.start()
    fleet.run(
        fleet.fixture.fleet.wait_registered(f'rota-model-{SECOND_REGION}-1')
    )


@when('a fleet VM is stopped while a caller streams through it')
def vm_stopped(context: Context) -> None:
    fleet = context.fleet
    key = fleet.create_customer()
    call = fleet.chat(120)
    vm_id = f'{FIRST_REGION}-vm2'
    future = fleet.loop.submit(fleet.fixture.send(key, vm_id, call))
    time.sleep(0.5)
    process = fleet.fixture.fleet.vms[vm_id].process
    context.code = fleet.run(process.terminate(20_000))
    context.result_and_response = future.result(30)


@then('the stopped fleet process ended with code 0')
def ended_well(context: Context) -> None:
    assert context.code == 0, context.code


@then('the fleet lists the stopped VM no longer')
def not_listed(context: Context) -> None:
    fleet = context.fleet
    listed = fleet.run(fleet.fixture.list_entry_vms(_vm(FIRST_REGION)))
    assert sorted(listed) == sorted(
        _vm(region)
        for region in (FIRST_REGION, SECOND_REGION, REGION_WITHOUT_ENDPOINTS)
    )
