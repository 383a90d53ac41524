"""Run the operator command line against a fake operator server."""

import base64
import contextlib
import hashlib
import http.server
import io
import ipaddress
import json
import os
import shlex
import stat
import threading
from pathlib import Path

from baobabwharf_cli.main import run
from baobabwharf_testkit.ports import free_port
from behave import given, then, when
from behave.runner import Context
from cryptography import x509


class FakeOperatorServer:
    """Give the same response to each change and record the requests."""

    def __init__(
        self, status: int, code: str, broken_connections: int = 0
    ) -> None:
        self.status = status
        self.code = code
        self.broken_connections = broken_connections
        self.received: list[bytes] = []
        fake = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                fake.respond(self)

            def log_message(self, *arguments) -> None:
                """Suppress access log lines in the test output."""

        self.server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self.url = f'http://127.0.0.1:{self.server.server_address[1]}'
        threading.Thread(
            target=self.server.serve_forever,
            kwargs={'poll_interval': 0.01},
        ).start()

    def respond(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        length = int(handler.headers['Content-Length'])
        body = handler.rfile.read(length)
        self.received.append(body)
        if len(self.received) <= self.broken_connections:
            handler.connection.close()
            return
        outcome = {
            'request_id': json.loads(body)['request_id'],
            'code': self.code,
            'revision': 3,
        }
        content = json.dumps(outcome).encode()
        handler.send_response(self.status)
        handler.send_header('Content-Length', str(len(content)))
        handler.end_headers()
        handler.wfile.write(content)

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class CommandLineSubject:
    """Run the program and capture its exit code and output."""

    def __init__(self, urls: list[str], folder: Path) -> None:
        self.urls = urls
        self.folder = folder
        self.code = -1
        self.output = ''

    def run(self, arguments: list[str]) -> None:
        stdout = io.StringIO()
        environment = {
            'BAOBABWHARF_URL': ','.join(self.urls),
            'BAOBABWHARF_TOKEN': 'token',
        }
        os.environ.update(environment)
        with (
            contextlib.chdir(self.folder),
            contextlib.redirect_stdout(stdout),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            self.code = run(arguments)
        self.output = stdout.getvalue()


def _start_server(
    context: Context, status: int, code: str, broken_connections: int
) -> None:
    context.operator_server = FakeOperatorServer(
        status, code, broken_connections
    )
    context.add_cleanup(context.operator_server.close)
    urls = [context.operator_server.url, context.operator_server.url]
    context.command = CommandLineSubject(urls, context.path)


@given(
    'a fake operator server that answers status {status:d} with code {code:w}'
)
def fixed_response(context: Context, status: int, code: str) -> None:
    _start_server(context, status, code, broken_connections=0)


@given('a fake operator server that breaks its first connection')
def breaks_first_connection(context: Context) -> None:
    _start_server(context, 200, 'accepted', broken_connections=1)


@given('no fake operator server listens')
def no_server(context: Context) -> None:
    urls = [f'http://127.0.0.1:{free_port()}']
    context.command = CommandLineSubject(urls, context.path)


@when('the operator runs "{line}"')
def operator_runs(context: Context, line: str) -> None:
    context.command.run(shlex.split(line))


@then('the command line ends with code {code:d}')
def ends_with_code(context: Context, code: int) -> None:
    assert context.command.code == code, context.command.code


@then('the fake operator server received {count:d} calls')
def received_calls(context: Context, count: int) -> None:
    assert len(context.operator_server.received) == count


@then('the fake operator server received {count:d} calls with one request id')
def one_request_id(context: Context, count: int) -> None:
    received = [json.loads(body) for body in context.operator_server.received]
    assert len(received) == count
    assert len({body['request_id'] for body in received}) == 1


@then('the command line prints a key whose digest was sent')
def key_printed(context: Context) -> None:
    key = json.loads(context.command.output)['key']
    sent = json.loads(context.operator_server.received[0])['change']['key']
    digest = hashlib.sha256(key.encode()).digest()
    assert base64.b64decode(sent['digest']) == digest


@then('the fake operator server did not receive the key')
def key_not_received(context: Context) -> None:
    key = json.loads(context.command.output)['key']
    assert len(key) >= 32
    assert all(
        key.encode() not in body for body in context.operator_server.received
    )


@then(
    'the fake operator server received request id "{request_id}" '
    'at revision {revision:d}'
)
def received_as_given(context: Context, request_id: str, revision: int) -> None:
    body = json.loads(context.operator_server.received[0])
    assert (body['request_id'], body['expected_revision']) == (
        request_id,
        revision,
    )


@when('the operator makes certificates for "{first}" and "{second}"')
def make_certificates(context: Context, first: str, second: str) -> None:
    context.addresses = {'vm1': first, 'vm2': second}
    context.command = CommandLineSubject([], context.path)
    vms = [
        f'--vm={name}={address}' for name, address in context.addresses.items()
    ]
    context.command.run(['tls', 'tls', *vms])
    assert context.command.code == 0


@then('the certificates are signed by the authority and name their addresses')
def certificates_match_addresses(context: Context) -> None:
    folder = context.path / 'tls'
    authority = _load(folder / 'ca.pem')
    for name, address in context.addresses.items():
        certificate = _load(folder / f'{name}.pem')
        certificate.verify_directly_issued_by(authority)
        names = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        ).value
        addresses = names.get_values_for_type(x509.IPAddress)
        assert addresses == [ipaddress.ip_address(address)]


@then('only the owner can read the private keys of the certificates')
def keys_readable_by_owner_only(context: Context) -> None:
    for name in ('ca-key.pem', 'vm1-key.pem', 'vm2-key.pem'):
        mode = (context.path / 'tls' / name).stat().st_mode
        assert stat.S_IMODE(mode) == 0o600


def _load(path: Path) -> x509.Certificate:
    return x509.load_pem_x509_certificate(path.read_bytes())
