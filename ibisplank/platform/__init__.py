"""The users' platform: its settings file, store, formats and names."""

from ibisplank.platform._decode import decode_config, decode_row, encode_member
from ibisplank.platform._emulated import (
    FeedCall,
    ListCall,
    WriteCall,
    name_evacuation,
    parse_call,
    render_config,
    render_entry,
    render_gone,
    render_reading,
)
from ibisplank.platform._names import DIALECT
from ibisplank.platform._settings import (
    parse_settings,
    read_settings,
    render_settings,
)
from ibisplank.platform._store import HttpRows

__all__ = (
    'DIALECT',
    'FeedCall',
    'HttpRows',
    'ListCall',
    'WriteCall',
    'decode_config',
    'decode_row',
    'encode_member',
    'name_evacuation',
    'parse_call',
    'parse_settings',
    'read_settings',
    'render_config',
    'render_entry',
    'render_gone',
    'render_reading',
    'render_settings',
)
