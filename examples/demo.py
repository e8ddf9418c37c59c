"""Demo of a cell with two customers, under load and with a printed report."""

import sys
import tempfile
from pathlib import Path

import anyio

from harness.cell import Cell, ServiceShape
from ibisplank.load import Plan, Stream, drive

HERE = Path(__file__).parent
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICES = (
    ServiceShape('entry-lookups', 3, 2),
    ServiceShape('press-commitments', 3, 2),
    ServiceShape('historic-archive', 3, 2),
    ServiceShape('ring-sheets', 3, 2),
    ServiceShape('availability', 3, 3),
    ServiceShape('reservations', 3, 3),
    ServiceShape('route-maps', 3, 3),
    ServiceShape('emergency-access', 3, 3),
)
#: Customer, class, service, method, and weight of a call in the report.
CLASSES = (
    ('catalogos', 'lookup', 'entry-lookups', 'GET', 1.0),
    ('catalogos', 'commit', 'press-commitments', 'POST', 20.0),
    ('catalogos', 'archive', 'historic-archive', 'GET', 0.5),
    ('catalogos', 'sheet', 'ring-sheets', 'GET', 2.0),
    ('qanawat', 'check', 'availability', 'GET', 2.0),
    ('qanawat', 'reserve', 'reservations', 'POST', 10.0),
    ('qanawat', 'map', 'route-maps', 'GET', 1.0),
    ('qanawat', 'emergency', 'emergency-access', 'GET', 20.0),
)


def make_plan(cell: Cell) -> Plan:
    """Return a plan with calls of every class."""
    streams = [
        Stream(
            customer=customer,
            klass=klass,
            path=f'/{service}/items/1',
            key=f'{customer}-demo-key',
            method=method,
            rate_per_s=20,
            body_bytes=64 if method == 'POST' else 0,
            request_ids=method == 'POST',
            weight=weight,
        )
        for customer, klass, service, method, weight in CLASSES
    ]
    targets = [member.listen for member in cell.members]
    return Plan(targets=targets, streams=streams, duration_s=5)


def main() -> int:
    """Run the demo; return the exit code."""
    log = Path(tempfile.gettempdir()) / 'ibisplank-demo.log'
    log.unlink(missing_ok=True)
    with Cell(ZONES, SERVICES, entries=3, log=log) as cell:
        for name in ('catalogos', 'qanawat'):
            cell.ctl('contract', 'put', str(HERE / f'{name}.toml'))
        cell.wait_ready()
        cell.wait_in_force()
        print(cell.ctl('status'))
        report = anyio.run(drive, make_plan(cell))
    print(report.render())
    answered = all(row.answered for row in report.rows)
    print('every class was answered' if answered else 'a class had no answer')
    return 0 if answered else 1


if __name__ == '__main__':
    sys.exit(main())
