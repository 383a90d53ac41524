"""Describe how fast an engine works.

The priors are those of an engine that was measured.  Observed times to a first
event correct them for each service and, by a factor, for each endpoint; what an
endpoint reports about its present speed scales its work while it is fresh.

Load pattern: engines of one service that differ in speed, on machines that are
shared with others and slow down for some hundred ms.
"""

import math
from typing import final

import msgspec

from baobabwharf_decisions.proxying.prefill_queue import PrefillQueue
from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
)

# Duration of a decode step of an engine that prefills nothing.
PRIOR_STEP_MS = 3.5
# Network, scheduling and the first decode step.
PRIOR_OVERHEAD_MS = 55.0
# Prompt tokens that an engine prefills between two decode steps.
CHUNK_TOKENS = 4096
USUAL_PERCENT = 100
# A machine shared with others changes its speed several times per second.
_PRESENT_SPEED_MS = 600
_MIN_PERCENT = 10
_MAX_PERCENT = 2000
# Learned coefficients stay within this factor of their priors.
_MAX_CORRECTION = 3.0
# Variances of overhead, prefill and step relative to their priors before any
# observation.  Steps differ little, and their coefficient would otherwise
# take up errors of the other two.
_PRIOR_VARIANCES = (0.25, 0.25, 0.02)
# Variance of a relative observation, and its increase where the engine had
# other work to do first.
_NOISE_VARIANCE = 0.05
_QUEUE_VARIANCE = 1.0
# Growth of the variance per observation: some hundred of them are remembered.
_DRIFT_VARIANCE = 0.00002
# Relative errors beyond this are outliers, for example a preempted request.
_MAX_RESIDUAL = 0.4
# An endpoint's factor is forgotten in this time without observations.
_FACTOR_DECAY_MS = 30_000
# Share of the earlier observations that each new one replaces.
_FACTOR_WEIGHT = 0.01
# Weight of the service's speed in observations of one endpoint.
_FACTOR_PRIOR_WEIGHT = 12.0
# The fastest and the slowest engine of a service, and clamped outliers.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 4.0


class EngineWork(msgspec.Struct, frozen=True):
    """Hold what is done until a first event, whatever the engine's speed.

    tokens are prefilled, steps are decode steps, longer ones counted as more.
    own_share is the part that does not depend on estimated queues.
    """

    tokens: float
    steps: float
    own_share: float = 1.0

    def scaled(self, factor: float) -> 'EngineWork':
        """Return the work that takes factor times as long."""
        return EngineWork(
            self.tokens * factor, self.steps * factor, self.own_share
        )


class EngineSpeed(msgspec.Struct, frozen=True):
    """Hold the speeds with which times are estimated."""

    prefill_tokens_per_ms: float = MAX_PREFILL_TOKENS_PER_MS
    step_ms: float = PRIOR_STEP_MS
    overhead_ms: float = PRIOR_OVERHEAD_MS

    def scaled(self, factor: float) -> 'EngineSpeed':
        """Return the speeds where all work takes factor times as long."""
        return EngineSpeed(
            self.prefill_tokens_per_ms / factor,
            self.step_ms * factor,
            self.overhead_ms,
        )

    def work_ms(self, work: EngineWork) -> float:
        """Return the duration of work without the overhead."""
        prefill_ms = work.tokens / self.prefill_tokens_per_ms
        return prefill_ms + work.steps * self.step_ms

    def first_event_ms(self, work: EngineWork) -> float:
        """Return the time to a first event that takes the given work."""
        return self.overhead_ms + self.work_ms(work)


@final
class PresentSpeed:
    """Hold how long work takes at an endpoint now, as it reported."""

    def __init__(self) -> None:
        self._percent = USUAL_PERCENT
        self._reported_ms: int | None = None

    @property
    def reported(self) -> bool:
        """Return whether the endpoint has ever reported its speed."""
        return self._reported_ms is not None

    def note(self, percent: int, now_ms: int) -> None:
        """Store a report; values beyond any real machine are clamped."""
        self._percent = min(max(percent, _MIN_PERCENT), _MAX_PERCENT)
        self._reported_ms = now_ms

    def factor(self, now_ms: int) -> float:
        """Return how many times as long as usual work takes.

        The influence of a report decreases linearly with its age.
        """
        if self._reported_ms is None:
            return 1.0
        age_ms = now_ms - self._reported_ms
        weight = max(0.0, 1 - age_ms / _PRESENT_SPEED_MS)
        return 1 + weight * (self._percent / USUAL_PERCENT - 1)


_PRIOR_SPEED = EngineSpeed()
_COEFFICIENTS = range(3)


@final
class ServiceSpeed:
    """Learn the speeds of the engines of one service.

    A Kalman filter estimates overhead, ms per prompt token and ms per step
    relative to their priors, from relative errors so that long and short
    prompts count equally.
    """

    def __init__(self) -> None:
        self._relative = [1.0 for _ in _COEFFICIENTS]
        self._variance = [
            [
                _PRIOR_VARIANCES[row] * (row == column)
                for column in _COEFFICIENTS
            ]
            for row in _COEFFICIENTS
        ]

    @property
    def speed(self) -> EngineSpeed:
        """Return the present estimate."""
        overhead, per_token, per_step = self._relative
        return EngineSpeed(
            _PRIOR_SPEED.prefill_tokens_per_ms / per_token,
            _PRIOR_SPEED.step_ms * per_step,
            _PRIOR_SPEED.overhead_ms * overhead,
        )

    def note(self, work: EngineWork, observed_ms: float) -> None:
        """Learn from the time to a first event."""
        expected_ms = self.speed.first_event_ms(work)
        inputs = [
            _PRIOR_SPEED.overhead_ms / expected_ms,
            work.tokens / _PRIOR_SPEED.prefill_tokens_per_ms / expected_ms,
            work.steps * _PRIOR_SPEED.step_ms / expected_ms,
        ]
        residual = observed_ms / expected_ms - 1
        residual = min(max(residual, -_MAX_RESIDUAL), _MAX_RESIDUAL)
        spread = [_dot(row, inputs) for row in self._variance]
        noise = _NOISE_VARIANCE + _QUEUE_VARIANCE * (1 - work.own_share) ** 2
        gain = [one / (noise + _dot(spread, inputs)) for one in spread]
        for row in _COEFFICIENTS:
            corrected = self._relative[row] + gain[row] * residual
            self._relative[row] = min(
                max(corrected, 1 / _MAX_CORRECTION), _MAX_CORRECTION
            )
            for column in _COEFFICIENTS:
                self._variance[row][column] -= gain[row] * spread[column]
            self._variance[row][row] = min(
                self._variance[row][row] + _DRIFT_VARIANCE,
                _PRIOR_VARIANCES[row],
            )


@final
class EngineProfile:
    """Learn how an endpoint's speed differs from that of its service."""

    def __init__(self) -> None:
        # Replaced by the learned one where times to first events are observed.
        self.service = ServiceSpeed()
        self.queue = PrefillQueue()
        self._log_sum = 0.0
        self._weight = 0.0
        self._noted_ms = 0

    def confidence(self, now_ms: int) -> float:
        """Return the share of own observations in the factor, 0 to 1."""
        weight = self._weight * self._decay(now_ms)
        return weight / (weight + _FACTOR_PRIOR_WEIGHT)

    def factor(self, now_ms: int) -> float:
        """Return how many times as long work takes as in its service.

        The factor returns to 1 with the age of the observations.
        """
        if not self._weight:
            return 1.0
        mean = self._log_sum / self._weight
        return math.exp(mean * self.confidence(now_ms))

    def speed(self, now_ms: int) -> EngineSpeed:
        """Return the learned speed without what the endpoint reports."""
        return self.service.speed.scaled(self.factor(now_ms))

    def note(self, work: EngineWork, observed_ms: float, now_ms: int) -> None:
        """Learn from a time to a first event.

        The work is scaled by the present speed that the endpoint reported.
        """
        speed = self.service.speed
        expected_ms = speed.work_ms(work)
        own_factor = self.factor(now_ms)
        ratio = (observed_ms - speed.overhead_ms) / max(1.0, expected_ms)
        decay = self._decay(now_ms) * (1 - _FACTOR_WEIGHT)
        # Little can be told from requests that take hardly more than the
        # overhead.
        weight = expected_ms / (expected_ms + speed.overhead_ms)
        weight *= work.own_share**2
        clamped = min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)
        self._log_sum = self._log_sum * decay + weight * math.log(clamped)
        self._weight = self._weight * decay + weight
        self._noted_ms = now_ms
        self.service.note(work.scaled(own_factor), observed_ms)

    def _decay(self, now_ms: int) -> float:
        return math.exp((self._noted_ms - now_ms) / _FACTOR_DECAY_MS)


def _dot(left: list[float], right: list[float]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))
