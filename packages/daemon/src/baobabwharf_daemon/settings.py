"""Check the settings file of a daemon as a whole."""

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
    """Choose how log lines are written."""

    TEXT = 'text'
    JSON = 'json'


class Listen(_Model):
    """Name the IP address and the four ports of a VM."""

    host: str = '127.0.0.1'
    caller_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    operator_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    peer_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    forward_port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    # UDP; VMs of a region tell each other there what they have running.
    load_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # HTTP; serves the metrics, besides the caller listener.
    metrics_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; entry VMs tell each other there what customers have spent.
    meter_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)
    # UDP; VMs of a large fleet tell relays there what others tell directly.
    relay_port: int | None = pydantic.Field(default=None, ge=1, le=_MAX_PORT)

    @pydantic.field_validator('host')
    @classmethod
    def _check_host(cls, host: str) -> str:
        ipaddress.ip_address(host)
        return host

    @pydantic.model_validator(mode='after')
    def _check_ports(self) -> Self:
        if len(set(self.ports)) < len(self.ports):
            raise ValueError('the four ports must differ')
        return self

    @property
    def ports(self) -> tuple[int, int, int, int]:
        """Return the ports of all listeners."""
        return (
            self.caller_port,
            self.operator_port,
            self.peer_port,
            self.forward_port,
        )


class Peer(_Model):
    """Name a VM that is contacted at start."""

    vm_id: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    peer_address: str
    forward_address: str
    caller_url: str
    has_disk: bool = False


class Tls(_Model):
    """Name the PEM files of the private authority and of this VM."""

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
    """Choose level and format of the log."""

    level: str = pydantic.Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )
    format: LogFormat = LogFormat.TEXT


class Link(_Model):
    """State delay in ms one way and bandwidth in Mbit/s to a region."""

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
    # Disk VMs that form the first Raft group; the same list on every VM.
    # Empty on a VM that joins a fleet that exists.
    initial_voters: tuple[str, ...] = ()
    peers: tuple[Peer, ...] = ()
    # Without a secret the network must keep strangers from the VM's ports.
    fleet_secret_file: Path | None = None
    operator_token_digests: tuple[str, ...] = ()
    tls: Tls | None = None
    # Without TLS only loopback is listened on unless this is true.
    allow_plaintext_beyond_loopback: bool = False
    links: tuple[Link, ...] = ()
    # Addresses to connect to in place of those that VMs register, for VMs
    # behind address translation.
    address_overrides: dict[str, str] = {}
    drain_deadline_ms: int = pydantic.Field(default=30_000, ge=0)
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
        """Return the URL at which callers reach this VM."""
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
    """Read and check a settings file; faults carry their JSON path."""
    try:
        text = path.read_bytes()
    except OSError as fault:
        return Error((f'{path}: {fault.strerror}',))
    try:
        return Ok(Settings.model_validate_json(text))
    except pydantic.ValidationError as fault:
        return Error(tuple(_describe(item) for item in fault.errors()))


def _describe(fault: object) -> str:
    assert isinstance(fault, dict)
    location = '.'.join(str(part) for part in fault['loc'])
    return f'$.{location}: {fault["msg"]}' if location else f'$: {fault["msg"]}'
