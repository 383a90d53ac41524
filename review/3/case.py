"""A core machine loses its disk on a day with many changes of a large config.

Much later, two others lose their disks, right after a configuration was
acknowledged.  That configuration has to be read back.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from fleet import (  # noqa: E402
    BROKEN,
    HELD,
    CouldNotRun,
    Fleet,
    Operator,
    configuration,
    main,
    route,
    service,
    trouble,
)

# The core of rotawen-prod-grown: five machines in five zones.
ZONES = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b', 'c-1': 'c'}
CORE_ZONES = tuple(ZONES)
# big_config, count = 1400, in the troubles of rotawen-prod-grown.
ROUTES = 1400
# "A day may be long and may contain hundreds of changes."  config_storm,
# gap_s = 0.33, is in the troubles of rotawen-prod.
CHANGES = 125
GAP_S = 0.33
STORM_S = 65.0
# after_ack_wipe with for_s = 1.0 is on rotawen-prod-grown.
DOWN_S = 1.0
# catchUpS is 6 there: a machine "remains lost for `catchUpS` after it is back".
BETWEEN_S = 12.0
# recoveryS is 15 there.
RECOVERY_S = 15.0
READ_S = 8.0


def content(version):
    """Return a configuration; with each version one route changes."""
    routes = [
        route(f'r-{n:04d}', f'/p{n:04d}/', 's', 'idempotent', attempts=2)
        for n in range(ROUTES)
    ]
    routes[version % ROUTES]['timeoutMs'] = 2500 + version
    return configuration(version, routes, [service('s')])


async def lose_disks(fleet, record, machines, seeds):
    """Let machines lose power and their disks, and come back."""
    for machine in machines:
        fleet.kill(machine)
        fleet.lose_disk(machine)
    names = ', '.join(machine.name for machine in machines)
    record(f'{names}: power and disk lost')
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        fleet.start(machine, seeds)
    record(f'{names}: back with an empty disk')


async def play(record):
    """Play the case."""
    fleet = Fleet(ZONES)
    try:
        core = [
            fleet.add(f'core-{n}', zone, core=True)
            for n, zone in enumerate(CORE_ZONES, 1)
        ]
        seeds = core[:3]
        for machine in core:
            fleet.start(machine, seeds, bootstrap=True)
        operator = Operator(fleet, record)
        end = time.monotonic() + STORM_S
        version = 0
        while version < CHANGES and time.monotonic() < end:
            version += 1
            pause = asyncio.create_task(asyncio.sleep(GAP_S))
            if await operator.order(
                'PUT', 'config', core, body=content(version)
            ) is None:
                raise CouldNotRun(f'version {version} was not acknowledged')
            await pause
        if trouble():
            await lose_disks(fleet, record, [core[4]], seeds)
            await asyncio.sleep(BETWEEN_S)
        newest = version + 1
        if await operator.order(
            'PUT', 'config', core[:3], body=content(newest)
        ) is None:
            raise CouldNotRun('the newest version was not acknowledged')
        if trouble():
            await lose_disks(fleet, record, core[:2], seeds)
        await asyncio.sleep(RECOVERY_S)
        end = time.monotonic() + READ_S
        while time.monotonic() < end:
            answers = await asyncio.gather(*map(operator.read_version, core))
            record(f'read back: {dict(zip([m.name for m in core], answers))}')
            if newest in answers:
                return HELD
            await asyncio.sleep(0.5)
        record(f'version {newest} was acknowledged and does not come')
        return BROKEN
    finally:
        fleet.stop()


main(HERE, play)
