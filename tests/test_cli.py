"""Tests of the command-line programs: help, version and error messages."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from ibisplank import __version__
from ibisplank.cli import agent, ctl, entry, load, standin

PROGRAMS = {
    'entry': entry.main,
    'agent': agent.main,
    'ctl': ctl.main,
    'load': load.main,
    'standin': standin.main,
}
DAEMON_OPTIONS = ['--vm', 'v', '--zone', 'z', '--platform', '127.0.0.1:1']


@pytest.mark.parametrize('name', PROGRAMS)
def test_help_has_an_example_and_version_is_printed(name: str) -> None:
    shown = CliRunner().invoke(PROGRAMS[name], ['--help'])
    assert shown.exit_code == 0
    assert 'Example' in shown.output
    printed = CliRunner().invoke(PROGRAMS[name], ['--version'])
    assert __version__ in printed.output


@pytest.mark.parametrize(
    ('name', 'options', 'message'),
    [
        (
            'entry',
            [*DAEMON_OPTIONS, '--listen', 'x', '--peer', '127.0.0.1:2'],
            'IP num',
        ),
        (
            'entry',
            [
                *DAEMON_OPTIONS,
                '--listen',
                'localhost:1',
                '--peer',
                '127.0.0.1:2',
            ],
            'give an IP number',
        ),
        (
            'entry',
            [
                *DAEMON_OPTIONS,
                '--listen',
                '127.0.0.1:0',
                '--peer',
                '127.0.0.1:2',
            ],
            'port must be',
        ),
        (
            'agent',
            [*DAEMON_OPTIONS, '--entry', '1', '--peer', '127.0.0.1:2'],
            'IP num',
        ),
        (
            'agent',
            [*DAEMON_OPTIONS, '--entry', '1', '--peer', '127.0.0.1:2'],
            '--entry',
        ),
        ('agent', [*DAEMON_OPTIONS], 'Missing option'),
        ('agent', ['--nonsense'], 'see --help'),
        ('ctl', ['nonsense'], 'see --help'),
        ('ctl', ['status'], '--platform'),
        ('standin', ['backend', '--ports', 'a'], 'numbers joined'),
    ],
)
def test_usage_errors_exit_with_code_2(
    name: str,
    options: list[str],
    message: str,
) -> None:
    shown = CliRunner().invoke(PROGRAMS[name], options)
    assert shown.exit_code == 2
    assert message in shown.output
    assert len(shown.output.strip().splitlines()) == 1


def test_invalid_contract_is_reported_in_one_line(tmp_path: Path) -> None:
    source = tmp_path / 'bad.toml'
    source.write_text('customer = 1')
    shown = CliRunner().invoke(ctl.main, ['contract', 'check', str(source)])
    assert shown.exit_code == 2
    assert len(shown.output.strip().splitlines()) == 1


@pytest.mark.parametrize('name', ['catalogos', 'qanawat'])
def test_example_contracts_are_valid(name: str) -> None:
    source = Path(__file__).parent.parent / 'examples' / f'{name}.toml'
    shown = CliRunner().invoke(ctl.main, ['contract', 'check', str(source)])
    assert shown.exit_code == 0


def test_unreachable_platform_is_reported() -> None:
    shown = CliRunner().invoke(
        ctl.main,
        ['--platform', '127.0.0.1:1', 'status'],
    )
    assert shown.exit_code == 1
    assert 'store is down' in shown.output
