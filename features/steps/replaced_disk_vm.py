"""Replace disk VMs of a running fleet, suspend them and take their disks."""

import asyncio
import re
import shutil
import signal

from behave import then, when
from behave.runner import Context
from platform_fleet import PlatformFleet

_METRICS_PORT = 9464
_VOTERS = 5
# The successor starts this long after its predecessor is gone.
_PAUSE_S = 0.3


async def _gauge(fleet: PlatformFleet, host: str, name: str) -> int | None:
    """Return a gauge of a disk VM, None if the VM does not answer."""
    url = f'http://{host}:{_METRICS_PORT}/metrics'
    status, body = await fleet.call('GET', url)
    found = re.search(rf'^{name}\S* (\d+)$', body.decode(), re.MULTILINE)
    return int(found.group(1)) if status == 200 and found else None


async def _leader(fleet: PlatformFleet) -> str | None:
    """Return the leading disk VM."""
    for host in fleet.disks:
        if host not in fleet.processes:
            continue
        if await _gauge(fleet, host, 'baobabwharf_replica_leads'):
            return host
    return None


def _wait_for_voters(fleet: PlatformFleet, count: int) -> str:
    """Wait until the leader counts so many voters; return the leader."""
    leaders: list[str] = []

    async def counted() -> bool:
        host = await _leader(fleet)
        if host is None:
            return False
        leaders.append(host)
        voters = await _gauge(fleet, host, 'baobabwharf_replica_voters')
        return voters == count

    fleet.wait(counted, f'The group has no {count} voters.')
    return leaders[-1]


def _add_disk_vm(fleet: PlatformFleet) -> str:
    """Start a disk VM at an address that was not in use before."""
    network, _dot, last = fleet.disks[-1].rpartition('.')
    host = f'{network}.{int(last) + 1}'
    fleet.disks.append(host)
    fleet.start(host, bootstrap=False)
    return host


@when('{count:d} disk VMs are replaced, the leader not')
def replaced_without_leader(context: Context, count: int) -> None:
    leader = _wait_for_voters(context.fleet, _VOTERS)
    others = [host for host in context.fleet.disks if host != leader]
    _replace(context.fleet, others[:count])


@when('{count:d} disk VMs are replaced, the leader among them')
def replaced_with_leader(context: Context, count: int) -> None:
    leader = _wait_for_voters(context.fleet, _VOTERS)
    others = [host for host in context.fleet.disks if host != leader]
    _replace(context.fleet, [leader, *others][:count])


def _replace(fleet: PlatformFleet, hosts: list[str]) -> None:
    for host in hosts:
        fleet.kill(host)
    fleet.run(asyncio.sleep(_PAUSE_S))
    for _host in hosts:
        _add_disk_vm(fleet)
    for host in hosts:
        fleet.disks.remove(host)


@when('the successors have had {seconds:d} s to catch up')
def caught_up(context: Context, seconds: int) -> None:
    context.fleet.run(asyncio.sleep(seconds))


@when('two other disk VMs lose their disks for {seconds:d} s')
def two_disks_lost(context: Context, seconds: int) -> None:
    fleet = context.fleet
    for host in fleet.disks[:2]:
        fleet.kill(host)
        shutil.rmtree(fleet.folder / host)
    fleet.run(asyncio.sleep(seconds))
    for host in fleet.disks[:2]:
        fleet.start(host, bootstrap=False)


@when('a disk VM is suspended while another one is added')
def suspended(context: Context) -> None:
    fleet = context.fleet
    leader = _wait_for_voters(fleet, _VOTERS)
    _add_disk_vm(fleet)
    _wait_for_voters(fleet, _VOTERS + 1)
    suspended_host = next(host for host in fleet.disks if host != leader)
    context.suspended = fleet.processes.pop(suspended_host)
    context.suspended.send_signal(signal.SIGSTOP)
    context.suspended_host = suspended_host


@then('that disk VM is no voter')
def no_voter(context: Context) -> None:
    _wait_for_voters(context.fleet, _VOTERS)


@when('it goes on')
def goes_on(context: Context) -> None:
    context.suspended.send_signal(signal.SIGCONT)
    context.fleet.processes[context.suspended_host] = context.suspended


@then('that disk VM is a voter again')
def voter_again(context: Context) -> None:
    _wait_for_voters(context.fleet, _VOTERS + 1)
