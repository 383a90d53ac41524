"""Steps that test the codec of messages between VMs."""

import json
import zlib

import msgspec
from baobabwharf_core.codec import encode
from baobabwharf_core.deployment import Deployment
from baobabwharf_daemon import rpc
from behave import then
from behave.runner import Context
from proxying import route


class CodecSubject:
    """Hold a large message and its encoding."""

    def __init__(self, count: int) -> None:
        self.codec = rpc.MessageCodec()
        routes = tuple(route(f'/prefix-{n}/') for n in range(count))
        document = json.dumps(
            [{'name': r.name, 'prefix': r.path_prefix} for r in routes]
        )
        self.message = Deployment(4, routes, document=document.encode())
        self.encoded = self.codec.encode(self.message, Deployment)

    def is_refused(self, data: bytes) -> bool:
        try:
            self.codec.decode(data, Deployment)
        except msgspec.DecodeError:
            return True
        return False


@then(
    'a deployment of {count:d} routes is encoded to under a fifth of its size'
)
def compresses_deployment(context: Context, count: int) -> None:
    context.codec = CodecSubject(count)
    plain = len(encode(context.codec.message))
    assert len(context.codec.encoded) * 5 < plain, plain


@then('it comes back unchanged')
def round_trip_is_equal(context: Context) -> None:
    subject = context.codec
    decoded = subject.codec.decode(subject.encoded, Deployment)
    assert decoded == subject.message


@then('truncated, corrupted and oversized messages raise a decode error')
def invalid_messages_refused(context: Context) -> None:
    subject = CodecSubject(400)
    oversized = zlib.compress(bytes(rpc.MAX_RECORD_BYTES + 1))
    for data in (
        b'',
        b'\x01',
        subject.encoded[:-9],
        b'\x01' + b'x' * 40,
        b'\x01' + oversized,
        b'\x00' + b'\xc1',
    ):
        assert subject.is_refused(data), data[:20]
