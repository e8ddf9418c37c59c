"""Runs a program of `ibisplank.cli` by name, without its console script."""

import importlib
import sys


def main() -> None:
    """Run the program that the first argument names."""
    name = sys.argv.pop(1)
    program = importlib.import_module(f'ibisplank.cli.{name}')
    program.main(prog_name=f'ibisplank-{name}')


if __name__ == '__main__':
    main()
