"""Structured logs by `loguru`: a line for each change of state."""

import sys
import time
from enum import Enum

from loguru import logger

from ibisplank.process.daemons._logbuffer import LogBuffer


class LogFormat(Enum):
    """How log lines are written."""

    TEXT = 'text'
    JSON = 'json'


def configure_buffered_logging(program: str) -> LogBuffer:
    """Send log lines as JSON to standard output, and return what waits.

    The caller runs the lines' own task, and flushes them at its end.
    """
    lines = LogBuffer(sys.stdout.fileno(), time.monotonic)
    logger.remove()
    logger.configure(extra={'program': program})
    logger.add(lines.add, format='{message}', level='INFO')
    return lines


def configure_logging(log_format: LogFormat, program: str) -> None:
    """Send log lines to standard error.

    Parameters
    ----------
    program : str
        Name that each line carries.
    """
    logger.remove()
    logger.configure(extra={'program': program})
    if log_format is LogFormat.JSON:
        logger.add(sys.stderr, serialize=True, level='INFO')
        return
    line = '{time:HH:mm:ss.SSS} {level: <7} {extra[program]} {message}'
    logger.add(sys.stderr, format=line, level='INFO')
