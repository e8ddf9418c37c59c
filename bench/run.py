"""Runs the benchmarks, except `bench.control` and `bench.slopes`."""

import subprocess
import sys

COMMANDS = (
    ('bench.latency', '1'),
    ('bench.latency', '4'),
    ('bench.scenarios',),
    ('bench.flood',),
    ('bench.claims',),
    ('bench.agreement',),
    ('bench.plots',),
)


def main() -> None:
    """Run the commands one at a time, so that none distorts another."""
    for command in COMMANDS:
        subprocess.run([sys.executable, '-m', *command], check=True)


if __name__ == '__main__':
    main()
