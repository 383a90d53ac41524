"""Say why a change can't be applied, or replace tables."""

from typing import Any

import msgspec
from baobabwharf_core.changes import ChangeCode
from baobabwharf_core.model import FleetConfig
from expression import Error, Ok, Result


class ChangeError(msgspec.Struct, frozen=True):
    """Say why a change can't be applied."""

    code: ChangeCode
    sentence: str


ChangeResult = Result[FleetConfig, ChangeError]


def reject(code: ChangeCode, sentence: str) -> ChangeResult:
    """Refuse a change."""
    return Error(ChangeError(code, sentence))


def not_found(kind: str, name: str) -> ChangeResult:
    """Refuse a change of something that is not there."""
    return reject(ChangeCode.NOT_FOUND, f'There is no {kind} {name}.')


def already_exists(kind: str, name: str) -> ChangeResult:
    """Refuse to add something twice."""
    return reject(ChangeCode.ALREADY_EXISTS, f'The {kind} {name} exists.')


def invalid(sentence: str) -> ChangeResult:
    """Refuse a change that makes no sense."""
    return reject(ChangeCode.INVALID, sentence)


def replace_tables(config: FleetConfig, **tables: Any) -> ChangeResult:
    """Return the configuration with some tables replaced."""
    return Ok(msgspec.structs.replace(config, **tables))
