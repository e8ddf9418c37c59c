"""Stand-ins, with faults, for the platform and for backend servers."""

from ibisplank.standin._backend import (
    BackendCounters,
    BackendFaults,
    BackendStandin,
)
from ibisplank.standin._doubleanswers import (
    DoubleAnswers,
    OwnAnswer,
    SecondMoment,
)
from ibisplank.standin._platform import (
    PlatformCounters,
    PlatformFaults,
    PlatformStandin,
)
from ibisplank.standin._runner import serve_backends, serve_platform
from ibisplank.standin._store import StoreFault, StoreStandin
from ibisplank.standin._upstream import (
    UpstreamFaults,
    UpstreamStandin,
    WhenFull,
)

__all__ = (
    'BackendCounters',
    'BackendFaults',
    'BackendStandin',
    'DoubleAnswers',
    'OwnAnswer',
    'PlatformCounters',
    'PlatformFaults',
    'PlatformStandin',
    'SecondMoment',
    'StoreStandin',
    'StoreFault',
    'UpstreamFaults',
    'UpstreamStandin',
    'WhenFull',
    'serve_backends',
    'serve_platform',
)
