"""Helpers of the benchmarks: load processes, processor time, contracts."""

import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from harness.cell import Cell, EntryProcesses
from ibisplank.load import Plan, Report, Stream, merge_reports
from ibisplank.standin import BackendCounters, BackendFaults, PlatformCounters
from ibisplank.version import Server, digest_key

RESULTS_DIR = Path(__file__).parent.parent / 'docs' / 'measurements'
KEY = 'bench-key'
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True)
class LoadProcess:
    """A load process and its plan file."""

    process: subprocess.Popen[bytes]
    plan_path: Path


def run_load(plans: Sequence[Plan]) -> Report:
    """Run plans concurrently, one process each, and merge their reports."""
    loads = [start_load(plan) for plan in plans]
    return merge_reports([finish_load(load) for load in loads])


def start_load(plan: Plan) -> LoadProcess:
    """Start a load process."""
    with tempfile.NamedTemporaryFile(suffix='.toml', delete=False) as source:
        source.write(msgspec.toml.encode(plan))
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'harness.program',
            'load',
            '--output',
            'json',
            'run',
            source.name,
        ],
        stdout=subprocess.PIPE,
    )
    return LoadProcess(process, Path(source.name))


def finish_load(load: LoadProcess) -> Report:
    """Wait for a load process and return its report."""
    out, _ = load.process.communicate()
    load.plan_path.unlink()
    if load.process.returncode:
        raise RuntimeError('ibisplank-load failed')
    return msgspec.json.decode(out, type=Report)


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def sum_cpu_s(members: Sequence[EntryProcesses]) -> float:
    """Return the processor time of all entries so far, in seconds."""
    return sum(read_cpu_s(member.entry.pid) for member in members)


def write_contract(cell: Cell, document: str) -> None:
    """Write a contract with `ibisplankctl`."""
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as source:
        source.write(document)
        source.flush()
        cell.ctl('contract', 'put', source.name)


def make_simple_contract(
    service: str,
    customer: str = 'bench',
    key: str = KEY,
) -> str:
    """Return a contract whose limits are too high to matter."""
    return f"""
customer = "{customer}"
rate_per_s = 100000.0
in_flight = 5000
key_digests = ["{digest_key(key)}"]
[services.{service}]
probe_share = 0.0
[[services.{service}.classes]]
name = "read"
method = "GET"
path = "/"
idempotent = true
deadline_ms = 5000
[[services.{service}.classes]]
name = "write"
method = "POST"
path = "/"
deadline_ms = 5000
"""


def make_simple_stream(
    service: str,
    klass: str,
    rate_per_s: float,
    customer: str = 'bench',
    key: str = KEY,
    **options: Any,
) -> Stream:
    """Return a stream of calls of one class of the simple contract."""
    return Stream(
        customer=customer,
        klass=klass,
        path=f'/{service}/x',
        key=key,
        method='GET' if klass == 'read' else 'POST',
        rate_per_s=rate_per_s,
        **options,
    )


def read_operations(cell: Cell) -> tuple[int, int]:
    """Return the numbers of reads and writes that the platform received."""
    body = cell.get(cell.platform, '/counters') or b'{}'
    counters = msgspec.json.decode(body, type=PlatformCounters)
    return counters.reads + counters.lists, counters.writes


class StealMeter:
    """Measures the share of processor time stolen by other virtual machines."""

    def __init__(self) -> None:
        self._before = _read_steal()

    def read(self) -> float:
        """Return the share since this object was made, from 0 to 1."""
        stolen, total = _read_steal()
        return (stolen - self._before[0]) / max(1, total - self._before[1])


def _read_steal() -> tuple[int, int]:
    fields = Path('/proc/stat').read_text().splitlines()[0].split()[1:9]
    return int(fields[7]), sum(map(int, fields))


def save(name: str, text: str) -> None:
    """Save a result in the directory of measurements."""
    RESULTS_DIR.mkdir(parents=True, exist_ok=True)
    (RESULTS_DIR / name).write_text(text)


def set_faults(cell: Cell, server: Server, **changes: object) -> None:
    """Change the given faults of one stand-in backend server."""
    body = cell.get(server.address, '/standin/faults') or b'{}'
    faults = msgspec.json.decode(body, type=BackendFaults)
    for name, setting in changes.items():
        setattr(faults, name, setting)
    cell.put(server.address, '/standin/faults', faults)


def read_counters(cell: Cell, server: Server) -> BackendCounters:
    """Return the counters of one stand-in backend server."""
    body = cell.get(server.address, '/standin/counters') or b'{}'
    return msgspec.json.decode(body, type=BackendCounters)
