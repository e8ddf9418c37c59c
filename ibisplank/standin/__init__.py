"""Stand-ins for the platform and for backend servers."""

from ibisplank.standin._backend import (
    BackendCounters,
    BackendFaults,
    BackendStandin,
)
from ibisplank.standin._platform import Counters, Faults, PlatformStandin
from ibisplank.standin._rows import RowsStandin, StoreFault
from ibisplank.standin._serve import serve_backends, serve_platform
from ibisplank.standin._upstream import UpstreamFaults, UpstreamStandin

__all__ = (
    'BackendCounters',
    'BackendFaults',
    'BackendStandin',
    'Counters',
    'Faults',
    'PlatformStandin',
    'RowsStandin',
    'StoreFault',
    'UpstreamFaults',
    'UpstreamStandin',
    'serve_backends',
    'serve_platform',
)
