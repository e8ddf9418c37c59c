"""Configuration of `loguru` for the programs."""

import sys
import time
from enum import Enum

from loguru import logger

from ibisplank.process.daemons._logbuffer import LogBuffer


class LogFormat(Enum):
    """Format of log lines on standard error."""

    TEXT = 'text'
    JSON = 'json'


def configure_buffered_logging(program: str) -> LogBuffer:
    """Send log lines as JSON to standard output through a buffer.

    Returns the buffer. The caller runs its task and flushes it at the end.
    """
    buffer = LogBuffer(sys.stdout.fileno(), time.monotonic)
    logger.remove()
    logger.configure(extra={'program': program})
    logger.add(buffer.add, format='{message}', level='INFO')
    return buffer


def configure_logging(log_format: LogFormat, program: str) -> None:
    """Send log lines to standard error.

    Parameters
    ----------
    program : str
        Program name that is included in each line.
    """
    logger.remove()
    logger.configure(extra={'program': program})
    if log_format is LogFormat.JSON:
        logger.add(sys.stderr, serialize=True, level='INFO')
        return
    line = '{time:HH:mm:ss.SSS} {level: <7} {extra[program]} {message}'
    logger.add(sys.stderr, format=line, level='INFO')
