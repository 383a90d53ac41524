"""Say why a change can't be applied, or replace tables."""

from typing import Any

import msgspec
from baobabwharf_core.changes import ChangeCode
from baobabwharf_core.model import FleetConfig
from expression import Error, Ok, Result


class ChangeFault(msgspec.Struct, frozen=True):
    """Say why a change can't be applied."""

    code: ChangeCode
    sentence: str


Applied = Result[FleetConfig, ChangeFault]


def fault(code: ChangeCode, sentence: str) -> Applied:
    """Refuse a change."""
    return Error(ChangeFault(code, sentence))


def missing(kind: str, name: str) -> Applied:
    """Refuse a change of something that is not there."""
    return fault(ChangeCode.NOT_FOUND, f'There is no {kind} {name}.')


def present(kind: str, name: str) -> Applied:
    """Refuse to add something twice."""
    return fault(ChangeCode.ALREADY_EXISTS, f'The {kind} {name} exists.')


def invalid(sentence: str) -> Applied:
    """Refuse a change that makes no sense."""
    return fault(ChangeCode.INVALID, sentence)


def replace_tables(config: FleetConfig, **tables: Any) -> Applied:
    """Return the configuration with some tables replaced."""
    return Ok(msgspec.structs.replace(config, **tables))
