"""Deterministic settings of hypothesis, and a fixture for a running cell."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from bench.common import make_simple_contract
from bench.common import write_contract as put_contract
from harness.cell import Cell, ServiceShape
from harness.processes import wait_for
from tests.callers import SERVICE, call

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('fixed')


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[Cell]:
    shape = ServiceShape(SERVICE, servers=3, slots=2)
    zones = ('zone-a', 'zone-b', 'zone-c')
    with Cell(zones, (shape,), entries=3, log=tmp_path / 'log') as started:
        put_contract(started, make_simple_contract(SERVICE))
        started.wait_ready()
        wait_for(lambda: call(started.members[0].listen).status == 200)
        yield started
