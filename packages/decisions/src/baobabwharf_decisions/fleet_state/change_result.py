"""Build the results of configuration changes."""

from typing import Any

import msgspec
from baobabwharf_core.changes import ChangeCode
from baobabwharf_core.fleet_config import FleetConfig
from expression import Error, Ok, Result


class ChangeError(msgspec.Struct, frozen=True):
    """Describe why a change was rejected."""

    code: ChangeCode
    message: str


ChangeResult = Result[FleetConfig, ChangeError]


def reject(code: ChangeCode, message: str) -> ChangeResult:
    """Reject a change."""
    return Error(ChangeError(code, message))


def not_found(kind: str, name: str) -> ChangeResult:
    """Reject a change of something that does not exist."""
    return reject(ChangeCode.NOT_FOUND, f'There is no {kind} {name}.')


def already_exists(kind: str, name: str) -> ChangeResult:
    """Reject a change that would have no effect."""
    return reject(ChangeCode.ALREADY_EXISTS, f'The {kind} {name} exists.')


def invalid(message: str) -> ChangeResult:
    """Reject a change with invalid contents."""
    return reject(ChangeCode.INVALID, message)


def replace_tables(config: FleetConfig, **tables: Any) -> ChangeResult:
    """Accept a change: return the configuration with some tables replaced."""
    return Ok(msgspec.structs.replace(config, **tables))
