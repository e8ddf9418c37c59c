"""Command line of the program `ibisplank-agent`."""

import click

from ibisplank.cli._options import DaemonOptions, Program, add_daemon_options
from ibisplank.process import (
    Agent,
    AgentSettings,
    configure_logging,
    run_loop,
    split_address,
)

EXAMPLE = """
\b
Example:
  ibisplank-agent --vm vm-1 --zone zone-a --entry 127.0.0.1:8081
      --peer 127.0.0.1:8082 --platform 127.0.0.1:7000
      --seed 127.0.0.2:8082
"""


async def _run(settings: AgentSettings) -> None:
    await Agent(settings).run()


@click.command(cls=Program, epilog=EXAMPLE)
@click.option(
    '--entry',
    required=True,
    envvar='IBISPLANK_ENTRY',
    help='Peer address of the entry that this agent serves.',
)
@click.option(
    '--peer',
    required=True,
    envvar='IBISPLANK_AGENT_PEER',
    help='Address for other agents: IP number and port.',
)
@click.option(
    '--seed',
    'seeds',
    multiple=True,
    envvar='IBISPLANK_SEEDS',
    help='Address of another agent, used at start if the table is down.',
)
@add_daemon_options
def main(
    options: DaemonOptions,
    entry: str,
    peer: str,
    seeds: tuple[str, ...],
) -> None:
    """Supply an entry with configuration, roster and dispatch rights."""
    split_address(entry, '--entry')
    split_address(peer, '--peer')
    for seed in seeds:
        split_address(seed, '--seed')
    settings = AgentSettings(
        location=options.location,
        entry=entry,
        peer=peer,
        platform=options.platform,
        seeds=seeds,
        tls=options.tls,
    )
    configure_logging(options.log_format, 'agent')
    run_loop(_run, settings)
