"""Command line of the program `ibisplank-gateway`."""

from ibisplank.cli import _signals  # noqa: F401  # before slow imports

# isort: split

import functools
from pathlib import Path

import click

from ibisplank.cli._options import (
    Program,
    report_errors,
    version_option,
)
from ibisplank.gateway import Gateway, Platform
from ibisplank.platform import (
    HEADER_NAMES,
    HttpRowStore,
    decode_row,
    encode_member,
    read_settings,
)
from ibisplank.process import configure_buffered_logging, run_loop

EXAMPLE = """
\b
Example:
  ibisplank-gateway --settings /etc/ibisplank/settings.toml
"""


async def _run(gateway: Gateway) -> None:
    await gateway.run()


@click.command(cls=Program, epilog=EXAMPLE)
@click.option(
    '--settings',
    type=click.Path(dir_okay=False, path_type=Path),
    envvar='IBISPLANK_SETTINGS',
    help="Settings file; default: the path in the platform's variable.",
)
@version_option
@report_errors
def main(settings: Path | None) -> None:
    """Route calls to backend servers by the config in the platform's store."""
    gateway_settings = read_settings(settings)
    log_buffer = configure_buffered_logging('gateway')
    platform = Platform(
        HttpRowStore(gateway_settings.store),
        decode_row,
        encode_member,
        HEADER_NAMES,
        functools.partial(read_settings, settings),
    )
    run_loop(_run, Gateway(gateway_settings, platform, log_buffer))


if __name__ == '__main__':
    main()
