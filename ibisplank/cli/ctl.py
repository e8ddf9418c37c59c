"""Command line of the program `ibisplankctl`."""

import click
import msgspec

from ibisplank.cli._contract import contract
from ibisplank.cli._options import (
    ProgramGroup,
    cell_option,
    report_errors,
    version_option,
)
from ibisplank.cli._service_state import vm, zone
from ibisplank.cli._session import JSON, TEXT, Session, pass_session
from ibisplank.ids import CellId, VmId, ZoneId
from ibisplank.porcelain import Console
from ibisplank.version import Roster

EXAMPLE = """
\b
Examples:
  ibisplankctl contract check catalogos.toml
  ibisplankctl --platform 127.0.0.1:7000 contract put catalogos.toml
  ibisplankctl --platform 127.0.0.1:7000 zone out zone-a
  ibisplankctl --platform 127.0.0.1:7000 --output json status
"""


class Status(msgspec.Struct, frozen=True):
    """State of a cell as stored in the table."""

    revision: int
    contracts: int
    zones_out: list[ZoneId]
    vms_out: list[VmId]
    roster: Roster

    def render(self) -> str:
        """Return the state as plain text."""
        lines = [
            f'revision  {self.revision}',
            f'epoch     {self.roster.epoch}',
            f'contracts {self.contracts}',
            f'zones out {", ".join(self.zones_out) or "none"}',
            f'vms out   {", ".join(self.vms_out) or "none"}',
        ]
        for member in self.roster.members:
            lines.append(f'member    {member.member} in {member.zone}')
        return '\n'.join(lines)


@click.group(cls=ProgramGroup, epilog=EXAMPLE)
@click.option(
    '--platform',
    envvar='IBISPLANK_PLATFORM',
    help="Address of the platform's table and object store.",
)
@cell_option
@click.option(
    '--output',
    type=click.Choice([TEXT, JSON]),
    default=TEXT,
    show_default=True,
    envvar='IBISPLANK_OUTPUT',
)
@version_option
@click.pass_context
def main(
    context: click.Context,
    platform: str | None,
    cell: str,
    output: str,
) -> None:
    """Edit contracts; take availability zones and VMs in and out of service."""
    context.obj = Session(platform, CellId(cell), output)


main.add_command(contract)
main.add_command(zone)
main.add_command(vm)


@main.command()
@pass_session
@report_errors
def status(session: Session) -> None:
    """Print the revision, the roster, and what is out of service."""
    result = session.run(_read_status)
    session.show(result, result.render())


async def _read_status(console: Console) -> Status:
    config = await console.read_config()
    return Status(
        config.revision,
        len(config.contracts),
        sorted(config.zones_out),
        sorted(config.vms_out),
        await console.read_roster(),
    )
