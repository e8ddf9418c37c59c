"""Adapter to the users' platform: settings file, store, formats and names."""

from ibisplank.platform._client import HttpRowStore
from ibisplank.platform._names import HEADER_NAMES
from ibisplank.platform._rows import decode_config, decode_row, encode_member
from ibisplank.platform._settings import (
    encode_settings,
    parse_settings,
    read_settings,
)
from ibisplank.platform._standin import (
    FeedRequest,
    ListRequest,
    WriteRequest,
    encode_config,
    encode_era,
    encode_history_gone,
    encode_server,
    encode_table_update,
    make_evacuation_key,
    parse_request,
)

__all__ = (
    'HEADER_NAMES',
    'FeedRequest',
    'HttpRowStore',
    'ListRequest',
    'WriteRequest',
    'decode_config',
    'decode_row',
    'encode_member',
    'make_evacuation_key',
    'parse_request',
    'parse_settings',
    'read_settings',
    'encode_config',
    'encode_era',
    'encode_server',
    'encode_history_gone',
    'encode_table_update',
    'encode_settings',
)
