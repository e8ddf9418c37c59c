"""Plots the saved results of `bench.scenarios`, case by case.

Usage: `python -m bench.plots`.
"""

import re
from dataclasses import dataclass

from matplotlib import pyplot

from bench.common import RESULTS_DIR

DEPLOYMENT_NAMES = ('qanawat', 'consorcio')
POLICIES = ('shared', 'alone', 'random')
BAR_WIDTH = 0.27
SUMMARY_LINE = re.compile(
    r'(?P<case>.+?) +(?P<policy>shared|alone|random) +weighted service '
    r'(?P<service>[\d.]+), overruns (?P<overruns>\d+)',
)


@dataclass(frozen=True)
class Case:
    """Weighted service and overruns of one case under one policy."""

    name: str
    policy: str
    service: float
    overruns: int


def read_cases(name: str) -> list[Case]:
    """Return the cases of a saved report."""
    cases = []
    for line in (
        (RESULTS_DIR / f'scenarios-{name}.txt').read_text().splitlines()
    ):
        match = SUMMARY_LINE.match(line)
        if match is None:
            continue
        cases.append(
            Case(
                match['case'],
                match['policy'],
                float(match['service']),
                int(match['overruns']),
            ),
        )
    return cases


def plot_report(name: str) -> None:
    """Plot weighted service and overruns of one user's report."""
    cases = read_cases(name)
    case_names = list(dict.fromkeys(case.name for case in cases))
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for number, policy in enumerate(POLICIES):
        cases_by_name = {
            case.name: case for case in cases if case.policy == policy
        }
        positions = [
            position + number * BAR_WIDTH for position in range(len(case_names))
        ]
        services = [cases_by_name[each].service for each in case_names]
        overruns = [cases_by_name[each].overruns for each in case_names]
        top.bar(positions, services, BAR_WIDTH, label=policy)
        bottom.bar(positions, overruns, BAR_WIDTH)
    top.set_ylim(0.85, 1.0)
    top.set_ylabel('weighted service')
    top.set_title(name)
    top.legend(ncols=len(POLICIES), loc='lower right')
    bottom.set_ylabel('overruns of slots')
    ticks = [position + BAR_WIDTH for position in range(len(case_names))]
    bottom.set_xticks(ticks, case_names)
    figure.tight_layout()
    figure.savefig(RESULTS_DIR / f'scenarios-{name}.png', dpi=80)


def main() -> None:
    """Plot both users' reports."""
    for name in DEPLOYMENT_NAMES:
        plot_report(name)


if __name__ == '__main__':
    main()
