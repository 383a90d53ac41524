"""Change the configuration during a soak run and check the outcomes."""

import asyncio
import itertools
import random

import aiohttp
from baobabwharf_core.changes import (
    ChangeCode,
    CreateKey,
    SetCap,
    WithdrawKey,
)
from baobabwharf_core.fleet_config import KeyRecord
from baobabwharf_core.ids import CustomerId, KeyId, Revision

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.operator_client import (
    OperatorClient,
    key_digest,
    new_key,
)
from baobabwharf_testkit.soak_actions import Action, EventPrinter
from baobabwharf_testkit.workload import CustomerPlan

_WAIT_MS = 5000
_TIMEOUT_S = 3.0
_UNAUTHORIZED = 401
_CONFIG_PATH = '/operator/v1/config'


class SoakOperators:
    """Withdraw keys, change caps and submit conflicting changes."""

    def __init__(
        self,
        fleet: Fleet,
        plans: tuple[CustomerPlan, ...],
        printer: EventPrinter,
        seed: str,
    ) -> None:
        self._fleet = fleet
        self._plans = plans
        self._printer = printer
        self._random = random.Random(seed)
        self._withdrawn: list[str] = []
        self._violations: list[str] = []
        self._key_count = 0

    @property
    def violations(self) -> list[str]:
        """Return one sentence for each violated guarantee."""
        return self._violations

    def actions(self) -> list[Action]:
        """Return all actions."""
        return [
            self.change_cap,
            self.submit_conflicting_changes,
            self.withdraw_key,
        ]

    async def change_cap(self) -> None:
        """Raise or lower the cap of a customer."""
        plan = self._random.choice(self._plans)
        factor = self._random.choice((1, 2, 3))
        change = SetCap(
            CustomerId(plan.customer_id),
            plan.rate_tokens_per_s * factor,
            plan.burst_tokens * factor,
        )
        operator = self._fleet.operator()
        outcome = await operator.change(change, wait_ms=_WAIT_MS)
        await operator.close()
        self._printer.report(f'A cap change was {outcome.code.value}.')

    async def submit_conflicting_changes(self) -> None:
        """Submit two changes with one expected revision to two VMs."""
        first, second = self._random.sample(sorted(self._fleet.vms), 2)
        operators = [self._fleet.operator(first), self._fleet.operator(second)]
        config = await operators[0].get(_CONFIG_PATH)
        if config is not None:
            codes = await asyncio.gather(
                *(
                    self._change_cap_at(
                        operator, Revision(config['revision']), factor
                    )
                    for factor, operator in enumerate(operators, start=1)
                )
            )
            code_names = [code.value for code in codes]
            self._printer.report(
                f'The outcomes of conflicting changes were {code_names}.'
            )
            if codes.count(ChangeCode.ACCEPTED) > 1:
                self._violations.append(
                    'Two conflicting changes were accepted.'
                )
        for operator in operators:
            await operator.close()

    async def withdraw_key(self) -> None:
        """Create a key and withdraw it."""
        self._key_count += 1
        plan = self._random.choice(self._plans)
        key = new_key()
        key_id = KeyId(f'soak-{self._key_count}')
        record = KeyRecord(
            key_id, CustomerId(plan.customer_id), key_digest(key)
        )
        operator = self._fleet.operator()
        created = await operator.change(CreateKey(record), wait_ms=_WAIT_MS)
        withdrawn = await operator.change(WithdrawKey(key_id), wait_ms=_WAIT_MS)
        await operator.close()
        self._printer.report(
            f'A key was created ({created.code.value}) and withdrawn '
            f'({withdrawn.code.value}).'
        )
        if withdrawn.code is ChangeCode.ACCEPTED:
            self._withdrawn.append(key)

    async def check_withdrawn(self) -> None:
        """Check that all VMs refuse the withdrawn keys after the last fault."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            pairs = itertools.product(self._fleet.urls(), self._withdrawn)
            for url, key in pairs:
                status = await _status(session, url, key)
                if status != _UNAUTHORIZED:
                    self._violations.append(
                        f'{url} answered a withdrawn key with {status}.'
                    )

    async def _change_cap_at(
        self, operator: OperatorClient, revision: Revision, factor: int
    ) -> ChangeCode:
        plan = self._plans[0]
        change = SetCap(
            CustomerId(plan.customer_id),
            plan.rate_tokens_per_s * factor,
            plan.burst_tokens * factor,
        )
        outcome = await operator.change(change, expected=revision)
        return outcome.code


async def _status(session: aiohttp.ClientSession, url: str, key: str) -> int:
    headers = {'Authorization': f'Bearer {key}'}
    async with session.get(f'{url}/v1/models', headers=headers) as response:
        return response.status
