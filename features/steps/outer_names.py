"""Compare what leaves the process with what earlier versions wrote."""

import enum
import itertools
import json
import types
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from baobabwharf_core import announcements, changes, fleet_config, refusals
from baobabwharf_core.codec import decode, encode, encode_each
from baobabwharf_daemon import (
    document_messages,
    endpoint_registry,
    fleet_status,
    metrics,
    replica_files,
    replica_messages,
    replica_stage,
)
from baobabwharf_daemon.gateway import calls
from baobabwharf_daemon.proxy import (
    crash_watch,
    endpoint_messages,
    endpoint_store,
    load_exchange,
    relay_exchange,
    request_plan,
)
from baobabwharf_decisions import summaries
from baobabwharf_decisions.consensus import messages as consensus_messages
from baobabwharf_decisions.fleet_state import commands, state_machine
from baobabwharf_decisions.limits import messages as limits_messages
from baobabwharf_decisions.limits import spending
from baobabwharf_decisions.membership import messages as membership_messages
from baobabwharf_decisions.proxying import endpoint_table
from behave import given, then, when
from behave.runner import Context

_DATA = Path(__file__).parents[1] / 'data'
# The labels are those of the recorded encodings, whatever a class is called.
_RECORDS: dict[str, Any] = {
    'announcement': announcements.Announcement,
    'announcement lease': announcements.LeaseAnswer,
    'heartbeat of an endpoint': announcements.Heartbeat,
    'configuration': fleet_config.FleetConfig,
    'change outcome': changes.ChangeOutcome,
    'refusal': refusals.Refusal,
    'forwarded call': calls.Call,
    'document request': document_messages.DocumentRequest,
    'document reply': document_messages.DocumentReply,
    'revision report request': fleet_status.ReportRequest,
    'revision report': fleet_status.RevisionReport,
    'registry sync request': endpoint_registry.SyncRequest,
    'registry sync reply': endpoint_registry.SyncReply,
    'log batch': replica_files._Batch,
    'replica stage': replica_stage.Stage,
    'consensus delivery': replica_messages.Delivery,
    'join request': replica_messages.JoinRequest,
    'join reply': replica_messages.JoinReply,
    'replica status': replica_messages.ReplicaStatus,
    'status request': replica_messages.StatusRequest,
    'proposal': replica_messages.ProposeRequest,
    'proposal reply': replica_messages.ProposeReply,
    'outcome request': replica_messages.OutcomeRequest,
    'outcome reply': replica_messages.OutcomeReply,
    'watch request': replica_messages.WatchRequest,
    'watch reply': replica_messages.WatchReply,
    'fetch reply': replica_messages.FetchReply,
    'endpoint fetch': endpoint_messages.EndpointFetchRequest,
    'endpoint push': endpoint_messages.EndpointPush,
    'endpoint push reply': endpoint_messages.EndpointPushReply,
    'stored endpoints': endpoint_store._Stored,
    'crash evidence': crash_watch.CrashDatagram,
    'load report': load_exchange.LoadReport,
    'relay call': relay_exchange.RelayCall,
    'relay answer': relay_exchange.RelayAnswer,
    'relay totals': relay_exchange.RelayTotals,
    'forwarded request': request_plan.ForwardMetadata,
    'spending': spending.Spending,
    'region summary': summaries.RegionSummary,
    'snapshot': consensus_messages.Snapshot,
    'hard state': consensus_messages.HardState,
    'command': commands.Command,
    'fleet snapshot': state_machine.FleetSnapshot,
    'borrow request': limits_messages.BorrowRequest,
    'borrow reply': limits_messages.BorrowReply,
    'return request': limits_messages.ReturnRequest,
    'membership exchange': membership_messages.Exchange,
    'membership exchange reply': membership_messages.ExchangeReply,
    'piggyback': membership_messages.Piggyback,
}
_RAW_ITEMS: dict[Any, dict[str, Any]] = {
    endpoint_messages.EndpointPush: {
        'records': endpoint_table.EndpointRecord,
        'renewals': endpoint_messages.Renewal,
        'departures': endpoint_messages.Departure,
    },
    endpoint_store._Stored: {'records': endpoint_table.EndpointRecord},
    endpoint_registry.SyncRequest: {
        'announcements': endpoint_registry.AgedAnnouncement,
        'beats': endpoint_registry.AgedHeartbeat,
    },
    endpoint_registry.SyncReply: {
        'announcements': endpoint_registry.AgedAnnouncement,
        'beats': endpoint_registry.AgedHeartbeat,
    },
}
_TAGGED: dict[str, Any] = {
    'change': changes.Change,
    'operation': commands.Operation,
    'answer': commands.Answer,
    'consensus message': consensus_messages.Message,
    'watch item': replica_messages.WatchItem,
}


class SampleMaker:
    """Fill a record with values that follow from its types alone."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def make(self, kind: Any) -> Any:
        """Return a value of a type."""
        kind = getattr(kind, '__supertype__', kind)
        origin = typing.get_origin(kind)
        if origin is not None:
            return self._make_generic(kind, origin)
        if issubclass(kind, enum.Enum):
            return list(kind)[-1]
        if issubclass(kind, msgspec.Struct):
            return self._make_struct(kind)
        number = next(self._numbers)
        return {
            str: f'text-{number}',
            bytes: f'bytes-{number}'.encode(),
            bool: True,
            int: number,
            float: number + 0.5,
            types.NoneType: None,
        }[kind]

    def _make_struct(self, kind: Any) -> Any:
        # Items that are decoded one by one are declared as raw content.
        raw_items = _RAW_ITEMS.get(kind, {})
        return kind(
            **{
                field.name: encode_each((self.make(raw_items[field.name]),))
                if field.name in raw_items
                else self.make(field.type)
                for field in msgspec.structs.fields(kind)
            }
        )

    def _make_generic(self, kind: Any, origin: Any) -> Any:
        arguments = typing.get_args(kind)
        if origin is typing.Annotated:
            return self.make(arguments[0])
        if origin in {typing.Union, types.UnionType}:
            return self.make(arguments[0])
        if issubclass(origin, typing.Mapping):
            return {self.make(arguments[0]): self.make(arguments[1])}
        if origin is tuple and arguments[-1] is not Ellipsis:
            return tuple(self.make(argument) for argument in arguments)
        holder = origin if origin in {tuple, list, frozenset, set} else tuple
        return holder([self.make(arguments[0])])


def _kinds() -> Iterator[tuple[str, Any]]:
    yield from _RECORDS.items()
    for label, union in _TAGGED.items():
        for number, kind in enumerate(typing.get_args(union), 1):
            yield f'{label} {number}', kind


def _recorded(name: str) -> dict[str, bytes]:
    content = json.loads((_DATA / name).read_text())
    return {label: bytes.fromhex(text) for label, text in content.items()}


@given('a sample of each message and stored record')
def make_samples(context: Context) -> None:
    context.encoded = {
        label: encode(SampleMaker().make(kind)) for label, kind in _kinds()
    }


@then('its encoding is the one recorded in "{name}"')
def same_encoding(context: Context, name: str) -> None:
    recorded = _recorded(name)
    assert recorded.keys() == context.encoded.keys()
    for label, content in context.encoded.items():
        assert content == recorded[label], (label, content, recorded[label])


@given('the encodings recorded in "{name}"')
def read_recorded(context: Context, name: str) -> None:
    context.recorded = _recorded(name)


@when('each one is decoded and encoded again')
def decode_recorded(context: Context) -> None:
    context.again = {
        label: encode(decode(context.recorded[label], kind))
        for label, kind in _kinds()
    }


@then('the bytes are the same')
def same_bytes(context: Context) -> None:
    assert context.again.keys() == context.recorded.keys()
    for label, content in context.again.items():
        assert content == context.recorded[label], (label, content)


def _lacks(earlier: Any, now: Any) -> bool:
    """Return whether decoded content misses some of an earlier version's."""
    if isinstance(earlier, dict):
        return any(
            key not in now or _lacks(content, now[key])
            for key, content in earlier.items()
        )
    if isinstance(earlier, list):
        pairs = zip(earlier, now, strict=True)
        return any(_lacks(*pair) for pair in pairs)
    return earlier != now


@then('nothing of messages recorded in "{name}" is lost by new fields')
def earlier_messages(context: Context, name: str) -> None:
    recorded = _recorded(name)
    kinds = dict(_kinds())
    assert recorded
    for label, content in recorded.items():
        again = encode(decode(content, kinds[label]))
        plain = [msgspec.msgpack.decode(each) for each in (content, again)]
        assert not _lacks(*plain), (label, plain)
        for field, kind in _RAW_ITEMS.get(kinds[label], {}).items():
            for item in plain[0].get(field, ()):
                _check_item(item, kind)


def _check_item(item: dict[str, Any], kind: Any) -> None:
    """Check that nothing of an item is lost that is decoded by itself."""
    # The recorded text is no address.
    sound = {**item, 'address': '10.0.0.1:80'} if 'address' in item else item
    again = encode(decode(encode(sound), kind))
    assert not _lacks(sound, msgspec.msgpack.decode(again)), item


@then('the daemon has the metrics')
def has_metrics(context: Context) -> None:
    expected = {row['name'] for row in context.table}
    found = {collector.name for collector in metrics.REGISTRY.get_all()}
    assert found == expected, found
