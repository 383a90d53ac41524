"""A core machine is replaced; then two others lose their disks.

DEPLOY.md: a machine that is removed stops counting once its successor has had
`catchUpS`.  From then on two machines may lose their disks, right after a
configuration was acknowledged.  That configuration has to be read back.
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

# The core of rotawen-prod: five machines in three zones.
ZONES = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
CORE_ZONES = ('a-1', 'a-1', 'b-1', 'b-1', 'c-1')
# replace_core: "an empty one comes x s (1) later at another address".  A shorter
# pause is the milder one.
GAP_S = 0.3
# catchUpS is 4.
CATCH_UP_S = 4.2
# down_s of the closings of rotawen-prod is 0.72 to 1.2.
DOWN_S = 0.9
# recoveryS is 12, contactMs 5,000; the operator goes on to read for longer.
RECOVERY_S = 12.0
READ_S = 20.0


def content(version):
    """Return a configuration."""
    return configuration(
        version, [route('r', '/r/', 's', 'idempotent')], [service('s')]
    )


async def play(record):
    """Play the case."""
    fleet = Fleet(ZONES)
    try:
        core = [
            fleet.add(f'core-{n}', zone, core=True)
            for n, zone in enumerate(CORE_ZONES, 1)
        ]
        seeds = [core[0], core[2], core[4]]
        for machine in core:
            fleet.start(machine, seeds, bootstrap=True)
        operator = Operator(fleet, record)
        if await operator.order('PUT', 'config', core, body=content(1)) is None:
            raise CouldNotRun('the first configuration was not accepted')
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(12)
        if trouble():
            gone = core[1]
            fleet.kill(gone)
            record(f'{gone.name} is gone for good')
            await asyncio.sleep(GAP_S)
            successor = fleet.add('core-6', gone.zone, core=True)
            fleet.start(successor, seeds)
            record(f'{successor.name} starts, empty, at another address')
            core = [m for m in core if m is not gone] + [successor]
            await asyncio.sleep(CATCH_UP_S)
        if await operator.order('PUT', 'config', core, body=content(2)) is None:
            raise CouldNotRun('the second configuration was not acknowledged')
        if trouble():
            lost = [core[0], core[1]]
            for machine in lost:
                fleet.kill(machine)
                fleet.lose_disk(machine)
            record('lose their disks: ' + ', '.join(m.name for m in lost))
            await asyncio.sleep(DOWN_S)
            for machine in lost:
                fleet.start(machine, seeds)
            record('these are back with empty disks')
        await asyncio.sleep(RECOVERY_S)
        end = time.monotonic() + READ_S
        while time.monotonic() < end:
            answers = await asyncio.gather(*map(operator.read_version, core))
            record(f'read back: {dict(zip([m.name for m in core], answers))}')
            versions = {answer for answer in answers if answer in (1, 2)}
            if versions == {2}:
                return HELD
            if 1 in versions:
                return BROKEN
            await asyncio.sleep(1)
        record('version 2 was acknowledged and does not come')
        return BROKEN
    finally:
        fleet.stop()


main(HERE, play)
