"""Fault of the soak: a backend server answers calls twice."""

import itertools

import anyio
import click

from ibisplank.standin import (
    DoubleAnswers,
    SecondMoment,
    UpstreamFaults,
    UpstreamStandin,
)

#: Share of answers that a second one follows.
SHARE = 0.5
#: Share of calls that fail meanwhile, so that a second answer may be a success
#: where the first one was a failure.
FAIL_SHARE = 0.3
VARIANTS = tuple(
    DoubleAnswers(SHARE, moment, named, status, cut)
    for moment, named, status, cut in itertools.product(
        SecondMoment, (True, False), (200, 500), (True, False)
    )
)


async def answer_twice(
    upstream: UpstreamStandin, variant: int, duration_s: float
) -> None:
    """Let a server answer calls twice, unless it has another fault.

    Parameters
    ----------
    variant : int
        Selects one of `VARIANTS`.
    """
    if upstream.faults != UpstreamFaults():
        return
    double_answers = VARIANTS[variant % len(VARIANTS)]
    click.echo(f'{upstream.entry.server}: {double_answers}')
    faults = UpstreamFaults(
        fail_share=FAIL_SHARE, double_answers=double_answers
    )
    upstream.faults = faults
    await anyio.sleep(duration_s)
    if upstream.faults is faults:
        upstream.faults = UpstreamFaults()
