"""Commands that take availability zones and VMs out of service and back in."""

import click

from ibisplank.cli._options import report_errors
from ibisplank.cli._session import Session, pass_session, replaces_option
from ibisplank.ids import VmId, ZoneId
from ibisplank.porcelain import Console
from ibisplank.version import VmStatusEdit, ZoneStatusEdit


@click.group()
def zone() -> None:
    """Take availability zones out of service and back in."""


@click.group()
def vm() -> None:
    """Take VMs out of service and back in."""


@zone.command('out')
@click.argument('name')
@replaces_option
@pass_session
@report_errors
def take_zone_out(session: Session, name: str, replaces: int | None) -> None:
    """Take an availability zone out of service: it gets no new calls."""
    _set_service_state(
        session, ZoneStatusEdit(ZoneId(name), out=True), replaces
    )


@zone.command('in')
@click.argument('name')
@replaces_option
@pass_session
@report_errors
def bring_zone_in(session: Session, name: str, replaces: int | None) -> None:
    """Take an availability zone back into service, starting cold."""
    _set_service_state(
        session, ZoneStatusEdit(ZoneId(name), out=False), replaces
    )


@zone.command('list')
@pass_session
@report_errors
def list_zones(session: Session) -> None:
    """Print the availability zones that are out of service."""
    out = sorted(session.run(Console.read_config).zones_out)
    session.show(out, '\n'.join(out))


@vm.command('out')
@click.argument('name')
@replaces_option
@pass_session
@report_errors
def take_vm_out(session: Session, name: str, replaces: int | None) -> None:
    """Take a VM out of service: it gets no new calls."""
    _set_service_state(session, VmStatusEdit(VmId(name), out=True), replaces)


@vm.command('in')
@click.argument('name')
@replaces_option
@pass_session
@report_errors
def bring_vm_in(session: Session, name: str, replaces: int | None) -> None:
    """Take a VM back into service, starting cold."""
    _set_service_state(session, VmStatusEdit(VmId(name), out=False), replaces)


@vm.command('list')
@pass_session
@report_errors
def list_vms(session: Session) -> None:
    """Print the VMs that are out of service."""
    out = sorted(session.run(Console.read_config).vms_out)
    session.show(out, '\n'.join(out))


def _set_service_state(
    session: Session,
    edit: ZoneStatusEdit | VmStatusEdit,
    replaces: int | None,
) -> None:
    session.show_change(
        session.run(lambda console: console.set_service_state(edit, replaces))
    )
