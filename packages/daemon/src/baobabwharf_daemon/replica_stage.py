"""Remember how far a replica has come."""

import enum
from pathlib import Path

from baobabwharf_core.codec import decode, encode, frame, read_frame
from expression import Error, Ok, Result

from baobabwharf_daemon.durable_files import make_folder, replace_file

_NAME = 'stage'


class Stage(enum.Enum):
    """Tell how far a replica has come.

    PREPARED: it will vote once all other first voters are prepared.
    ACTIVE: it is or was a member, and its files must be complete.
    LOST: its files were lost or damaged; it waits to be added as a learner.
    """

    BLANK = 'blank'
    PREPARED = 'prepared'
    ACTIVE = 'active'
    LOST = 'lost'


def read_stage(folder: Path) -> Result[Stage, str]:
    """Return the stage; an unreadable stage is a fault."""
    path = folder / _NAME
    if not path.exists():
        return Ok(Stage.BLANK)
    content = read_frame(path.read_bytes(), 0)
    if content.is_error():
        return Error(f'{path} is damaged: {content.error.sentence}')
    return Ok(decode(content.ok.payload, Stage))


def write_stage(folder: Path, stage: Stage) -> None:
    """Record the stage durably; raise OSError when that fails."""
    make_folder(folder)
    replace_file(folder / _NAME, frame(encode(stage)))
