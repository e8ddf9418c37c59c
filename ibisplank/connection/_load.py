"""Load report that a backend server sends in an HTTP header."""

from dataclasses import dataclass

from ibisplank.figures import MAX_SLOTS, parse_decimal
from ibisplank.ids import StartId

LOAD_HEADER = b'ibisplank-load'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load and state that a backend server reports of itself.

    Attributes
    ----------
    start : StartId
        Identifies this run of the server; empty if not reported.
    load : float
        Share of its capacity in use.
    leaving : bool
        Whether it accepts no new work.
    """

    start: StartId = StartId('')
    load: float = 0.0
    leaving: bool = False


def parse_load(text: str) -> LoadReport:
    """Parse the content of the header; malformed fields get their defaults.

    >>> parse_load('start=a1; load=0.5; leaving=1')
    LoadReport(start='a1', load=0.5, leaving=True)
    >>> parse_load('nonsense')
    LoadReport(start='', load=0.0, leaving=False)
    """
    fields = {}
    for part in text.split(';'):
        name, _, value = part.strip().partition('=')
        fields[name] = value
    load = parse_decimal(fields.get('load', '').encode(), MAX_SLOTS)
    return LoadReport(
        StartId(fields.get('start', '')),
        load or 0.0,
        fields.get('leaving') == '1',
    )


def format_load(report: LoadReport) -> str:
    """Return a report as the content of the header.

    >>> format_load(LoadReport(StartId('a1'), 0.5))
    'start=a1; load=0.500; leaving=0'
    """
    leaving = int(report.leaving)
    return f'start={report.start}; load={report.load:.3f}; leaving={leaving}'
