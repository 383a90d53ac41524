"""Test the search for prompt parts that crash endpoints."""

import msgspec
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_decisions.proxying.crash_blame import (
    CrashBlame,
    VerdictAction,
)
from baobabwharf_decisions.proxying.crash_report import CrashReport
from baobabwharf_decisions.proxying.prompt_cache import PromptPart
from baobabwharf_decisions.proxying.request_traits import (
    TraitId,
    Traits,
    request_traits,
    whole_request_trait,
)
from baobabwharf_testkit.crash_blame_plan import BlamePlan
from baobabwharf_testkit.crash_blame_simulation import BlameFleet
from behave import given, then, when
from behave.runner import Context

# The delay between regions, an exchange period, and one report that was lost
# and sent again; a part of VMs loses that one too.
_EXCHANGE_MS = 55 + 20 + 2 * 500

_WHOLE = ((':bad-0', 2, 1e6),)
_DEADLY_PLANS = {
    '6 VMs': BlamePlan(),
    '2 VMs': BlamePlan(vms=2, endpoints=4),
    '40 VMs': BlamePlan(vms=40, endpoints=20, sound_per_s=60, seconds=12),
    'a companion part': BlamePlan(companion='tool', companion_sound_per_s=3),
    'two deadly parts': BlamePlan(
        spells=(('bad-0', 2, 1e6), ('bad-1', 2.5, 1e6))
    ),
    'reports in disorder': BlamePlan(disorder=0.05),
    'a VM restarts': BlamePlan(restarted_vm_at=4),
    'a VM is partitioned': BlamePlan(partitioned_vm=(3, 10)),
    'endpoints crash beside it': BlamePlan(
        other_crashes=((3, 1), (5, 1), (8, 1), (11, 1))
    ),
    'a part that stops and comes back': BlamePlan(
        seconds=120, spells=(('bad-0', 2, 25), ('bad-0', 80, 1e6))
    ),
    'a request with a prompt': BlamePlan(spells=_WHOLE),
    'a read': BlamePlan(endpoints=3, is_plain=True, spells=_WHOLE),
    'a read that is retried': BlamePlan(
        endpoints=3, is_plain=True, spells=_WHOLE, deadly_resends=1
    ),
    'a read on 40 VMs': BlamePlan(
        vms=40,
        endpoints=6,
        is_plain=True,
        spells=_WHOLE,
        sound_per_s=60,
        seconds=12,
    ),
    'a read and one endpoint': BlamePlan(
        endpoints=1, is_plain=True, spells=_WHOLE, seconds=40
    ),
    'a read while endpoints crash': BlamePlan(
        endpoints=3,
        is_plain=True,
        spells=_WHOLE,
        other_crashes=((3, 1), (5, 1), (8, 1), (11, 1)),
    ),
    'a read, reports in disorder': BlamePlan(
        endpoints=3, is_plain=True, spells=_WHOLE, disorder=0.05
    ),
    'a read, a VM restarts': BlamePlan(
        endpoints=3, is_plain=True, spells=_WHOLE, restarted_vm_at=4
    ),
    'two reads': BlamePlan(
        endpoints=3,
        is_plain=True,
        spells=((':bad-0', 2, 1e6), (':bad-1', 2.5, 1e6)),
    ),
    'a request beside a part': BlamePlan(
        spells=((':bad-0', 2, 1e6), ('bad-1', 2.5, 1e6))
    ),
    'single plain endpoints crash': BlamePlan(
        endpoints=3,
        is_plain=True,
        spells=(),
        sound_per_s=40,
        other_crashes=tuple((at_s, 1) for at_s in (3, 6, 9, 12, 13)),
    ),
    'single endpoints crash': BlamePlan(
        spells=(),
        sound_per_s=40,
        other_crashes=tuple((at_s, 1) for at_s in (3, 6, 9, 12, 13)),
    ),
    'zones are lost': BlamePlan(
        spells=(),
        sound_per_s=40,
        other_crashes=tuple((at_s, 3) for at_s in (3, 9, 15)),
    ),
}


def traits_of(names: str, last: str = 'last') -> Traits:
    """Return the parts named, and the whole request if a name starts with ':'."""
    parts = [name for name in names.split('/') if name]
    whole = parts.pop() if parts and parts[-1].startswith(':') else None
    prompt = tuple(PromptPart(name, 100) for name in (*parts, last))
    return request_traits(prompt, None if whole is None else TraitId(whole))


class BlameSubject:
    """Hold one VM, whose endpoints each crash once."""

    def __init__(self) -> None:
        self.core = CrashBlame(VmId('vm-0'))

    def crash(self, endpoint: str, names: str, now_ms: int) -> None:
        suspects = [
            traits_of(each, f'last-{index}')
            for index, each in enumerate(names.split(','))
        ]
        for suspect in suspects:
            # One connection is noticed at a time, and some of them twice.
            for _again in range(2):
                self.core.note_crash(
                    EndpointId(endpoint), 1, (suspect,), now_ms
                )


class BlamePair:
    """Exchange reports between VMs whose clocks differ by an hour each."""

    def __init__(self, count: int) -> None:
        self.vm_ids = [VmId(f'vm-{index}') for index in range(count)]
        self.cores = [CrashBlame(vm_id) for vm_id in self.vm_ids]
        self.sent: list[tuple[int, bytes]] = []
        self.now_ms = 0

    def clock_ms(self, index: int) -> int:
        return self.now_ms + 3_600_000 * index

    def exchange(self) -> None:
        for index, core in enumerate(self.cores):
            report = core.report(self.clock_ms(index))
            self.sent.append((index, msgspec.msgpack.encode(report)))
            self.now_ms += 1
            self.deliver(*self.sent[-1])

    def deliver(self, source: int, encoded: bytes) -> None:
        report = msgspec.msgpack.decode(encoded, type=CrashReport)
        for index, core in enumerate(self.cores):
            if index != source:
                core.apply_report(
                    self.vm_ids[source], report, self.clock_ms(index)
                )

    def actions(self, names: str) -> set[VerdictAction]:
        return {
            core.verdict(traits_of(names), self.clock_ms(index)).action
            for index, core in enumerate(self.cores)
        }


@given('a VM that looks for deadly parts')
def one_vm(context: Context) -> None:
    context.subject = BlameSubject()


@given('a VM that refuses part {part_id} since {at_ms:d}')
def refusing_vm(context: Context, part_id: str, at_ms: int) -> None:
    context.subject = BlameSubject()
    context.subject.crash('a', part_id, at_ms - 2000)
    context.subject.crash('b', part_id, at_ms)


@when('endpoint {endpoint} crashes at {at_ms:d} with prompts {names}')
def crash(context: Context, endpoint: str, at_ms: int, names: str) -> None:
    context.subject.crash(endpoint, names, at_ms)


@when('endpoints crash at 1000, 3000, 5000 and 7000 with only the last part')
def crash_last(context: Context) -> None:
    for at_ms in (1000, 3000, 5000, 7000):
        context.subject.crash(f'endpoint-{at_ms}', '', at_ms)


@then('all prompts are allowed at {at_ms:d}')
def all_allowed(context: Context, at_ms: int) -> None:
    core = context.subject.core
    for names in ('', 'last', 'last-0'):
        verdict = core.verdict(traits_of(names, 'last-0'), at_ms)
        assert verdict.action is VerdictAction.ALLOW, verdict


@when('an answer to prompt {names} goes on at {at_ms:d}')
def answer(context: Context, names: str, at_ms: int) -> None:
    context.subject.core.note_answer(traits_of(names), at_ms)


@when('the trial of {part_id} is sent at {at_ms:d}')
def trial(context: Context, part_id: str, at_ms: int) -> None:
    context.subject.core.note_probe(part_id, at_ms)


@when('the trial of {part_id} ends unsent at {at_ms:d}')
def unsent(context: Context, part_id: str, at_ms: int) -> None:
    context.subject.core.note_probe_unsent(part_id, at_ms)


@then(
    'prompt {names} is refused at {at_ms:d} for {wait_ms:d} ms'
    ' because of {part_id}'
)
def refused(
    context: Context, names: str, at_ms: int, wait_ms: int, part_id: str
) -> None:
    verdict = context.subject.core.verdict(traits_of(names), at_ms)
    assert verdict.action is VerdictAction.REFUSE, verdict
    assert verdict.trait_id == part_id, verdict
    assert verdict.retry_after_ms == wait_ms, verdict
    assert context.subject.core.explain(part_id, at_ms)


@then('prompt {names} is allowed at {at_ms:d}')
def allowed(context: Context, names: str, at_ms: int) -> None:
    verdict = context.subject.core.verdict(traits_of(names), at_ms)
    assert verdict.action is VerdictAction.ALLOW, verdict


@then('prompt {names} is tried at {at_ms:d}')
def tried(context: Context, names: str, at_ms: int) -> None:
    verdict = context.subject.core.verdict(traits_of(names), at_ms)
    assert verdict.action is VerdictAction.PROBE, verdict


@when('trials of bad crash endpoints as soon as they are allowed')
def crash_trials(context: Context) -> None:
    core = context.subject.core
    now_ms = 3001
    context.holds_s = []
    for index in range(7):
        verdict = core.verdict(traits_of('bad'), now_ms)
        context.holds_s.append(round((verdict.retry_after_ms or 0) / 1000))
        now_ms += verdict.retry_after_ms or 0
        assert (
            core.verdict(traits_of('bad'), now_ms).action is VerdictAction.PROBE
        )
        core.note_probe('bad', now_ms)
        now_ms += 300
        context.subject.crash(f'trial-{index}', 'bad', now_ms)
        core.drop_expired(now_ms)


@then('the holds of bad are 60, 120, 240, 480, 600 and 600 s')
def holds(context: Context) -> None:
    assert context.holds_s == [30, 60, 120, 240, 480, 600, 600], context.holds_s


@given('{count:d} VMs that exchange reports, whose clocks differ')
def pair(context: Context, count: int) -> None:
    context.pair = BlamePair(count)


@when('each VM notices one crash with part bad')
def crash_each(context: Context) -> None:
    pair = context.pair
    for index, core in enumerate(pair.cores):
        pair.now_ms += 2000
        core.note_crash(
            EndpointId(f'endpoint-{index}'),
            1,
            (traits_of(f'system-{index}/bad'),),
            pair.clock_ms(index),
        )
        assert core.changed
        pair.exchange()


@when('all reports arrive again in the opposite order')
def repeat(context: Context) -> None:
    for source, encoded in reversed(context.pair.sent):
        context.pair.now_ms += 500
        context.pair.deliver(source, encoded)


@when('an answer frees part bad on one VM')
def free_one(context: Context) -> None:
    pair = context.pair
    pair.now_ms += 5000
    pair.cores[0].note_answer(traits_of('bad'), pair.clock_ms(0))
    assert pair.cores[0].changed
    pair.exchange()


@when("one VM restarts and receives the other's report")
def restart(context: Context) -> None:
    pair = context.pair
    pair.cores[0] = CrashBlame(pair.vm_ids[0])
    pair.exchange()


@then('both VMs refuse part bad and allow the other parts')
def both_refuse(context: Context) -> None:
    pair = context.pair
    assert pair.actions('bad') == {VerdictAction.REFUSE}
    assert pair.actions('system-0/system-1') == {VerdictAction.ALLOW}


@then('both VMs count 2 crashes of part bad')
def both_count(context: Context) -> None:
    for index, core in enumerate(context.pair.cores):
        text = core.explain('bad', context.pair.clock_ms(index))
        assert text is not None
        assert 'was in 2 crashes' in text, text


@then('both VMs allow part bad')
def both_allow(context: Context) -> None:
    assert context.pair.actions('bad') == {VerdictAction.ALLOW}


@given('{count:d} VMs that refuse part bad')
def many(context: Context, count: int) -> None:
    pair = context.pair = BlamePair(count)
    for at_ms in (2000, 4000):
        pair.now_ms = at_ms
        pair.cores[0].note_crash(
            EndpointId(f'endpoint-{at_ms}'),
            1,
            (traits_of('bad'),),
            pair.clock_ms(0),
        )
    pair.now_ms = 33_900
    pair.exchange()


@then('at each moment at most a fifth of them may try it')
def turns(context: Context) -> None:
    pair = context.pair
    context.tried = set()
    for now_ms in range(34_100, 38_300, 50):
        pair.now_ms = now_ms
        may_try = {
            index
            for index, core in enumerate(pair.cores)
            if core.verdict(traits_of('bad'), pair.clock_ms(index)).action
            is VerdictAction.PROBE
        }
        assert len(may_try) <= len(pair.cores) // 5, (now_ms, may_try)
        context.tried |= may_try


@then('each of them may try it within 4 s')
def all_turns(context: Context) -> None:
    assert len(context.tried) == len(context.pair.cores)


@when('500 endpoints crash with 50 prompts of 10 parts each')
def flood(context: Context) -> None:
    for crash_index in range(500):
        names = ','.join(
            '/'.join(f'{crash_index}-{index}-{part}' for part in range(9))
            for index in range(50)
        )
        context.subject.crash(f'endpoint-{crash_index}', names, crash_index)


@then(
    'its report has at most {limit:d} bytes'
    ' and its state holds at most {crashes:d} crashes'
)
def bounded(context: Context, limit: int, crashes: int) -> None:
    core = context.subject.core
    assert len(msgspec.msgpack.encode(core.report(600))) <= limit
    assert core.crash_count <= crashes


@then('it has nothing to send')
def nothing(context: Context) -> None:
    assert not context.subject.core.changed
    assert context.subject.core.report(600).is_empty


@when('{count:d} fleets with deadly parts run: {load}')
@when('{count:d} fleets without deadly parts run: {load}')
def fleets(context: Context, count: int, load: str) -> None:
    context.plan = _DEADLY_PLANS[load]
    context.runs = []
    for seed in range(count):
        fleet = BlameFleet(context.plan, seed)
        context.runs.append((seed, fleet, fleet.run()))
    crashes = sorted(
        (number, seed)
        for seed, _fleet, outcome in context.runs
        for number in outcome.crashes.values()
    )
    print(
        f'crash blame: {load}, seeds 0 to {count - 1}: most crashes and their'
        f' seeds {crashes[-3:]}, refused wrongly {refusals(context)}'
    )


def refusals(context: Context) -> tuple[int, int]:
    outcomes = [outcome for _seed, _fleet, outcome in context.runs]
    return (
        sum(outcome.wrongly_refused for outcome in outcomes),
        sum(outcome.sound for outcome in outcomes),
    )


@then('each deadly part is named within {limit:d} crashes')
def named(context: Context, limit: int) -> None:
    bad = [
        (seed, part_id, outcome.named_at_crash.get(part_id))
        for seed, _fleet, outcome in context.runs
        for part_id, _start_s, _end_s in context.plan.spells
        if not 0 < outcome.named_at_crash.get(part_id, 0) <= limit
    ]
    assert not bad, bad


@then('no VM sends it once all could know')
def no_sends(context: Context) -> None:
    slack_ms = _EXCHANGE_MS
    if context.plan.partitioned_vm is not None:
        slack_ms += round(context.plan.partitioned_vm[1] * 1000)
    late = [
        (seed, part_id, sends)
        for seed, _fleet, outcome in context.runs
        for part_id, at_ms in outcome.named_ms.items()
        if (sends := outcome.sends_after(part_id, at_ms + slack_ms))
    ]
    assert not late, late


@then('at most {allowed:d} in 1000 sound requests are refused')
def few_refused(context: Context, allowed: int) -> None:
    refused_count, sound = refusals(context)
    assert refused_count * 1000 <= allowed * sound, (refused_count, sound)


@then('no popular part is refused')
def no_popular(context: Context) -> None:
    for seed, _fleet, outcome in context.runs:
        for part_id in outcome.wrongly_refused_parts:
            assert not part_id.startswith('popular'), (seed, part_id)


@then('each deadly part takes one trial while it is harmless')
def one_trial(context: Context) -> None:
    (_part_id, _start_s, stop_s), (part_id, back_s, _end_s) = (
        context.plan.spells
    )
    for seed, _fleet, outcome in context.runs:
        trials = [
            at_ms
            for at_ms in outcome.probes_ms.get(part_id, ())
            if stop_s * 1000 <= at_ms < back_s * 1000
        ]
        assert len(trials) <= 1, (seed, trials)


@then('no VM sends it once all could know of the first crash after that')
def named_again(context: Context) -> None:
    part_id, back_s, _end_s = context.plan.spells[-1]
    for seed, _fleet, outcome in context.runs:
        again = [
            at_ms
            for at_ms in outcome.crash_ms[part_id]
            if at_ms >= back_s * 1000
        ]
        if again:
            late = outcome.sends_after(part_id, again[0] + _EXCHANGE_MS)
            assert not late, (seed, again, late)


# The users' bounds on a deadly request: the time to react to its third crash,
# and how often it may reach endpoints after that.
_CONTACT_MS = 5000
_MAX_LATE_SENDS = 3


@then('no deadly request reaches more endpoints than the users allow')
def few_late_sends(context: Context) -> None:
    for seed, _fleet, outcome in context.runs:
        for trait_id, crash_ms in outcome.crash_ms.items():
            if len(crash_ms) < 3:
                continue
            late = [
                sent_ms
                for sent_ms in outcome.sends_ms[trait_id]
                if sent_ms > crash_ms[2] + _CONTACT_MS
            ]
            assert len(late) <= _MAX_LATE_SENDS, (seed, trait_id, late)


@then('a request is the same for the same caller, target and body only')
def same_request(context: Context) -> None:
    fields = ('c', b'GET', 'h', b'/a?b', b'body')
    first = whole_request_trait(*fields)
    assert first == whole_request_trait(*fields)
    others = {
        whole_request_trait(*fields[:index], each, *fields[index + 1 :])
        for index, each in enumerate(('d', b'PUT', 'i', b'/a?c', b'bodz'))
    }
    # Where one field ends and the next begins matters, too.
    others.add(whole_request_trait('cG', b'ET', *fields[2:]))
    others.add(whole_request_trait('c', b'GET', 'h', b'/a?bbo', b'dy'))
    assert len(others | {first}) == 8, others
