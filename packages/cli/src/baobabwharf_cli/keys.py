"""Commands that create, list and withdraw customer and endpoint keys."""

import hashlib
import secrets

from baobabwharf_core.changes import (
    Change,
    CreateEndpointKey,
    CreateKey,
    WithdrawEndpointKey,
    WithdrawKey,
)
from baobabwharf_core.fleet_config import (
    EndpointKeyRecord,
    FleetConfig,
    KeyRecord,
)
from baobabwharf_core.ids import CustomerId, KeyId, ServiceId
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
    read_file,
)
from baobabwharf_cli.exit_codes import ExitCode

_KeyRow = tuple[str, str, str, bool]

_KEY_BYTES = 32
_HEADERS = ['of', 'name', 'key_id', 'withdrawn']
_ID_BYTES = 6
_KEY_ID = argument('key', 'Id of the key.')
_CREATE_KEY_OPTIONS = [
    *CHANGE_OPTIONS,
    option('id', None, 'Id of the key; default random.', flag=False),
    option(
        'key-file',
        None,
        'File with the key, to resend a change whose outcome is unknown.',
        flag=False,
    ),
]


class _CreateAnyKeyCommand(ChangeCommand):
    """Generate a key locally; only its digest is sent to the fleet."""

    options = _CREATE_KEY_OPTIONS

    def perform(self) -> ExitCode:
        """Submit the digest and print the key, which is not shown again."""
        key = self._key()
        digest = hashlib.sha256(key.encode()).digest()
        key_id = KeyId(self.option('id') or f'k-{secrets.token_hex(_ID_BYTES)}')
        secrets_to_print = {'key_id': key_id, 'key': key}
        return self.submit(
            self.build_key_change(key_id, digest), secrets_to_print
        )

    def build_key_change(self, key_id: KeyId, digest: bytes) -> Change:
        """Return the change that records the digest."""
        raise NotImplementedError

    def _key(self) -> str:
        path = self.option('key-file')
        if path:
            return read_file(path).decode().strip()
        return secrets.token_urlsafe(_KEY_BYTES)


class CreateKeyCommand(_CreateAnyKeyCommand):
    """Create a key of a customer and print it once."""

    name = 'key create'
    description = 'Create a key of a customer and print it once.'
    arguments = [argument('customer', 'Id of the customer.')]

    def build_key_change(self, key_id: KeyId, digest: bytes) -> Change:
        """Return the change that records the digest."""
        customer_id = CustomerId(self.argument('customer'))
        return CreateKey(KeyRecord(key_id, customer_id, digest))


class CreateEndpointKeyCommand(_CreateAnyKeyCommand):
    """Create a key with which endpoints announce a service."""

    name = 'endpoint-key create'
    description = 'Create a key with which endpoints announce a service.'
    arguments = [argument('service', 'Name of the service.')]

    def build_key_change(self, key_id: KeyId, digest: bytes) -> Change:
        """Return the change that records the digest."""
        service = ServiceId(self.argument('service'))
        return CreateEndpointKey(EndpointKeyRecord(key_id, service, digest))


class WithdrawKeyCommand(ChangeCommand):
    """Withdraw a key permanently."""

    name = 'key withdraw'
    description = 'Withdraw a key permanently.'
    arguments = [_KEY_ID]

    def build_change(self) -> Change:
        """Return the change that withdraws the key."""
        return WithdrawKey(KeyId(self.argument('key')))


class WithdrawEndpointKeyCommand(ChangeCommand):
    """Withdraw an endpoint key permanently."""

    name = 'endpoint-key withdraw'
    description = 'Withdraw an endpoint key permanently.'
    arguments = [_KEY_ID]

    def build_change(self) -> Change:
        """Return the change that withdraws the key."""
        return WithdrawEndpointKey(KeyId(self.argument('key')))


class ListKeysCommand(OperatorCommand):
    """List the keys of all customers or endpoints without their digests."""

    name = 'key list'
    description = 'List the keys of customers and endpoints.'

    def perform(self) -> ExitCode:
        """Print all keys."""
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        keys = sorted(_key_rows(config_result.ok))
        document = [dict(zip(_HEADERS, key, strict=True)) for key in keys]
        rows = [
            [kind, name, key_id, 'yes' if withdrawn else 'no']
            for kind, name, key_id, withdrawn in keys
        ]
        return self.print_result(document, _HEADERS, rows)


def _key_rows(config: FleetConfig) -> list[_KeyRow]:
    keys: list[_KeyRow] = [
        ('customer', key.customer_id, key.key_id, key.withdrawn)
        for key in config.keys.values()
    ]
    keys.extend(
        ('service', key.service, key.key_id, key.withdrawn)
        for key in config.endpoint_keys.values()
    )
    return keys
