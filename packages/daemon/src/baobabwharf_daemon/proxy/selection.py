"""Define what the selection of a destination takes and returns."""

import abc

import msgspec
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.ids import EndpointId, RegionId, VmId
from baobabwharf_core.refusals import Refusal
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord
from baobabwharf_decisions.proxying.expected_time import Expectation
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementProgress,
)
from baobabwharf_decisions.proxying.routes import RouteTable
from expression import Result

from baobabwharf_daemon.proxy.request_plan import RequestPlan


class GrantId(msgspec.Struct, frozen=True):
    """Identify a grant and the VM that keeps it."""

    placing_vm: VmId
    number: int


class AttemptTarget(msgspec.Struct, frozen=True):
    """Describe an endpoint or, if record is None, a VM of another region.

    expectation is set where the endpoint was chosen by its expected time.
    """

    address: str
    region: RegionId
    record: EndpointRecord | None = None
    vm_id: VmId | None = None
    expectation: Expectation | None = None
    # Set if the placing VM of the region granted the endpoint.
    grant: GrantId | None = None


class Exclusions(msgspec.Struct, frozen=True):
    """Hold the endpoints and regions that a request was already sent to."""

    endpoints: frozenset[EndpointId] = frozenset()
    regions: frozenset[RegionId] = frozenset()


Selection = Result[AttemptTarget, Refusal]


class PlacementReports(abc.ABC):
    """Receive how granted requests go on."""

    @abc.abstractmethod
    def report(self, placing_vm: VmId, progress: PlacementProgress) -> None:
        """Pass a report to the VM that granted the endpoint."""


class AdaptiveSelection(abc.ABC):
    """Select destinations for services that call for overload control."""

    @property
    @abc.abstractmethod
    def reports(self) -> PlacementReports:
        """Return where the progress of granted requests is reported."""

    @abc.abstractmethod
    def configure(self, table: RouteTable) -> None:
        """Apply the engine settings of a deployment."""

    @abc.abstractmethod
    def applies_to(self, service: DeployedService) -> bool:
        """Return whether requests for a service are placed here."""

    @abc.abstractmethod
    async def select(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> Selection:
        """Return the destination of the next attempt, or a refusal."""
