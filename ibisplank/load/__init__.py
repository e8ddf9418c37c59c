"""Load generator: sends calls at a given rate and mix, and reports outcomes."""

from ibisplank.load._driver import drive
from ibisplank.load._plan import Plan, Stream, parse_plan
from ibisplank.load._report import Report, Row, Tally, merge_reports

__all__ = (
    'Plan',
    'Report',
    'Row',
    'Stream',
    'Tally',
    'drive',
    'merge_reports',
    'parse_plan',
)
