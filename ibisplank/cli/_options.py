"""Command-line options and error handling that the programs share."""

import functools
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, ParamSpec

import click

from ibisplank import __version__
from ibisplank.connection import TlsFiles
from ibisplank.errors import IbisplankError, SettingError
from ibisplank.ids import CellId, VmId, ZoneId
from ibisplank.process import Location, LogFormat, split_address

USAGE_EXIT_CODE = 2
FAILURE_EXIT_CODE = 1
Params = ParamSpec('Params')
Command = Callable[Params, None]


@dataclass(frozen=True)
class DaemonOptions:
    """Validated values of the options that all daemons have."""

    location: Location
    platform: str
    tls: TlsFiles | None
    log_format: LogFormat


class OneLineErrorCommand(click.Command):
    """Command that reports a usage error in one line."""

    def main(self, *args: Any, **kwargs: Any) -> Any:
        """Run the command; exit with code 2 on a usage error."""
        try:
            return super().main(*args, **{**kwargs, 'standalone_mode': False})
        except click.UsageError as error:
            click.echo(
                f'error: {error.format_message()} (see --help)', err=True
            )
            sys.exit(USAGE_EXIT_CODE)
        except click.ClickException as error:
            click.echo(f'error: {error.format_message()}', err=True)
            sys.exit(USAGE_EXIT_CODE)
        except click.Abort:
            sys.exit(FAILURE_EXIT_CODE)


class Program(OneLineErrorCommand):
    """A program without subcommands."""


class ProgramGroup(OneLineErrorCommand, click.Group):
    """A program with subcommands."""


version_option = click.version_option(__version__)
platform_option = click.option(
    '--platform',
    required=True,
    envvar='IBISPLANK_PLATFORM',
    help="Address of the platform's table and object store.",
)
cell_option = click.option(
    '--cell',
    default='main',
    show_default=True,
    envvar='IBISPLANK_CELL',
    help='Cell that this process belongs to.',
)
log_option = click.option(
    '--log-format',
    type=click.Choice([each.value for each in LogFormat]),
    default=LogFormat.TEXT.value,
    show_default=True,
    envvar='IBISPLANK_LOG_FORMAT',
    help='Format of log lines.',
)


def add_location_options(command: Command[Params]) -> Command[Params]:
    """Add the options for the cell, VM and availability zone of a daemon."""
    for option in (
        cell_option,
        click.option(
            '--vm',
            required=True,
            envvar='IBISPLANK_VM',
            help='Name of this VM.',
        ),
        click.option(
            '--zone',
            required=True,
            envvar='IBISPLANK_ZONE',
            help='Availability zone of this VM.',
        ),
    ):
        command = option(command)
    return command


def add_tls_options(command: Command[Params]) -> Command[Params]:
    """Add the options for the TLS files of a daemon."""
    for name, description in (
        ('certificate', 'Certificate of this process'),
        ('key', 'Private key of this process'),
        ('root', 'Root certificate of the cell'),
    ):
        option = click.option(
            f'--tls-{name}',
            type=click.Path(exists=True, dir_okay=False),
            envvar=f'IBISPLANK_TLS_{name.upper()}',
            help=f'{description}, as a PEM file.',
        )
        command = option(command)
    return command


def make_tls(
    certificate: str | None,
    key: str | None,
    root: str | None,
) -> TlsFiles | None:
    """Return the TLS files, or None if no file is given.

    Raises
    ------
    SettingError
        Only some of the files are given.
    """
    if certificate and key and root:
        return TlsFiles(certificate, key, root)
    if certificate or key or root:
        raise SettingError(
            'tls: give --tls-certificate, --tls-key and --tls-root together',
        )
    return None


def report_errors(command: Command[Params]) -> Command[Params]:
    """Report errors of a command in one line, and exit with an error code."""

    @functools.wraps(command)
    def run(*args: Params.args, **kwargs: Params.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except* SettingError as group:
            _exit_with_error(group, USAGE_EXIT_CODE)
        except* IbisplankError as group:
            _exit_with_error(group, FAILURE_EXIT_CODE)
        except* OSError as group:
            _exit_with_error(group, FAILURE_EXIT_CODE)

    return run


def add_daemon_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that all daemons have.

    Parameters
    ----------
    command : callable
        Called with the validated `DaemonOptions` and the program's other
        options.
    """

    @functools.wraps(command)
    def run(
        cell: str,
        vm: str,
        zone: str,
        platform: str,
        tls_certificate: str | None,
        tls_key: str | None,
        tls_root: str | None,
        log_format: str,
        **specific_options: Any,
    ) -> None:
        split_address(platform, '--platform')
        options = DaemonOptions(
            Location(CellId(cell), VmId(vm), ZoneId(zone)),
            platform,
            make_tls(tls_certificate, tls_key, tls_root),
            LogFormat(log_format),
        )
        command(options, **specific_options)

    decorated: Callable[..., None] = report_errors(run)
    for add in (
        add_location_options,
        platform_option,
        add_tls_options,
        log_option,
        version_option,
    ):
        decorated = add(decorated)
    return decorated


def _exit_with_error(group: BaseExceptionGroup[Any], code: int) -> NoReturn:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    click.echo(f'error: {error}', err=True)
    sys.exit(code)
