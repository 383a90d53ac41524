"""Emulate the batch steps of model engines in virtual time.

A step reads at most one chunk of waiting prompts, the most urgent first, and
makes one token for each running request.  The figures are those of the
users' sheets.
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

STEP_MS = 2.97
STEP_MS_PER_REQUEST = 0.0222
READ_TOKENS_PER_MS = 101.0
CHUNK_TOKENS = 4096
SLOTS = 64
CACHE_TOKENS = 587_510


@dataclass(frozen=True)
class Kind:
    """Describe one kind of request; urgency 0 is the most urgent."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    target_ms: int
    deadline_ms: int
    urgency: int
    sessions: int
    # Tokens in an event of the stream, and the longest pause between events
    # for which an answer is on time.
    stride: int = 8
    gap_ms: int = 600


DRAFT = Kind('draft', 12.0, 5382, 6610, 384, 800, 12_000, 1, 104)
QUESTION = Kind('question', 55.0, 568, 1800, 23, 600, 3000, 0, 458)
# The same where events hold more tokens and may pause less.
CHUNKY_DRAFT = replace(DRAFT, output_tokens=380, stride=10, gap_ms=400)
CHUNKY_QUESTION = replace(QUESTION, stride=10, gap_ms=400)


@dataclass
class Job:
    """Follow one request through an engine."""

    kind: Kind
    prompt: Prompt
    arrived_ms: float
    unread: int = 0
    made: int = 0
    first_ms: float | None = None
    event_ms: float = 0.0
    longest_gap_ms: float = 0.0


@dataclass
class Engine:
    """Run batch steps; time is in ms."""

    load: EndpointLoad = field(
        default_factory=lambda: EndpointLoad(CACHE_TOKENS)
    )
    slots: int = SLOTS
    now_ms: float = 0.0
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    running: list[Job] = field(default_factory=list)
    ended: list[tuple[Job, float]] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def add(self, job: Job) -> None:
        """Queue a request whose prompt is partly cached."""
        job.unread = self.load.begin(job.prompt, int(job.arrived_ms))
        entry = (job.kind.urgency, next(self.numbers), job)
        heapq.heappush(self.waiting, entry)

    def run_until(self, end_ms: float) -> None:
        """Make steps until a time."""
        while self.now_ms < end_ms:
            if not self.waiting and not self.running:
                self.now_ms = end_ms
                return
            self._step()

    def _step(self) -> None:
        tokens = self._read_chunk()
        self.now_ms += (
            STEP_MS
            + STEP_MS_PER_REQUEST * len(self.running)
            + tokens / READ_TOKENS_PER_MS
        )
        for job in tuple(self.running):
            self._make_token(job)

    def _read_chunk(self) -> int:
        room = CHUNK_TOKENS
        while room and self.waiting and len(self.running) < self.slots:
            job = self.waiting[0][2]
            part = min(room, job.unread - job.made)
            job.made += part
            room -= part
            if job.made < job.unread:
                break
            heapq.heappop(self.waiting)
            self.load.read(job.unread)
            job.made = 0
            self.running.append(job)
        return CHUNK_TOKENS - room

    def _make_token(self, job: Job) -> None:
        job.made += 1
        if job.first_ms is None:
            job.first_ms = self.now_ms
            job.event_ms = self.now_ms
        if job.made % job.kind.stride == 0:
            gap_ms = self.now_ms - job.event_ms
            job.longest_gap_ms = max(job.longest_gap_ms, gap_ms)
            job.event_ms = self.now_ms
        late = self.now_ms - job.arrived_ms > job.kind.deadline_ms
        if late or job.made >= job.kind.output_tokens:
            self.running.remove(job)
            self.load.end()
            self.ended.append((job, self.now_ms))


@dataclass
class Outcome:
    """Count how the requests of a kind ended."""

    asked: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0
    cut: int = 0
    # Those of the late ones that began in time.
    paused: int = 0


Chooser = Callable[[list[Candidate], PlacementRequest], Candidate | None]


def accept_all(
    candidates: list[Candidate], need: PlacementRequest
) -> Candidate | None:
    """Choose the least unread prompt and refuse nothing: the baseline."""
    return min(candidates, key=lambda one: one.load.total_pending_tokens)


def product_choice(
    candidates: list[Candidate], need: PlacementRequest
) -> Candidate | None:
    """Choose as the product does."""
    return PromptPlacement().choose(candidates, need)


@final
class Emulation:
    """Send a load to some engines by a policy."""

    def __init__(
        self, seed: int, engines: int, choose: Chooser, slots: int = SLOTS
    ) -> None:
        self._random = random.Random(seed)
        self._slots = slots
        self._choose = choose
        self._engines = {
            EndpointId(f'e{number}'): Engine(slots=slots)
            for number in range(engines)
        }
        self.outcomes: dict[str, Outcome] = {}

    @property
    def tokens_read_a_draft(self) -> float:
        """Return the mean of prompt tokens read for a draft."""
        read = [
            job.unread
            for engine in self._engines.values()
            for job, _ended_ms in engine.ended
            if job.kind is DRAFT
        ]
        return sum(read) / max(1, len(read))

    def run(self, kinds: list[Kind], factor: float, length_ms: int) -> None:
        """Play a load of some times the usual one, then let it finish."""
        arrivals = sorted(
            (at_ms, number, kind)
            for number, kind in enumerate(kinds)
            for at_ms in self._arrivals(kind.per_s * factor, length_ms)
        )
        for at_ms, _number, kind in arrivals:
            self._arrive(kind, at_ms)
        for engine in self._engines.values():
            engine.run_until(length_ms + kinds[0].deadline_ms)
            for job, ended_ms in engine.ended:
                self._count(job, ended_ms)

    def _arrivals(self, per_s: float, length_ms: int) -> list[float]:
        times = []
        at_ms = self._random.expovariate(per_s / 1000)
        while at_ms < length_ms:
            times.append(at_ms)
            at_ms += self._random.expovariate(per_s / 1000)
        return times

    def _arrive(self, kind: Kind, at_ms: float) -> None:
        for engine in self._engines.values():
            engine.run_until(at_ms)
        outcome = self.outcomes.setdefault(kind.name, Outcome())
        outcome.asked += 1
        prompt = self._prompt(kind)
        need = PlacementRequest(
            prompt,
            kind.target_ms,
            URGENT_SHARE if kind.urgency == 0 else LESS_URGENT_SHARE,
            int(at_ms),
            burst_bound(kind.gap_ms, kind.stride),
        )
        candidates = [
            Candidate(name, one.load, self._slots)
            for name, one in self._engines.items()
        ]
        chosen = self._choose(candidates, need)
        if chosen is None:
            outcome.refused += 1
            return
        self._engines[chosen.endpoint_id].add(Job(kind, prompt, at_ms))

    def _prompt(self, kind: Kind) -> Prompt:
        session = self._random.randrange(kind.sessions)
        return (
            PromptPart(f'{kind.name}-{session}', kind.shared_tokens),
            PromptPart(f'own-{self._random.random()}', kind.own_tokens),
        )

    def _count(self, job: Job, ended_ms: float) -> None:
        outcome = self.outcomes[job.kind.name]
        took_ms = ended_ms - job.arrived_ms
        first_ms = job.first_ms or ended_ms
        if took_ms > job.kind.deadline_ms:
            outcome.cut += 1
        elif first_ms - job.arrived_ms > job.kind.target_ms:
            outcome.late += 1
        elif job.longest_gap_ms > job.kind.gap_ms:
            outcome.late += 1
            outcome.paused += 1
        else:
            outcome.in_time += 1
