"""Define the settings file of a daemon and validate it."""

import enum
import ipaddress
import os
from pathlib import Path
from typing import Self

import pydantic
from expression import Error, Ok, Result

_MAX_PORT = 65535


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class LogFormat(enum.Enum):
    """Select how log lines are written."""

    TEXT = 'text'
    JSON = 'json'


class Listen(_Model):
    """Set the IP address and the ports on which a VM listens."""

    host: str = '127.0.0.1'
    caller_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    operator_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    peer_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    forward_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    # UDP; VMs of a region exchange the load of their running requests.
    load_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # HTTP; serves the metrics in addition to the caller listener.
    metrics_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; entry VMs exchange the tokens that customers have spent.
    meter_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; in a large fleet VMs exchange load and spending through relays.
    relay_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; VMs exchange evidence about prompts that crash endpoints.
    crash_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; VMs ask one VM of their region which engine takes a request.
    placement_port: int | None = pydantic.Field(
        default=None, ge=1, le=_MAX_PORT
    )

    @pydantic.field_validator('host')
    @classmethod
    def _check_host(cls, host: str) -> str:
        ipaddress.ip_address(host)
        return host

    @pydantic.model_validator(mode='after')
    def _check_ports(self) -> Self:
        if len(set(self.ports)) < len(self.ports):
            raise ValueError(
                'the caller, operator, peer and forward ports must differ'
            )
        return self

    @property
    def ports(self) -> tuple[int, int, int, int]:
        """Return the ports that every VM listens on."""
        return (
            self.caller_port,
            self.operator_port,
            self.peer_port,
            self.forward_port,
        )


class Peer(_Model):
    """Describe a seed VM that is contacted at start."""

    vm_id: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    peer_address: str
    forward_address: str
    caller_url: str
    has_disk: bool = False


class Tls(_Model):
    """Set the PEM files of the private CA and of this VM."""

    ca_file: Path
    certificate_file: Path
    key_file: Path

    @pydantic.field_validator('ca_file', 'certificate_file', 'key_file')
    @classmethod
    def _check_readable(cls, path: Path) -> Path:
        if not os.access(path, os.R_OK):
            raise ValueError('the file cannot be read')
        return path


class Log(_Model):
    """Set the level and format of the log."""

    level: str = pydantic.Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )
    format: LogFormat = LogFormat.TEXT


class Link(_Model):
    """Set the one-way delay in ms and the bandwidth in Mbit/s to a region."""

    region: str
    delay_ms: float = pydantic.Field(ge=0)
    bandwidth_mbit_s: float = pydantic.Field(gt=0)


class Settings(_Model):
    """Hold all settings of a daemon."""

    vm_id: str = pydantic.Field(min_length=1, max_length=64)
    region: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    listen: Listen
    data_folder: Path | None = None
    # Disk VMs that form the initial Raft group; the same list on every VM.
    # Empty on a VM that joins an existing fleet.
    initial_voters: tuple[str, ...] = ()
    peers: tuple[Peer, ...] = ()
    # Without a secret the network must block untrusted access to the ports.
    fleet_secret_file: Path | None = None
    operator_token_digests: tuple[str, ...] = ()
    tls: Tls | None = None
    # Without TLS the host must be a loopback address unless this is true.
    allow_plaintext_beyond_loopback: bool = False
    links: tuple[Link, ...] = ()
    # Addresses to connect to instead of those that VMs register, for VMs
    # behind NAT.
    address_overrides: dict[str, str] = {}
    drain_deadline_ms: int = pydantic.Field(default=30_000, ge=0)
    # Place and refuse requests by expected times and customers' shares, also
    # where endpoints do not report their present speed.
    overload_control: bool = False
    # Memory of the VM in MB, which bounds what callers make the process hold;
    # 256 if it is not set.
    memory_mb: int | None = pydantic.Field(default=None, ge=1)
    log: Log = Log()

    @pydantic.field_validator('fleet_secret_file')
    @classmethod
    def _check_secret(cls, path: Path | None) -> Path | None:
        if path is not None and not os.access(path, os.R_OK):
            raise ValueError('the file cannot be read')
        return path

    @pydantic.model_validator(mode='after')
    def _check_plaintext(self) -> Self:
        loopback = ipaddress.ip_address(self.listen.host).is_loopback
        if self.tls or loopback or self.allow_plaintext_beyond_loopback:
            return self
        raise ValueError(
            'without tls, listen.host must be a loopback address or '
            'allow_plaintext_beyond_loopback must be true'
        )

    @pydantic.model_validator(mode='after')
    def _check_protection(self) -> Self:
        if self.fleet_secret_file or self.allow_plaintext_beyond_loopback:
            return self
        raise ValueError('fleet_secret_file is missing')

    @pydantic.model_validator(mode='after')
    def _check_voter(self) -> Self:
        if self.vm_id in self.initial_voters and self.data_folder is None:
            raise ValueError('a VM in initial_voters needs a data_folder')
        return self

    @property
    def scheme(self) -> str:
        """Return the URL scheme of the HTTP listeners."""
        return 'https' if self.tls else 'http'

    @property
    def caller_url(self) -> str:
        """Return the URL of the caller listener."""
        return f'{self.scheme}://{self.listen.host}:{self.listen.caller_port}'

    @property
    def peer_address(self) -> str:
        """Return the address of the gRPC listener."""
        return f'{self.listen.host}:{self.listen.peer_port}'

    @property
    def forward_address(self) -> str:
        """Return the address of the forwarding listener."""
        return f'{self.listen.host}:{self.listen.forward_port}'


def load_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Load and validate a settings file; errors start with their JSON path."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Error((f'{path}: {error.strerror}',))
    try:
        return Ok(Settings.model_validate_json(text))
    except pydantic.ValidationError as error:
        return Error(tuple(_format_error(item) for item in error.errors()))


def _format_error(error: object) -> str:
    assert isinstance(error, dict)
    location = '.'.join(str(part) for part in error['loc'])
    return f'$.{location}: {error["msg"]}' if location else f'$: {error["msg"]}'
