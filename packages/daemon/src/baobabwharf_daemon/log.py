"""Set up logging with the name of the component before each message."""

import json
import logging
import sys
from collections.abc import MutableMapping
from typing import Any, final

from baobabwharf_daemon.settings import Log, LogFormat

_ROOT = 'baobabwharf'


@final
class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line = {
            'time': self.formatTime(record),
            'level': record.levelname,
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line)


@final
class PrefixLogger(logging.LoggerAdapter[logging.Logger]):
    """Prefix each message with the name of the component."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the message with its prefix."""
        assert self.extra is not None
        return f'{self.extra["component"]}: {msg}', kwargs


def get_logger(component: str) -> PrefixLogger:
    """Return the logger of a component."""
    return PrefixLogger(
        logging.getLogger(f'{_ROOT}.{component}'), {'component': component}
    )


def set_up_logging(settings: Log) -> None:
    """Write the log lines of all components to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.format is LogFormat.JSON:
        handler.setFormatter(_JsonFormatter())
    else:
        pattern = '%(asctime)s %(levelname)s %(message)s'
        handler.setFormatter(logging.Formatter(pattern))
    root = logging.getLogger(_ROOT)
    root.handlers = [handler]
    root.propagate = False
    root.setLevel(settings.level)
