"""Commands that write and read contracts."""

from typing import TextIO

import click

from ibisplank.cli._options import report_errors
from ibisplank.cli._session import (
    Session,
    describe_change,
    pass_session,
    replaces_option,
)
from ibisplank.ids import CustomerId
from ibisplank.porcelain import Console
from ibisplank.version import digest_key, parse_contract


@click.group()
def contract() -> None:
    """Write and read contracts."""


@contract.command('check')
@click.argument('source', type=click.File())
@pass_session
@report_errors
def check_contract(session: Session, source: TextIO) -> None:
    """Check a contract without writing it."""
    checked = parse_contract(source.read())
    session.show(checked, f'contract of {checked.customer} is in order')


@contract.command('put')
@click.argument('source', type=click.File())
@replaces_option
@pass_session
@report_errors
def put_contract(
    session: Session,
    source: TextIO,
    replaces: int | None,
) -> None:
    """Write a contract."""
    document = source.read()
    parse_contract(document)
    session.show_change(
        session.run(lambda console: console.put_contract(document, replaces)),
    )


@contract.command('get')
@click.argument('customer')
@pass_session
@report_errors
def get_contract(session: Session, customer: str) -> None:
    """Print a contract, and its revision for use with --replaces."""
    revision, edit = session.run(
        lambda console: console.read_contract(CustomerId(customer)),
    )
    session.show(edit, f'# revision {revision}\n{edit.document}')


@contract.command('list')
@pass_session
@report_errors
def list_contracts(session: Session) -> None:
    """Print the names of all customers that have contracts."""
    state = session.run(Console.read_config)
    session.show(sorted(state.contracts), '\n'.join(sorted(state.contracts)))


@contract.command('history')
@pass_session
@report_errors
def show_history(session: Session) -> None:
    """Print all changes to the configuration with their authors."""
    changes = session.run(Console.read_history)
    session.show(changes, '\n'.join(describe_change(each) for each in changes))


@contract.command('digest')
@click.argument('key')
@pass_session
def show_digest(session: Session, key: str) -> None:
    """Print the digest of a caller's key, to be listed in a contract."""
    session.show(digest_key(key), digest_key(key))
