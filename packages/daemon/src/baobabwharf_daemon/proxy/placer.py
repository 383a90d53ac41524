"""Choose the endpoint or the region for each attempt."""

import random
from collections.abc import Iterable, Mapping
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.ids import EndpointId, RegionId, ServiceId, VmId, ZoneId
from baobabwharf_core.model import VmRecord
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.proxying.cold_pace import ColdPace
from baobabwharf_decisions.proxying.endpoint_book import (
    BookEntry,
    EndpointBook,
    EndpointRecord,
)
from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad, LoadShare
from baobabwharf_decisions.proxying.prompt_backlog import (
    Backlog,
    Candidate,
    PromptNeed,
)
from baobabwharf_decisions.proxying.region_rest import (
    RegionRests,
    home_region,
    offers_of,
)
from baobabwharf_decisions.proxying.slot_queue import SlotQueue
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.plan import Plan

# Part of the time to the target that the prompts of others may fill; a less
# urgent request leaves the rest to more urgent ones.
URGENT_SHARE = 1.0
LESS_URGENT_SHARE = 0.9
# Reading so many shared tokens again takes longer than a round trip between
# regions costs.
SESSION_TOKENS = 3000
_RETRY_AFTER_MS = 300
_NO_ENDPOINT_RETRY_MS = 500
# An endpoint that leaves by then would cut the request.
_LEAVING_MARGIN_MS = 500
_DEFAULT_CACHE_TOKENS = 500_000
# Cold requests that are in flight arrive in another second than they left.
_COLD_RATE_SHARE = 1.2


class Place(msgspec.Struct, frozen=True):
    """Name the endpoint or, without one, the VM of another region."""

    address: str
    region: RegionId
    record: EndpointRecord | None = None
    vm_id: VmId | None = None


Placed = Result[Place, Refusal]


@final
class Placer:
    """Own the loads of endpoints as this VM sees them."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        book: EndpointBook,
        members: MembershipView,
        generator: random.Random,
    ) -> None:
        self._own = own
        self._clock = clock
        self._book = book
        self._members = members
        self._pace = ColdPace(own.vm_id)
        self._rests = RegionRests(generator)
        self._backlog = Backlog()
        self._queue = SlotQueue()
        self._loads: dict[EndpointId, tuple[int, EndpointLoad]] = {}
        self._evacuated: frozenset[ZoneId] = frozenset()
        # Slots of other regions by service, as their VMs published them.
        self.slots: dict[tuple[RegionId, ServiceId], int] = {}

    def evacuate(self, zones: Iterable[ZoneId], cold_ms: int) -> None:
        """Follow the evacuated zones; those taken back count as cold."""
        wanted = frozenset(zones)
        back = self._evacuated - wanted
        if back:
            self._book.chill(back, self._clock.now_ms() + cold_ms)
        self._evacuated = wanted

    def load(self, record: EndpointRecord, cache_tokens: int) -> EndpointLoad:
        """Return the load of an endpoint; a new incarnation starts anew."""
        known = self._loads.get(record.endpoint_id)
        if known is None or known[0] != record.incarnation:
            known = (record.incarnation, EndpointLoad(cache_tokens))
            self._loads[record.endpoint_id] = known
        return known[1]

    def own_shares(self) -> dict[EndpointId, LoadShare]:
        """Return what this VM has at each endpoint."""
        now_ms = self._clock.now_ms()
        return {
            endpoint_id: load.share(now_ms)
            for endpoint_id, (_incarnation, load) in self._loads.items()
        }

    def take_shares(
        self, vm_id: VmId, shares: Mapping[EndpointId, LoadShare]
    ) -> None:
        """Take what another VM of the region has at each endpoint."""
        now_ms = self._clock.now_ms()
        for endpoint_id, share in shares.items():
            entry = self._book.entries.get(endpoint_id)
            if entry is not None:
                load = self.load(entry.record, _DEFAULT_CACHE_TOKENS)
                load.note_share(vm_id, share, now_ms)

    def forget_silent(self, silent_ms: int) -> None:
        """Drop shares of silent VMs and loads of endpoints that are gone."""
        now_ms = self._clock.now_ms()
        for endpoint_id in tuple(self._loads):
            if endpoint_id in self._book.entries:
                load = self._loads[endpoint_id][1]
                load.forget_silent(silent_ms, now_ms)
            elif not self._loads[endpoint_id][1].running:
                self._loads.pop(endpoint_id)

    def own_slots(self) -> dict[ServiceId, int]:
        """Return the slots of the endpoints of this region in use."""
        slots: dict[ServiceId, int] = {}
        for entry in self._book.entries.values():
            record = entry.record
            if self._in_use(record):
                count = slots.get(record.service, 0) + record.slots
                slots[record.service] = count
        return slots

    def place(
        self,
        plan: Plan,
        service: DeployedService,
        excluded: frozenset[EndpointId],
        refused: frozenset[RegionId],
    ) -> Placed:
        """Return where the next attempt goes, or why it goes nowhere."""
        kept = self._session_region(plan, service, refused)
        if kept is not None:
            return Ok(kept)
        allowed = plan.allowed
        here = allowed is None or self._own.region in allowed
        candidates: list[Candidate] = []
        if here:
            candidates = self._candidates(plan, service, excluded)
            chosen = self._choose(plan, service, candidates)
            if chosen is not None:
                return Ok(self._at(chosen))
        if not plan.forwarded:
            away = self._away(plan, refused)
            if away is not None:
                return Ok(away)
        return Error(_refusal(candidates))

    def note_sent(self, record: EndpointRecord) -> None:
        """Count a request that leaves for an endpoint now."""
        now_ms = self._clock.now_ms()
        entry = self._book.entries.get(record.endpoint_id)
        if entry is not None and entry.cold_until_ms > now_ms:
            self._pace.note_sent(record.endpoint_id, now_ms)

    def note_region_refusal(self, plan: Plan, region: RegionId) -> None:
        """Let a region rest that refused a request."""
        self._rests.note_refusal(
            region,
            plan.facts.service,
            plan.facts.urgency,
            self._clock.now_ms(),
        )

    def _session_region(
        self,
        plan: Plan,
        service: DeployedService,
        refused: frozenset[RegionId],
    ) -> Place | None:
        """Return the region that has read a long shared prompt."""
        prompt = plan.facts.prompt
        shared = sum(part.tokens for part in prompt[:-1])
        first = not (plan.forwarded or refused or plan.sends.sent)
        if service.engine is None or shared < SESSION_TOKENS or not first:
            return None
        own = self._own.region
        slots = {
            region: count
            for (region, name), count in self.slots.items()
            if name == service.name and region != own
        }
        slots[own] = self.own_slots().get(service.name, 0)
        allowed = plan.allowed
        if allowed is not None:
            slots = {
                region: count
                for region, count in slots.items()
                if region in allowed
            }
        home = home_region(slots, prompt[-2].part_id)
        if home is None or home == own:
            return None
        others = frozenset(slots) - {home}
        return self._away(plan, others)

    def _away(self, plan: Plan, refused: frozenset[RegionId]) -> Place | None:
        vms: dict[RegionId, list[VmId]] = {}
        records: dict[VmId, VmRecord] = {}
        for vm in self._members.live_vms():
            if not vm.has_disk:
                vms.setdefault(vm.region, []).append(vm.vm_id)
                records[vm.vm_id] = vm
        offers = offers_of(
            self.slots,
            vms,
            plan.facts.service,
            plan.allowed,
            self._own.region,
            refused,
        )
        offer = self._rests.choose(
            offers, plan.facts.service, plan.facts.urgency, self._clock.now_ms()
        )
        if offer is None:
            return None
        return Place(
            records[offer.vm_id].forward_address,
            offer.region,
            vm_id=offer.vm_id,
        )

    def _at(self, chosen: Candidate) -> Place:
        record = self._book.entries[chosen.endpoint_id].record
        return Place(record.address, record.region, record)

    def _candidates(
        self,
        plan: Plan,
        service: DeployedService,
        excluded: frozenset[EndpointId],
    ) -> list[Candidate]:
        found = [
            self._candidate(entry, service)
            for entry in self._book.of_service(service.name)
            if self._usable(entry, service, plan)
            and entry.record.endpoint_id not in excluded
        ]
        sound = [one for one in found if not one.load.failing]
        # With half or more failing the fault is likely not the endpoints'.
        return sound if len(sound) * 2 >= len(found) else found

    def _candidate(
        self, entry: BookEntry, service: DeployedService
    ) -> Candidate:
        record = entry.record
        tokens = _DEFAULT_CACHE_TOKENS
        if service.engine is not None:
            tokens = service.engine.cache_tokens
        load = self.load(record, tokens)
        return Candidate(record.endpoint_id, load, record.slots)

    def _in_use(self, record: EndpointRecord) -> bool:
        return (
            record.region == self._own.region
            and not record.draining
            and record.zone not in self._evacuated
        )

    def _usable(
        self, entry: BookEntry, service: DeployedService, plan: Plan
    ) -> bool:
        record = entry.record
        if not self._in_use(record):
            return False
        now_ms = self._clock.now_ms()
        load = self._candidate(entry, service).load
        if load.rest_until_ms > now_ms:
            return False
        if entry.cold_until_ms <= now_ms or not service.cold_rate_per_s:
            return True
        return self._pace.may_send(
            record.endpoint_id,
            service.cold_rate_per_s * _COLD_RATE_SHARE,
            self._region_vms(),
            now_ms,
        )

    def _region_vms(self) -> list[VmId]:
        return [
            vm.vm_id
            for vm in self._members.live_vms()
            if vm.region == self._own.region and not vm.has_disk
        ]

    def _choose(
        self,
        plan: Plan,
        service: DeployedService,
        candidates: list[Candidate],
    ) -> Candidate | None:
        if service.engine is None:
            return self._queue.choose(candidates)
        urgent = plan.facts.urgency == 0
        now_ms = self._clock.now_ms()
        need = PromptNeed(
            plan.facts.prompt,
            plan.target_ms - now_ms,
            URGENT_SHARE if urgent else LESS_URGENT_SHARE,
            now_ms,
        )
        return self._backlog.choose(candidates, need)


def _refusal(candidates: list[Candidate]) -> Refusal:
    if candidates:
        return Refusal(RefusalCode.QUEUE_FULL, retry_after_ms=_RETRY_AFTER_MS)
    return Refusal(
        RefusalCode.NO_ENDPOINT, retry_after_ms=_NO_ENDPOINT_RETRY_MS
    )
