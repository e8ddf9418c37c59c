"""A call with its attempts, while it runs."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.gateway._incoming import IncomingCall
from ibisplank.gateway._latency import LatencyWindow
from ibisplank.gateway._plan import CallPlan, Outcome
from ibisplank.ids import MemberId, ServerId, ServiceId


@dataclass(slots=True, eq=False)
class ActiveCall:
    """A call with its attempts, while it runs.

    Attributes
    ----------
    latencies : LatencyWindow
        Latencies of the calls of its route.
    count_step : callable
        Counts a step of an attempt by the service.
    tried : set of ServerId
        Servers that an attempt was sent to.
    tried_peers : set of MemberId
        Gateways that the call was handed over to.
    trail : list of str
        Steps of the attempts, for the log line of the call.
    """

    call: IncomingCall
    service: ServiceId
    plan: CallPlan
    group: TaskGroup
    latencies: LatencyWindow
    count_step: Callable[[ServiceId, str], None]
    tried: set[ServerId] = field(default_factory=set)
    tried_peers: set[MemberId] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    woken: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake the call up to decide its next step."""
        self.woken.set()

    def record_step(
        self, target: str, step: str, now: float, reason: str = ''
    ) -> None:
        """Count a step of an attempt and add it to the trail.

        Parameters
        ----------
        target : str
            Server or gateway of the attempt.
        """
        self.count_step(self.service, step)
        at_s = now - self.call.arrived_at
        self.trail.append(f'{at_s:.3f} {target} {step} {reason}'.rstrip())

    def record_failure(
        self,
        target: str,
        outcome: Outcome,
        now: float,
        reason: str,
        runs: int = 1,
    ) -> None:
        """Record that an attempt ended without an answer.

        Parameters
        ----------
        runs : int
            How often the call may have run in this attempt.
        """
        self.record_step(target, outcome.value, now, reason)
        self.plan.record_outcome(outcome, runs)
