"""Define the exit codes, which are part of the public interface."""

import enum

from baobabwharf_core.changes import ChangeCode


class ExitCode(enum.IntEnum):
    """Tell a script how a command ended."""

    DONE = 0
    # A defect of the program.
    INTERNAL = 1
    # The command line, the file or the change is not valid.
    INVALID = 2
    # Another change came first, or the name or request id is taken.
    CONFLICT = 3
    NOT_FOUND = 4
    # The change was surely not made; sending it again is safe.
    NOT_ACCEPTED = 5
    # The change may have been made; send it again with its request id.
    UNKNOWN = 6
    # No VM could be reached; nothing was sent.
    UNREACHABLE = 7
    # The operator token is missing or wrong.
    UNAUTHORIZED = 8


EXIT_OF_CHANGE = {
    ChangeCode.ACCEPTED: ExitCode.DONE,
    ChangeCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ChangeCode.ALREADY_EXISTS: ExitCode.CONFLICT,
    ChangeCode.REQUEST_ID_REUSED: ExitCode.CONFLICT,
    ChangeCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ChangeCode.INVALID: ExitCode.INVALID,
    ChangeCode.NOT_ACCEPTED: ExitCode.NOT_ACCEPTED,
    ChangeCode.UNKNOWN: ExitCode.UNKNOWN,
}

EXPLANATION = """Exit codes:
  0  done
  1  defect of the program
  2  command line, file or change not valid
  3  revision conflict, or the name or request id is taken
  4  not found
  5  not accepted: surely not made, sending again is safe
  6  unknown: may have been made, send again with the same --request-id
  7  no VM could be reached, nothing was sent
  8  operator token missing or wrong
"""
