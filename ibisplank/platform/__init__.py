"""The users' platform: its settings file, store, formats and names."""

from ibisplank.platform._decode import decode_config, decode_row, encode_member
from ibisplank.platform._names import DIALECT
from ibisplank.platform._settings import parse_settings, read_settings
from ibisplank.platform._store import HttpRows

__all__ = (
    'DIALECT',
    'HttpRows',
    'decode_config',
    'decode_row',
    'encode_member',
    'parse_settings',
    'read_settings',
)
