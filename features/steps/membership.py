"""Exercise membership in a simulated fleet."""

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_decisions.membership import MembershipCore
from baobabwharf_testkit.membership_simulation import (
    MemberFleet,
    run_membership,
)
from behave import then, when
from behave.runner import Context

_S = 1_000_000


class MembershipSubject:
    """Run a fleet in which all VMs have joined."""

    def __init__(self, loss: float) -> None:
        self.fleet = MemberFleet(9, loss, 7)
        self.run_until(8)
        assert self.fleet.all_see_all()

    def run_until(self, second: int) -> None:
        self.fleet.simulation.run(second * _S)


@when(
    'membership runs for {seconds:d} s on 9 VMs with loss {loss:g}'
    ' and seed {seed:d}'
)
def run(context: Context, seconds: int, loss: float, seed: int) -> None:
    context.run = run_membership(9, loss, seed, seconds)
    print(f'membership: {context.run}')


@then('membership removed no live VM and dropped the killed one within 2 s')
def check(context: Context) -> None:
    assert context.run['moments_with_a_live_vm_missing'] == 0
    assert context.run['killed_gone_ms'] is not None
    assert context.run['killed_gone_ms'] <= 2000


@then('membership costs each of 9, 50 and 350 VMs at most 8000 bytes/s')
def cost(context: Context) -> None:
    for count in (9, 50, 350):
        # While VMs still join, messages are full and the cost is highest.
        figures = run_membership(count, 0, 1, 2, join_timeout_s=3)
        print(f'membership: {figures}')
        assert figures['bytes_per_s_per_vm'] <= 8000


@then('membership carries a tombstone to all VMs under loss')
def tombstone(context: Context) -> None:
    subject = MembershipSubject(0.1)
    nodes = list(subject.fleet.nodes.values())
    nodes[0].core.gossip_store.publish_tombstone(b'digest')
    subject.run_until(12)
    assert all(node.tombstones == [b'digest'] for node in nodes[1:])


@then('membership of a frozen VM is stale and has a higher incarnation')
def frozen(context: Context) -> None:
    subject = MembershipSubject(0)
    core = next(iter(subject.fleet.nodes.values())).core
    before = core.own.record.incarnation
    core.tick(8_050, 8_050)
    assert not core.stale
    core.tick(12_000, 12_000)
    assert core.stale
    assert core.own.record.incarnation > before


@then('membership splits at a partition and joins after it heals')
def heal(context: Context) -> None:
    subject = MembershipSubject(0)
    subject.fleet.network.partitioned_regions = frozenset(('region-0',))
    subject.run_until(14)
    nodes = list(subject.fleet.nodes.values())
    assert len(nodes[0].core.live()) == 3
    assert len(nodes[1].core.live()) == 6
    subject.fleet.network.partitioned_regions = frozenset()
    subject.run_until(34)
    assert subject.fleet.all_see_all()


@then('each VM names one that announced its stop as stopping for 3 s')
def stopping(context: Context) -> None:
    subject = MembershipSubject(0)
    nodes = list(subject.fleet.nodes.values())
    leaving, others = nodes[0], nodes[1:]
    for probe in leaving.core.leave():
        for node in others:
            node.core.merge(leaving.core.own.record.vm_id, probe.message, 8000)
    record = leaving.core.own.record
    for node in others:
        assert node.core.stopping(10_999, 3000) == (record,)
        assert node.core.stopping(11_000, 3000) == ()
        assert record not in node.core.live()


def _live_now(core: MembershipCore) -> tuple[VmRecord, ...]:
    own = () if core.own.leaving else (core.own.record,)
    others = core._table.in_states('alive', 'suspect')
    return own + tuple(one.record for one in others if one.record is not None)


@then(
    'membership lists the live VMs at each moment of a partition, a leave and '
    'its end'
)
def follows(context: Context) -> None:
    subject = MembershipSubject(0.1)
    fleet = subject.fleet
    nodes = list(fleet.nodes.values())
    seen = set()
    for step in range(8 * 50, 40 * 50):
        if step == 10 * 50:
            fleet.network.partitioned_regions = frozenset(('region-0',))
        elif step == 16 * 50:
            fleet.network.partitioned_regions = frozenset()
        elif step == 30 * 50:
            nodes[-1].core.leave()
        fleet.simulation.run(step * _S // 50)
        for node in nodes:
            live = node.core.live()
            assert live == _live_now(node.core), (step, node.vm_id)
            seen.add(live)
    assert len(seen) > 20, len(seen)
