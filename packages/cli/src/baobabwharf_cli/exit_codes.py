"""Exit codes; they are part of the public interface."""

import enum

from baobabwharf_core.changes import ChangeCode


class ExitCode(enum.IntEnum):
    """Name the exit codes of the commands."""

    DONE = 0
    # The program has a defect.
    INTERNAL = 1
    # The command line, the file or the change is not valid.
    INVALID = 2
    # The revision has changed, or the name or request id is already in use.
    CONFLICT = 3
    NOT_FOUND = 4
    # The change was definitely not applied; it is safe to resend it.
    NOT_ACCEPTED = 5
    # The change may have been applied; resend it with the same request id.
    UNKNOWN = 6
    # No VM could be reached; nothing was sent.
    UNREACHABLE = 7
    # The operator token is missing or wrong.
    UNAUTHORIZED = 8


EXIT_CODE_BY_CHANGE_CODE = {
    ChangeCode.ACCEPTED: ExitCode.DONE,
    ChangeCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ChangeCode.ALREADY_EXISTS: ExitCode.CONFLICT,
    ChangeCode.REQUEST_ID_REUSED: ExitCode.CONFLICT,
    ChangeCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ChangeCode.INVALID: ExitCode.INVALID,
    ChangeCode.NOT_ACCEPTED: ExitCode.NOT_ACCEPTED,
    ChangeCode.UNKNOWN: ExitCode.UNKNOWN,
}

EXIT_CODES_HELP = """Exit codes:
  0  done
  1  internal error
  2  command line, file or change not valid
  3  revision conflict, or the name or request id is already in use
  4  not found
  5  not accepted: definitely not applied, safe to resend
  6  unknown: may have been applied, resend with the same --request-id
  7  no VM could be reached, nothing was sent
  8  operator token missing or wrong
"""
