"""Estimate a region at its entry VM, with and without residency."""

import random

from baobabwharf_core.announcements import Announcement, Heartbeat, LoadReport
from baobabwharf_core.ids import (
    CustomerId,
    EndpointId,
    Incarnation,
    RegionId,
    RequestId,
    ServiceId,
    WorkClass,
    ZoneId,
)
from baobabwharf_core.requests import RequestAttributes
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.routing import LocalEstimate
from behave import given, then, when
from behave.runner import Context

_HOME = RegionId('tunis-a')
_OTHER = RegionId('sfax-a')
_SERVICE = ServiceId('rota-app')
_ENDPOINT = EndpointId('rota-app-1')
_NOW_MS = 1000


class RegionEstimateSubject:
    """Hold the dispatcher of an entry VM with one endpoint."""

    def __init__(self) -> None:
        directory = EndpointDirectory(random.Random(1))
        incarnation = Incarnation(1)
        directory.announce(
            Announcement(
                _ENDPOINT,
                _SERVICE,
                _HOME,
                ZoneId('a'),
                'http://127.0.0.1:1',
                incarnation,
            ),
            _NOW_MS,
        )
        directory.heartbeat(
            Heartbeat(_ENDPOINT, incarnation, 1, LoadReport(0, 0)), _NOW_MS
        )
        self.dispatcher = Dispatcher(_HOME, directory, random.Random(1))

    def estimate(self, *residency: RegionId) -> LocalEstimate:
        attributes = RequestAttributes(
            request_id=RequestId('r1'),
            customer_id=CustomerId('c1'),
            service=_SERVICE,
            work_class=WorkClass('interactive'),
            residency=residency,
            deadline_ms=5000,
            first_token_ms=1000,
        )
        return self.dispatcher.local_estimate(attributes, _NOW_MS)


@given('an entry VM with a free endpoint in its region')
def entry_vm(context: Context) -> None:
    context.subject = RegionEstimateSubject()


@when('the region is estimated for a customer bound to another region')
def estimate_bound(context: Context) -> None:
    context.estimate = context.subject.estimate(_OTHER)


@then('the estimate offers no endpoint')
def offers_none(context: Context) -> None:
    assert not context.estimate.serves


@then('the estimate offers the endpoint to a customer without residency')
def offers_endpoint(context: Context) -> None:
    assert context.subject.estimate().serves
