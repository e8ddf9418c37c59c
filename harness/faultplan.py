"""Random schedule of the faults of a soak run."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

#: Mean rate at which faults start. Faults may overlap.
FAULTS_PER_S = 1.2
STATEMENTS_PER_S = 0.25
FULL_SERVERS_PER_S = 0.25
DOUBLE_ANSWERS_PER_S = 0.5
SHORTEST_FAULT_S = 0.2
LONGEST_FAULT_S = 3.0
#: Number of values of `Fault.choice`.
CHOICE_COUNT = 65536


class FaultKind(Enum):
    """Kinds of faults that are injected from outside the gateways."""

    PAUSE = 'pause a gateway'
    KILL = 'kill a gateway'
    STOP = 'stop a gateway'
    RELOAD = 'reload a gateway'
    STORE = 'store fails'
    STORE_LINK = 'link of a gateway to the store fails'
    SERVER_LINK = 'link to a server fails'
    SERVER = 'server misbehaves'
    CONFIG = 'config changes'
    LEAVING = 'server leaves and says so in its answers only'
    QUIET = 'server asks for quiet'
    FULL = 'server is slow, and leaves or resets calls beyond its slots'
    DOUBLE_ANSWERS = 'server answers twice'


#: Kinds that seeds have drawn from since the first soak.
COMMON_KINDS = tuple(FaultKind)[:9]
#: Kinds that are planned apart, so that older seeds keep their faults.
STATEMENT_KINDS = (FaultKind.LEAVING, FaultKind.QUIET)
FULL_KINDS = (FaultKind.FULL,)
DOUBLE_ANSWER_KINDS = (FaultKind.DOUBLE_ANSWERS,)


@dataclass(frozen=True)
class Fault:
    """One scheduled fault.

    Attributes
    ----------
    start_s : float
        Start, relative to the start of the run.
    kind : FaultKind
        Kind of the fault.
    duration_s : float
        Duration of the fault.
    choice : int
        Random number that selects the target and the variant of the fault.
    """

    start_s: float
    kind: FaultKind
    duration_s: float
    choice: int


def plan_faults(
    rng: random.Random,
    seconds: float,
    kinds: Sequence[FaultKind] = COMMON_KINDS,
    faults_per_s: float = FAULTS_PER_S,
) -> list[Fault]:
    """Return the faults of one run in order; equal seeds give equal plans.

    >>> plan_faults(random.Random(1), 5) == plan_faults(random.Random(1), 5)
    True
    """
    faults: list[Fault] = []
    start_s = 0.0
    while True:
        start_s += rng.expovariate(faults_per_s)
        if start_s >= seconds:
            return faults
        kind = rng.choice(kinds)
        duration_s = rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        faults.append(
            Fault(start_s, kind, duration_s, rng.randrange(CHOICE_COUNT))
        )
