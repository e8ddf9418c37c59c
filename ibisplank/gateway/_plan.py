"""State machine of one call: attempts, waits and the final answer."""

import math
from dataclasses import dataclass
from enum import Enum

from ibisplank.connection import Answer
from ibisplank.gateway._model import RouteConfig
from ibisplank.request import MAX_CRASHES

#: Part of the target latency for which a call waits for a free server.
QUEUE_WAIT_SHARE = 0.125
#: A hedge is sent to meet the target if at least this many times the median
#: latency is left until the target.
HEDGE_HEADROOM = 1.1
#: If no hedge can meet the target, one is sent this many times the median
#: latency after the start of the attempt.
LATE_HEDGE_DELAY = 3.0
#: No hedge is sent with less than this many times the median latency left
#: until the deadline.
MIN_HEDGE_HEADROOM = 1.5
#: Sends beyond the maximum of attempts, to replace those that were refused.
EXTRA_SENDS = 3
#: No retry is sent with less than this many times the median latency left
#: until the deadline.
MIN_RETRY_HEADROOM = 0.5
#: Retries that hedges of slow calls leave in the budget, for failed attempts
#: and for calls on servers that have just slowed down.
HEDGE_RESERVE = 2.0
#: Part of the target latency that refused callers are told to wait.
RETRY_AFTER_SHARE = 0.25
#: Delay for a call that another gateway can serve at once. Repeats come on new
#: connections, which the balancer gives to others.
ELSEWHERE_RETRY_AFTER_S = 0.05


class Outcome(Enum):
    """Outcome of an attempt without an answer for the caller.

    Attributes
    ----------
    UNSENT
        No byte of the call was sent to a server.
    REFUSED
        The server states that the call did not run.
    UNKNOWN
        The call may have run.
    """

    UNSENT = 'not sent'
    REFUSED = 'refused by the server'
    UNKNOWN = 'may have run'


class CallResult(Enum):
    """Final answer of the gateway to a call that no server has answered.

    Attributes
    ----------
    NOT_RUN
        The call has not run and may be repeated.
    FAILED
        The call may have run.
    LATE
        The deadline has passed, and the call may have run.
    """

    NOT_RUN = 'not run'
    FAILED = 'may have run'
    LATE = 'out of time'


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send the call to a server.

    Attributes
    ----------
    is_retry : bool
        Whether the attempt is not the first and counts against the retry
        budget.
    reserve : float
        Retries that must remain in the budget.
    """

    is_retry: bool
    reserve: float = 0.0


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait until an attempt ends or the call becomes suspect.

    Attributes
    ----------
    until : float
        Time at which the wait ends at the latest.
    """

    until: float


@dataclass(frozen=True, slots=True)
class Respond:
    """Send the final answer to the caller.

    Attributes
    ----------
    result : CallResult
        What the caller is told if no server has answered; otherwise unused.
    answer : Answer or None
        Answer of a server, good or not; it is passed on as it is.
    retry_after_s : float
        Delay after which a call that has not run may be repeated, 0 for
        none.
    """

    result: CallResult
    answer: Answer | None = None
    retry_after_s: float = 0.0


Action = Attempt | Wait | Respond


@dataclass(slots=True)
class CallPlan:
    """State of one call between its arrival and its final answer.

    Load pattern: servers slow down, refuse calls or lose answers while calls
    run on them. A call that may have run is sent again only if its route is
    idempotent, and a call fails at once when no further attempt can help.

    Attributes
    ----------
    deadline_at : float
        Time by which the caller has to be answered.
    median_s : float
        Median latency of the calls of the route.
    slow_s : float
        Latency that few successful calls exceed.
    running : int
        Attempts in progress.
    sends : int
        Attempts that were sent to a server.
    ran : int
        Ended attempts that have run or may have.
    crashes : int
        Servers that crashed under this call or earlier ones like it.
    """

    route: RouteConfig
    arrived_at: float
    deadline_at: float
    median_s: float
    slow_s: float
    running: int = 0
    sends: int = 0
    ran: int = 0
    crashes: int = 0
    _refused_for_s: float = 0.0
    _ready_in_s: float = 0.0
    _refusal: Respond | None = None
    _answer: Answer | None = None
    _fallback: Answer | None = None
    _started_at: float = 0.0
    _suspected_at: float = 0.0
    _hedging_denied: bool = False

    def decide(self, now: float) -> Action:
        """Return the next step."""
        if self._answer is not None:
            return Respond(CallResult.FAILED, self._answer)
        if self._refusal is not None and not self.running and not self.ran:
            return self._refusal
        if now >= self.deadline_at:
            return self._time_out()
        if self.running:
            return self._decide_hedge(now)
        if self._is_exhausted(now):
            return self._give_up()
        return Attempt(is_retry=self.sends > 0)

    def record_crashes(self, crashes: int, expire_in_s: float) -> None:
        """Record how many servers crashed under such calls.

        Parameters
        ----------
        expire_in_s : float
            Time after which the crashes no longer count.
        """
        self.crashes = crashes
        self._refused_for_s = expire_in_s if crashes >= MAX_CRASHES else 0.0

    def limit_deadline(self, deadline_at: float) -> None:
        """Answer the caller by a time, if its deadline is later."""
        self.deadline_at = min(self.deadline_at, deadline_at)

    def record_start(self, now: float) -> None:
        """Record that an attempt was sent."""
        self.running += 1
        self.sends += 1
        self._started_at = now

    def mark_suspect(self, now: float) -> None:
        """Record that the server of an attempt has slowed down or failed."""
        if not self._suspected_at:
            self._suspected_at = now

    def record_outcome(self, outcome: Outcome, runs: int = 1) -> None:
        """Record that an attempt ended without an answer.

        Parameters
        ----------
        runs : int
            How often the call may have run in this attempt. A gateway that it
            was handed over to may send it several times.
        """
        self.running -= 1
        match outcome:
            case Outcome.UNSENT:
                self.sends -= 1
            case Outcome.UNKNOWN:
                self.ran += runs

    def record_answer(
        self, answer: Answer, *, good: bool, runs: int = 1
    ) -> None:
        """Record a complete answer of a server."""
        self.running -= 1
        self.ran += runs
        if good or not self.route.idempotent:
            self._answer = answer
        else:
            self._fallback = answer

    def record_refusal(self, retry_after_s: float) -> None:
        """Record that another gateway refused the call, which has not run."""
        self.running -= 1
        self._refusal = Respond(CallResult.NOT_RUN, retry_after_s=retry_after_s)

    def deny_hedges(self) -> None:
        """Send no hedges: the gateway that has the call sends them."""
        self._hedging_denied = True

    def count_attempts_left(self) -> int:
        """Return how many attempts may still run, the current one included."""
        others = self.ran + max(0, self.running - 1)
        return self.route.max_attempts - others

    def deny_attempt(
        self, now: float, *, room: bool, ready_at: float = 0.0
    ) -> Action:
        """Return the next step if an attempt cannot be made.

        Parameters
        ----------
        room : bool
            Whether a server had room and only the retry budget is exhausted.
        ready_at : float
            Time before which no server takes calls.
        """
        self._hedging_denied = True
        if self.running:
            return Wait(self.deadline_at)
        if room or self.sends:
            return self._give_up()
        wait_until = self.arrived_at + QUEUE_WAIT_SHARE * self.route.target_s
        if now >= wait_until or ready_at > wait_until:
            self._ready_in_s = ready_at - now
            return self._give_up()
        return Wait(min(wait_until, self.deadline_at))

    def _decide_hedge(self, now: float) -> Action:
        """Return the next step while an attempt runs."""
        hedge_at = self._find_hedge_at()
        if not self._may_hedge(hedge_at):
            return Wait(self.deadline_at)
        if now < hedge_at:
            return Wait(min(hedge_at, self.deadline_at))
        reserve = 0.0 if self._suspected_at else HEDGE_RESERVE
        return Attempt(is_retry=True, reserve=reserve)

    def _find_hedge_at(self) -> float:
        """Return when to send a hedge.

        It is sent early enough to meet the target. If slow calls cannot be
        told from normal ones by then, it is sent when the call has clearly
        become slow.
        """
        latest = self.arrived_at + self.route.target_s
        latest -= HEDGE_HEADROOM * self.median_s
        if self._suspected_at and self._suspected_at <= latest:
            return self._suspected_at
        slow_at = self._started_at + self.slow_s
        if slow_at <= latest:
            return slow_at
        return self._started_at + max(
            self.slow_s, LATE_HEDGE_DELAY * self.median_s
        )

    def _may_hedge(self, hedge_at: float) -> bool:
        if (
            self._hedging_denied
            or self.crashes
            or not self.route.idempotent
            or self.running > 1
        ):
            return False
        if self.ran + self.running >= self.route.max_attempts:
            return False
        return self.deadline_at - hedge_at > MIN_HEDGE_HEADROOM * self.median_s

    def _is_exhausted(self, now: float) -> bool:
        """Return whether no further attempt is allowed or worthwhile."""
        if self.ran and not self.route.idempotent:
            return True
        if self._is_dangerous():
            return True
        if self.ran >= self.route.max_attempts:
            return True
        if self.sends >= self.route.max_attempts + EXTRA_SENDS:
            return True
        left_s = self.deadline_at - now
        return bool(self.sends) and left_s < MIN_RETRY_HEADROOM * self.median_s

    def _is_dangerous(self) -> bool:
        """Return whether the call would probably crash the next server.

        With one crash fewer than the maximum, a single further attempt decides
        whether it is the cause.
        """
        if self.crashes >= MAX_CRASHES:
            return True
        return self.crashes == MAX_CRASHES - 1 and self.sends > 0

    def _time_out(self) -> Respond:
        if self.ran or self.running:
            return Respond(CallResult.LATE)
        return self._give_up()

    def _give_up(self) -> Respond:
        if self._fallback is not None:
            return Respond(CallResult.FAILED, self._fallback)
        if self.ran or self.running:
            return Respond(CallResult.FAILED)
        return Respond(
            CallResult.NOT_RUN,
            retry_after_s=self._refused_for_s or self._find_retry_after_s(),
        )

    def _find_retry_after_s(self) -> float:
        """Return when a refused caller may come back."""
        usual_s = RETRY_AFTER_SHARE * self.route.target_s
        if math.isinf(self._ready_in_s):
            return usual_s
        return max(usual_s, self._ready_in_s)
