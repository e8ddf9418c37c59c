"""Session and options shared by the commands of `ibisplankctl`."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import click
import msgspec

from ibisplank.errors import SettingError
from ibisplank.ids import CellId
from ibisplank.porcelain import Console
from ibisplank.process import split_address
from ibisplank.version import Change, describe_edit

TEXT = 'text'
JSON = 'json'
Result = TypeVar('Result')

replaces_option = click.option(
    '--replaces',
    type=click.IntRange(min=0),
    help='Revision that this change replaces; fails if a newer one exists.',
)


class Session(msgspec.Struct, frozen=True):
    """Global options of one invocation, and access to its cell."""

    platform: str | None
    cell: CellId
    output: str

    def run(self, operation: Callable[[Console], Awaitable[Result]]) -> Result:
        """Run an operation on the cell and return its result."""
        if self.platform is None:
            raise SettingError(
                'set the platform address by --platform or IBISPLANK_PLATFORM',
            )
        split_address(self.platform, '--platform')

        async def _run_operation() -> Result:
            console = Console(self.platform or '', self.cell)
            try:
                return await operation(console)
            finally:
                await console.aclose()

        return anyio.run(_run_operation)

    def show(self, result: object, text: str) -> None:
        """Print a result, as text or as JSON."""
        if self.output == JSON:
            text = msgspec.json.encode(result).decode()
        click.echo(text)

    def show_change(self, change: Change) -> None:
        """Print an accepted change."""
        self.show(change, describe_change(change))


pass_session = click.make_pass_decorator(Session)


def describe_change(change: Change) -> str:
    """Return a one-line description of a change."""
    description = describe_edit(change.edit)
    return f'revision {change.revision}: {description} by {change.author}'
