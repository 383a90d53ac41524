"""Exercise the replicated state machine."""

import random

from baobabwharf_core.changes import (
    ChangeCode,
    ChangeOutcome,
    ChangeRequest,
    CreateCustomer,
    CreateKey,
    RemoveCustomer,
    SetCap,
    WithdrawKey,
)
from baobabwharf_core.fleet_config import Customer, KeyRecord
from baobabwharf_decisions.fleet_state.claims import RETENTION_MS
from baobabwharf_decisions.fleet_state.commands import (
    Answer,
    ApplyChange,
    BeginClaim,
    ChangeAnswer,
    ClaimAnswer,
    Command,
    FinishClaim,
    LeaseAnswer,
    LoseOwner,
    ReleaseLease,
    TakeLease,
)
from baobabwharf_decisions.fleet_state.state_machine import FleetStateMachine
from behave import then, when
from behave.runner import Context


class FleetStateSubject:
    """Apply commands to a state machine and record its answers."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.machine = FleetStateMachine()
        self.requests: list[ChangeRequest] = []
        self.outcomes: list[ChangeOutcome] = []
        self.tokens: list[int] = []
        self.now_ms = 0

    def change(self, request: ChangeRequest) -> ChangeOutcome:
        answer = self.machine.apply(Command(self.now_ms, ApplyChange(request)))
        assert isinstance(answer, ChangeAnswer)
        return answer.outcome

    def random_change(self, number: int) -> ChangeRequest:
        name = f'customer-{self.random.randrange(6)}'
        key = f'key-{self.random.randrange(20)}'
        change = self.random.choice(
            (
                CreateCustomer(Customer(name, 5, 5)),
                SetCap(name, self.random.randrange(9), 5),
                RemoveCustomer(name),
                CreateKey(KeyRecord(key, name, key.encode())),
                WithdrawKey(key),
            )
        )
        return ChangeRequest(f'request-{number}', change)

    def step(self, number: int) -> None:
        self.now_ms += self.random.randrange(200)
        if self.random.random() < 0.3:
            name = self.random.choice(('one', 'two'))
            answer = self.machine.apply(
                Command(self.now_ms, TakeLease('lease', name, 100))
            )
            assert isinstance(answer, LeaseAnswer)
            self.tokens.append(answer.token)
            return
        request = self.random_change(number)
        self.requests.append(request)
        self.outcomes.append(self.change(request))

    def take(self, holder: str, now_ms: int) -> LeaseAnswer:
        answer = self.machine.apply(
            Command(now_ms, TakeLease('lease', holder, 1000))
        )
        assert isinstance(answer, LeaseAnswer)
        return answer

    def begin(
        self, request_id: str, body: bytes = b'body', now_ms: int = 0
    ) -> ClaimAnswer:
        answer = self.machine.apply(
            Command(
                now_ms, BeginClaim('rotawen', 'seat', body, request_id, 'vm')
            )
        )
        assert isinstance(answer, ClaimAnswer)
        return answer

    def finish(self, state: str) -> Answer:
        operation = FinishClaim('rotawen', 'seat', 'first', state, 200)
        return self.machine.apply(Command(0, operation))


@when('{count:d} random fleet commands from seed {seed:d} are applied')
def apply_random(context: Context, count: int, seed: int) -> None:
    print(f'seed {seed}')
    context.state = FleetStateSubject(seed)
    for number in range(count):
        context.state.step(number)


@then('fleet revisions grow by one for each accepted change only')
def no_gaps(context: Context) -> None:
    outcomes = context.state.outcomes
    accepted = [o for o in outcomes if o.code is ChangeCode.ACCEPTED]
    assert 50 < len(accepted) < len(outcomes)
    revisions = [outcome.revision for outcome in accepted]
    assert revisions == list(range(1, len(accepted) + 1))


@then('a resent fleet change gets its first answer and changes nothing')
def resent(context: Context) -> None:
    state = context.state
    before = state.machine.config
    again = [state.change(request) for request in state.requests]
    assert again == state.outcomes
    assert state.machine.config is before


@then('another fleet change under a used request id is refused')
def reused(context: Context) -> None:
    request_id = context.state.requests[0].request_id
    request = ChangeRequest(request_id, SetCap('other', 1, 1))
    outcome = context.state.change(request)
    assert outcome.code is ChangeCode.REQUEST_ID_REUSED


@then('fencing tokens of the fleet state only increase')
def tokens_increase(context: Context) -> None:
    tokens = context.state.tokens
    assert tokens == sorted(tokens)
    assert len(set(tokens)) > 5


@then('a machine restored from a fleet snapshot behaves identically')
def restored(context: Context) -> None:
    first = context.state
    payload = first.machine.snapshot()
    second = FleetStateSubject()
    second.machine.restore(payload)
    second.now_ms = first.now_ms
    for number in range(1000, 1100):
        request = first.random_change(number)
        assert first.change(request) == second.change(request)
    assert first.machine.snapshot() == second.machine.snapshot()


@when('a fleet change expects revision 0 twice')
def expect_twice(context: Context) -> None:
    state = FleetStateSubject()
    for number in (1, 2):
        change = CreateCustomer(Customer(f'customer-{number}', 1, 1))
        request = ChangeRequest(f'race-{number}', change, 0)
        state.outcomes.append(state.change(request))
    context.state = state


@then('the second fleet change is a conflict at revision 1')
def conflict(context: Context) -> None:
    first, second = context.state.outcomes
    assert first.code is ChangeCode.ACCEPTED
    assert second.code is ChangeCode.REVISION_CONFLICT
    assert second.revision == 1


@when('VM "{holder}" takes a fleet lease of 1000 ms at {now_ms:d} ms')
def take_lease(context: Context, holder: str, now_ms: int) -> None:
    context.state = FleetStateSubject()
    context.lease = context.state.take(holder, now_ms)
    assert context.lease.granted


@then('VM "{holder}" does not get the fleet lease at {now_ms:d} ms')
def lease_refused(context: Context, holder: str, now_ms: int) -> None:
    answer = context.state.take(holder, now_ms)
    assert not answer.granted
    assert answer.retry_after_ms > 0
    # A release with a wrong token must not free the lease.
    context.state.machine.apply(Command(now_ms, ReleaseLease('lease', 'x', 0)))
    assert not context.state.take(holder, now_ms).granted


@then('VM "{holder}" gets the fleet lease with a higher token at {now_ms:d} ms')
def lease_regranted(context: Context, holder: str, now_ms: int) -> None:
    answer = context.state.take(holder, now_ms)
    assert answer.granted
    assert answer.token > context.lease.token


@when('a fleet claim begins at 0 ms')
def claim_begins(context: Context) -> None:
    context.state = FleetStateSubject()
    assert context.state.begin('first').granted


@then('the fleet claim of another request is "{name}" and not granted')
def claim_is(context: Context, name: str) -> None:
    answer = context.state.begin('second')
    assert (answer.state, answer.granted) == (name, False)


@then('the resent fleet claim is granted again')
def claim_resent(context: Context) -> None:
    assert context.state.begin('first').granted


@then('the fleet claim with another body is a mismatch')
def claim_mismatch(context: Context) -> None:
    assert context.state.begin('second', b'other').mismatch


@when('the owner of the fleet claim is lost')
def owner_lost(context: Context) -> None:
    context.state.machine.apply(Command(0, LoseOwner('vm')))


@when('the fleet claim is finished late')
def finished_late(context: Context) -> None:
    assert context.state.finish('finished').done


@when('the fleet claim is finished as not run')
def finished_not_run(context: Context) -> None:
    assert context.state.finish('absent').done


@then('the fleet claim is kept for 24 h')
def claim_kept(context: Context) -> None:
    state = context.state
    assert not state.begin('third', now_ms=RETENTION_MS - 1).granted
    assert state.begin('fourth', now_ms=RETENTION_MS).granted


@then('a new fleet claim is granted')
def claim_free(context: Context) -> None:
    assert context.state.begin('second', b'other').granted
