"""The load report that a backend server sends with answers and to probes."""

from dataclasses import dataclass

from ibisplank.ids import StartId

LOAD_HEADER = b'ibisplank-load'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says of itself.

    Attributes
    ----------
    start : StartId
        Names this run of the server, empty where it names none.
    load : float
        Share of its capacity that is taken.
    leaving : bool
        Whether it takes no new work.
    """

    start: StartId = StartId('')
    load: float = 0.0
    leaving: bool = False


def parse_load(text: str) -> LoadReport:
    """Return the report in a header; what it can't read counts as unsaid.

    >>> parse_load('start=a1; load=0.5; leaving=1')
    LoadReport(start='a1', load=0.5, leaving=True)
    >>> parse_load('nonsense')
    LoadReport(start='', load=0.0, leaving=False)
    """
    fields = {}
    for part in text.split(';'):
        name, _, value = part.strip().partition('=')
        fields[name] = value
    try:
        load = float(fields.get('load', '0'))
    except ValueError:
        load = 0.0
    return LoadReport(
        StartId(fields.get('start', '')),
        max(0.0, load),
        fields.get('leaving') == '1',
    )


def format_load(report: LoadReport) -> str:
    """Return a report as a header.

    >>> format_load(LoadReport(StartId('a1'), 0.5))
    'start=a1; load=0.500; leaving=0'
    """
    leaving = int(report.leaving)
    return f'start={report.start}; load={report.load:.3f}; leaving={leaving}'
