"""Store the start-up stage of a replica on disk."""

import enum
from pathlib import Path

import msgspec
from baobabwharf_core.codec import decode, encode, encode_frame, read_frame
from expression import Error, Ok, Result

from baobabwharf_daemon.durable_files import make_folder, replace_file

_FILE_NAME = 'stage'


class Stage(enum.Enum):
    """List the start-up stages of a replica.

    BLANK: nothing has been stored yet.
    PREPARED: it will vote once all other initial voters are prepared.
    ACTIVE: it is or was a member, and its files must be complete.
    LOST: its files were lost or damaged; it waits to be added as a learner.
    """

    BLANK = 'blank'
    PREPARED = 'prepared'
    ACTIVE = 'active'
    LOST = 'lost'


def read_stage(folder: Path) -> Result[Stage, str]:
    """Return the stored stage, BLANK if there is none, or an error."""
    path = folder / _FILE_NAME
    if not path.exists():
        return Ok(Stage.BLANK)
    content = read_frame(path.read_bytes(), 0)
    if content.is_error():
        return Error(f'{path} is damaged: {content.error.message}')
    try:
        return Ok(decode(content.ok.payload, Stage))
    except msgspec.DecodeError as error:
        return Error(f'{path} can not be decoded: {error}')


def write_stage(folder: Path, stage: Stage) -> None:
    """Store the stage durably; raise OSError on failure."""
    make_folder(folder)
    replace_file(folder / _FILE_NAME, encode_frame(encode(stage)))
