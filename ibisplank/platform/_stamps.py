"""What the writers of rows state about the order of their states."""

import re

import msgspec

from ibisplank.errors import UndecodableRow
from ibisplank.figures import Counter
from ibisplank.platform._fields import DECODE_ERRORS
from ibisplank.platform._names import CONFIG_KEY
from ibisplank.store import Topic

_VERSION = re.compile('r([0-9]{1,18})')


class ConfigStampBody(msgspec.Struct, rename='camel'):
    """The part of the config that orders its states."""

    config_version: str


class ServerStampBody(msgspec.Struct):
    """The part of a row in table `servers` that orders its states."""

    # Start time of the server in milliseconds.
    born: Counter = 0
    # Number of the server's reports since its start.
    sequence: Counter = 0


def find_stamp(topic: Topic, key: str, content: bytes) -> tuple[int, int]:
    """Return what the writer of a row states about its order, or zeros."""
    try:
        match topic:
            case Topic.OPERATOR if key == CONFIG_KEY:
                config = msgspec.json.decode(content, type=ConfigStampBody)
                return parse_version(config.config_version), 0
            case Topic.SERVERS:
                server = msgspec.json.decode(content, type=ServerStampBody)
                return server.born, server.sequence
    except DECODE_ERRORS:
        # A row that is deleted or can't be decoded states no order.
        return 0, 0
    return 0, 0


def parse_version(text: str) -> int:
    """Return the number of a config version.

    Raises
    ------
    UndecodableRow
        The text is no version.
    """
    found = _VERSION.fullmatch(text)
    if found is None:
        raise UndecodableRow(
            'configVersion', f'expected "r" and a number, got {text!r}'
        )
    return int(found.group(1))
