"""Emulate the batch steps of model engines in virtual time.

A step prefills at most one chunk of the waiting prompts, the most urgent
first, and decodes one token for each running request.  The constants come from
the users' data sheets.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import final

from baobabwharf_core.ids import EndpointId
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.prefill_burst import burst_bound
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptPart
from baobabwharf_decisions.proxying.prompt_placement import (
    LESS_URGENT_SHARE,
    URGENT_SHARE,
    PlacementRequest,
    PromptPlacement,
)

BASE_STEP_MS = 2.97
STEP_MS_PER_REQUEST = 0.0222
PREFILL_TOKENS_PER_MS = 101.0
CHUNK_TOKENS = 4096
SLOTS = 64
CACHE_TOKENS = 587_510


@dataclass(frozen=True)
class RequestKind:
    """Describe one kind of request; urgency 0 is the most urgent."""

    name: str
    rate_per_s: float
    session_tokens: int
    unique_tokens: int
    output_tokens: int
    target_ms: int
    deadline_ms: int
    urgency: int
    sessions: int
    # Tokens per stream event, and the longest pause between events with which
    # a response still counts as in time.
    tokens_per_event: int = 8
    max_pause_ms: int = 600


DRAFT = RequestKind('draft', 12.0, 5382, 6610, 384, 800, 12_000, 1, 104)
QUESTION = RequestKind('question', 55.0, 568, 1800, 23, 600, 3000, 0, 458)
# The same kinds with larger events and a shorter allowed pause.
LARGE_EVENT_DRAFT = replace(
    DRAFT, output_tokens=380, tokens_per_event=10, max_pause_ms=400
)
LARGE_EVENT_QUESTION = replace(QUESTION, tokens_per_event=10, max_pause_ms=400)


@dataclass
class EmulatedRequest:
    """Track one request through an engine."""

    kind: RequestKind
    prompt: Prompt
    arrived_ms: float
    uncached_tokens: int = 0
    # Prompt tokens prefilled so far, then output tokens decoded.
    progress_tokens: int = 0
    first_token_ms: float | None = None
    first_event_ms: float | None = None
    last_event_ms: float = 0.0
    longest_pause_ms: float = 0.0


@dataclass
class Engine:
    """Emulate an engine that runs batch steps; time is in ms."""

    load: EndpointLoad = field(
        default_factory=lambda: EndpointLoad(CACHE_TOKENS)
    )
    slots: int = SLOTS
    now_ms: float = 0.0
    waiting: list[tuple[int, int, EmulatedRequest]] = field(
        default_factory=list
    )
    running: list[EmulatedRequest] = field(default_factory=list)
    ended: list[tuple[EmulatedRequest, float]] = field(default_factory=list)
    arrival_order: itertools.count = field(default_factory=itertools.count)
    # How many times as long a step takes that begins at a time.
    slowdown: Callable[[float], float] = lambda _now_ms: 1.0

    def add(self, request: EmulatedRequest) -> None:
        """Queue a request; only the uncached part of its prompt is prefilled."""
        request.uncached_tokens = self.load.begin(
            request.prompt, int(request.arrived_ms)
        )
        entry = (request.kind.urgency, next(self.arrival_order), request)
        heapq.heappush(self.waiting, entry)

    def run_until(self, end_ms: float) -> None:
        """Run steps until a time."""
        while self.now_ms < end_ms:
            if not self.waiting and not self.running:
                self.now_ms = end_ms
                return
            self._step()

    def _step(self) -> None:
        tokens = self._prefill_chunk()
        step_ms = (
            BASE_STEP_MS
            + STEP_MS_PER_REQUEST * len(self.running)
            + tokens / PREFILL_TOKENS_PER_MS
        )
        self.now_ms += step_ms * self.slowdown(self.now_ms)
        for request in tuple(self.running):
            self._decode_token(request)

    def _prefill_chunk(self) -> int:
        budget_tokens = CHUNK_TOKENS
        while budget_tokens and self.waiting and len(self.running) < self.slots:
            request = self.waiting[0][2]
            chunk_tokens = min(
                budget_tokens, request.uncached_tokens - request.progress_tokens
            )
            request.progress_tokens += chunk_tokens
            budget_tokens -= chunk_tokens
            if request.progress_tokens < request.uncached_tokens:
                break
            heapq.heappop(self.waiting)
            self.load.mark_prefilled(request.uncached_tokens)
            request.progress_tokens = 0
            self.running.append(request)
        return CHUNK_TOKENS - budget_tokens

    def _decode_token(self, request: EmulatedRequest) -> None:
        request.progress_tokens += 1
        if request.first_token_ms is None:
            request.first_token_ms = self.now_ms
            request.last_event_ms = self.now_ms
        if request.progress_tokens % request.kind.tokens_per_event == 0:
            pause_ms = self.now_ms - request.last_event_ms
            request.longest_pause_ms = max(request.longest_pause_ms, pause_ms)
            request.last_event_ms = self.now_ms
            request.first_event_ms = request.first_event_ms or self.now_ms
        late = self.now_ms - request.arrived_ms > request.kind.deadline_ms
        if late or request.progress_tokens >= request.kind.output_tokens:
            self.running.remove(request)
            self.load.end()
            self.ended.append((request, self.now_ms))


@dataclass
class OutcomeCounts:
    """Count the outcomes of the requests of one kind."""

    sent: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0
    timed_out: int = 0
    # The late ones whose first token was in time.
    paused_too_long: int = 0


EndpointPolicy = Callable[[list[Candidate], PlacementRequest], Candidate | None]


def accept_all(
    candidates: list[Candidate], placement_request: PlacementRequest
) -> Candidate | None:
    """Choose the fewest pending prompt tokens and, as a baseline, never refuse."""
    return min(
        candidates, key=lambda candidate: candidate.load.total_pending_tokens
    )


def gateway_choice(
    candidates: list[Candidate], placement_request: PlacementRequest
) -> Candidate | None:
    """Choose as the gateway does."""
    return PromptPlacement().choose(candidates, placement_request)


@final
class Emulation:
    """Send load to several engines, chosen by an endpoint policy."""

    def __init__(
        self,
        seed: int,
        engines: int,
        choose: EndpointPolicy,
        slots: int = SLOTS,
    ) -> None:
        self._random = random.Random(seed)
        self._slots = slots
        self._choose = choose
        self._engines = {
            EndpointId(f'e{number}'): Engine(slots=slots)
            for number in range(engines)
        }
        self.outcomes: dict[str, OutcomeCounts] = {}

    @property
    def mean_prefill_tokens_per_draft(self) -> float:
        """Return the mean number of prompt tokens prefilled for a draft."""
        prefilled = [
            request.uncached_tokens
            for engine in self._engines.values()
            for request, _ended_ms in engine.ended
            if request.kind is DRAFT
        ]
        return sum(prefilled) / max(1, len(prefilled))

    def run(
        self, kinds: list[RequestKind], load_factor: float, duration_ms: int
    ) -> None:
        """Send the usual load times a factor, then let all requests finish."""
        arrivals = sorted(
            (at_ms, number, kind)
            for number, kind in enumerate(kinds)
            for at_ms in self._arrivals(
                kind.rate_per_s * load_factor, duration_ms
            )
        )
        for at_ms, _number, kind in arrivals:
            self._handle_arrival(kind, at_ms)
        for engine in self._engines.values():
            engine.run_until(duration_ms + kinds[0].deadline_ms)
            for request, ended_ms in engine.ended:
                self._record_outcome(request, ended_ms)

    def _arrivals(self, rate_per_s: float, duration_ms: int) -> list[float]:
        times = []
        at_ms = self._random.expovariate(rate_per_s / 1000)
        while at_ms < duration_ms:
            times.append(at_ms)
            at_ms += self._random.expovariate(rate_per_s / 1000)
        return times

    def _handle_arrival(self, kind: RequestKind, at_ms: float) -> None:
        for engine in self._engines.values():
            engine.run_until(at_ms)
        outcome = self.outcomes.setdefault(kind.name, OutcomeCounts())
        outcome.sent += 1
        prompt = self._prompt(kind)
        placement_request = PlacementRequest(
            prompt,
            kind.target_ms,
            URGENT_SHARE if kind.urgency == 0 else LESS_URGENT_SHARE,
            int(at_ms),
            burst_bound(kind.max_pause_ms, kind.tokens_per_event),
        )
        candidates = [
            Candidate(name, emulated.load, self._slots)
            for name, emulated in self._engines.items()
        ]
        chosen = self._choose(candidates, placement_request)
        if chosen is None:
            outcome.refused += 1
            return
        self._engines[chosen.endpoint_id].add(
            EmulatedRequest(kind, prompt, at_ms)
        )

    def _prompt(self, kind: RequestKind) -> Prompt:
        session = self._random.randrange(kind.sessions)
        return (
            PromptPart(f'{kind.name}-{session}', kind.session_tokens),
            PromptPart(f'own-{self._random.random()}', kind.unique_tokens),
        )

    def _record_outcome(
        self, request: EmulatedRequest, ended_ms: float
    ) -> None:
        outcome = self.outcomes[request.kind.name]
        elapsed_ms = ended_ms - request.arrived_ms
        first_token_ms = request.first_token_ms or ended_ms
        if elapsed_ms > request.kind.deadline_ms:
            outcome.timed_out += 1
        elif first_token_ms - request.arrived_ms > request.kind.target_ms:
            outcome.late += 1
        elif request.longest_pause_ms > request.kind.max_pause_ms:
            outcome.late += 1
            outcome.paused_too_long += 1
        else:
            outcome.in_time += 1
