"""Generate the calls of the customers of a deployment."""

import random

import msgspec

from baobabwharf_testkit.calls import (
    Call,
    CallKind,
    booking_call,
    completion_call,
    sheet_call,
)
from baobabwharf_testkit.fleet_plan import Deployment

_WORDS = (
    'roof',
    'shift',
    'ladder',
    'watch',
    'harbour',
    'gutter',
    'nurse',
    'slate',
    'monsoon',
    'ferry',
    'warden',
    'tile',
)
_SHARED_PREFIX_WORDS = 120
_UNIQUE_WORDS = 12
_CHAT_TOKENS = 24
_QUICK_TOKENS = 8
_BATCH_TOKENS = 160
# Weights of the kinds of calls of a customer.
_CALL_WEIGHTS = (
    (CallKind.CHAT, 6),
    (CallKind.QUICK, 5),
    (CallKind.BOOKING, 4),
    (CallKind.SHEET, 4),
    (CallKind.BATCH, 1),
)


class CustomerPlan(msgspec.Struct, frozen=True):
    """Plan a customer, the region of its callers and its cap."""

    customer_id: str
    region: str
    rate_tokens_per_s: int
    burst_tokens: int
    residency: tuple[str, ...] = ()


def deployment_customers(
    deployment: Deployment, regions: tuple[str, ...]
) -> tuple[CustomerPlan, ...]:
    """Return five customers, two of them large and one with residency."""
    name = deployment.name.lower()
    large = (40_000, 80_000)
    small = (10_000, 20_000)
    caps = (large, large, small, small, small)
    plans = []
    for number, cap in enumerate(caps, start=1):
        region = regions[number % len(regions)]
        has_residency = number == len(caps)
        plans.append(
            CustomerPlan(
                customer_id=f'{name}-{number}',
                region=region,
                rate_tokens_per_s=cap[0],
                burst_tokens=cap[1],
                residency=(region,) if has_residency else (),
            )
        )
    return tuple(plans)


class CallGenerator:
    """Generate the calls of one customer from a seed."""

    def __init__(
        self, deployment: Deployment, customer_id: str, seed: int
    ) -> None:
        self._deployment = deployment
        self._customer_id = customer_id
        self._random = random.Random(f'{seed} {customer_id}')
        # A prompt prefix that all calls of a customer share.
        self._prompt_prefix = self._random_words(_SHARED_PREFIX_WORDS)
        self._call_count = 0

    def next_call(self) -> Call:
        """Return the next call, of any kind."""
        kinds = [kind for kind, _weight in _CALL_WEIGHTS]
        weights = [weight for _kind, weight in _CALL_WEIGHTS]
        return self.next_call_of_kind(self._random.choices(kinds, weights)[0])

    def next_call_of_kind(self, kind: CallKind) -> Call:
        """Return the next call of a kind."""
        self._call_count += 1
        name = f'{self._customer_id}-{self._call_count}'
        deployment = self._deployment
        if kind is CallKind.BOOKING:
            service = deployment.plain_service
            return booking_call(service, deployment.booking_path, name)
        if kind is CallKind.SHEET:
            service = deployment.plain_service
            return sheet_call(service, deployment.sheet_path, name)
        return self._completion(kind, name)

    def _completion(self, kind: CallKind, name: str) -> Call:
        deployment = self._deployment
        tokens = {
            CallKind.CHAT: _CHAT_TOKENS,
            CallKind.QUICK: _QUICK_TOKENS,
            CallKind.BATCH: _BATCH_TOKENS,
        }[kind]
        target = deployment.interactive
        if kind is CallKind.BATCH:
            target = deployment.batch
        prompt = (
            f'{self._prompt_prefix} {name} {self._random_words(_UNIQUE_WORDS)}'
        )
        return completion_call(
            kind, deployment.model_service, prompt, tokens, target.work_class
        )

    def _random_words(self, count: int) -> str:
        return ' '.join(self._random.choices(_WORDS, k=count))
