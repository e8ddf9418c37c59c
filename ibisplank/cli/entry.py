"""Command line of the program `ibisplank-entry`."""

import click

from ibisplank.cli._options import DaemonOptions, Program, add_daemon_options
from ibisplank.process import (
    DEFAULT_BODY_LIMIT,
    Entry,
    EntrySettings,
    Policy,
    configure_logging,
    run_loop,
    split_address,
)

EXAMPLE = """
\b
Example:
  ibisplank-entry --vm vm-1 --zone zone-a --listen 127.0.0.1:8080
      --peer 127.0.0.1:8081 --platform 127.0.0.1:7000
"""


async def _run(settings: EntrySettings) -> None:
    await Entry(settings).run()


@click.command(cls=Program, epilog=EXAMPLE)
@click.option(
    '--listen',
    required=True,
    envvar='IBISPLANK_LISTEN',
    help='Address for callers: IP number and port.',
)
@click.option(
    '--peer',
    required=True,
    envvar='IBISPLANK_PEER',
    help='Address for peers and the agent: IP number and port.',
)
@click.option(
    '--body-limit',
    type=click.IntRange(min=0),
    default=DEFAULT_BODY_LIMIT,
    show_default=True,
    envvar='IBISPLANK_BODY_LIMIT',
    help='Largest request body in bytes.',
)
@click.option(
    '--policy',
    type=click.Choice([each.value for each in Policy]),
    default=Policy.SHARED.value,
    show_default=True,
    envvar='IBISPLANK_POLICY',
    help='How backend servers are chosen; all but "shared" are baselines '
    'for benchmarks.',
)
@add_daemon_options
def main(
    options: DaemonOptions,
    listen: str,
    peer: str,
    body_limit: int,
    policy: str,
) -> None:
    """Serve callers, and share slots of backend servers with other entries."""
    split_address(listen, '--listen')
    split_address(peer, '--peer')
    settings = EntrySettings(
        location=options.location,
        listen=listen,
        peer=peer,
        platform=options.platform,
        body_limit=body_limit,
        policy=Policy(policy),
        tls=options.tls,
    )
    configure_logging(options.log_format, 'entry')
    run_loop(_run, settings)
