"""Command line of the program `ibisplank-load`."""

from typing import BinaryIO, TextIO

import click
import msgspec

from ibisplank.cli._options import (
    ProgramGroup,
    report_errors,
    version_option,
)
from ibisplank.load import Report, drive, merge_reports, parse_plan
from ibisplank.platform import HEADER_NAMES
from ibisplank.process import run_loop

EXAMPLE = """
\b
Examples:
  ibisplank-load run plan.toml
  ibisplank-load --output json run plan.toml > first.json
  ibisplank-load merge first.json second.json
"""


@click.group(cls=ProgramGroup, epilog=EXAMPLE)
@click.option(
    '--output',
    type=click.Choice(['text', 'json']),
    default='text',
    show_default=True,
)
@version_option
@click.pass_context
def main(context: click.Context, output: str) -> None:
    """Send calls at a given rate and mix, and report their outcomes."""
    context.obj = output


@main.command()
@click.argument('plan', type=click.File())
@click.option(
    '--gateway',
    is_flag=True,
    help='Send the headers that a gateway expects, not those of a cell.',
)
@click.pass_obj
@report_errors
def run(output: str, plan: TextIO, *, gateway: bool) -> None:
    """Run a load plan and print its report."""
    header_names = HEADER_NAMES if gateway else None
    _show(output, run_loop(drive, parse_plan(plan.read()), header_names))


@main.command()
@click.argument('reports', type=click.File('rb'), nargs=-1, required=True)
@click.pass_obj
@report_errors
def merge(output: str, reports: tuple[BinaryIO, ...]) -> None:
    """Merge the JSON reports of concurrent runs."""
    decoded = [
        msgspec.json.decode(report.read(), type=Report) for report in reports
    ]
    _show(output, merge_reports(decoded))


def _show(output: str, report: Report) -> None:
    if output == 'json':
        click.echo(msgspec.json.encode(report))
        return
    click.echo(report.render())
