"""Command line of the program `ibisplank-standin`."""

import click

from ibisplank.cli._options import (
    ProgramGroup,
    report_errors,
    version_option,
)
from ibisplank.errors import SettingError
from ibisplank.process import run_loop, split_address
from ibisplank.standin import serve_backends, serve_platform

EXAMPLE = """
\b
Examples:
  ibisplank-standin platform --listen 127.0.0.1:7000
  ibisplank-standin backend --ports 9001,9002 --slots 2
"""


@click.group(cls=ProgramGroup, epilog=EXAMPLE)
@version_option
def main() -> None:
    """Run stand-ins for the platform or for backend servers, with faults."""


@main.command()
@click.option('--listen', required=True, help='IP number and port.')
@report_errors
def platform(listen: str) -> None:
    """Serve a table, an object store and a VM list from memory."""
    host, port = split_address(listen, '--listen')
    run_loop(serve_platform, host, port)


@main.command()
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--ports', required=True, help='Ports, separated by commas.')
@click.option(
    '--slots',
    type=click.IntRange(min=1),
    default=2,
    show_default=True,
    help='Calls that one server handles concurrently.',
)
@click.option('--seed', type=int, default=1, show_default=True)
@report_errors
def backend(host: str, ports: str, slots: int, seed: int) -> None:
    """Serve one stand-in backend server on each port."""
    if not all(port.isdigit() for port in ports.split(',')):
        raise SettingError('--ports: give numbers joined by commas')
    numbers = [int(port) for port in ports.split(',')]
    run_loop(serve_backends, host, numbers, slots, seed)
