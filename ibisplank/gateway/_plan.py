"""What happens next with one call: another attempt, a wait, or its answer."""

from dataclasses import dataclass
from enum import Enum

from ibisplank.connection import Answer
from ibisplank.gateway._model import RouteConfig

#: Part of its target for which a call waits until a server has room.
QUEUE_WAIT_SHARE = 0.125
#: A second attempt that could still meet the target starts by now, with so
#: many times the usual latency left.
HEDGE_HEADROOM = 1.1
#: A call that nothing can bring in by its target is tried elsewhere after so
#: many times the usual latency, while as many are left.
LATE_HEDGE_DELAY = 3.0
MIN_HEDGE_HEADROOM = 1.5
#: Sends beyond the attempts that ran, to servers that refused.
EXTRA_SENDS = 3
#: No attempt starts with less of the usual latency left than this.
MIN_LATENCY_SHARE = 0.5
#: Retries kept back for failed attempts and for calls on servers that have
#: just slowed down, while others that last long are hedged.
HEDGE_RESERVE = 2.0
#: Refused callers return after this part of their target at the earliest.
RETRY_AFTER_SHARE = 0.25


class Outcome(Enum):
    """How an attempt ended without an answer for the caller.

    Attributes
    ----------
    UNSENT
        No byte of the call reached a server.
    REFUSED
        The server states that the call did not run.
    UNKNOWN
        The call may have run.
    """

    UNSENT = 'not sent'
    REFUSED = 'refused by the server'
    UNKNOWN = 'may have run'


class CallResult(Enum):
    """Final answers that are the gateway's own."""

    NOT_RUN = 'not run'
    FAILED = 'may have run'
    LATE = 'out of time'


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send the call to a server.

    Attributes
    ----------
    is_retry : bool
        Whether the attempt is one beyond the first and takes from the
        retry budget.
    reserve : float
        Retries that must be left over for others.
    """

    is_retry: bool
    reserve: float = 0.0


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for an attempt to end, or for a time."""

    until: float


@dataclass(frozen=True, slots=True)
class Respond:
    """Give the caller its final answer.

    Attributes
    ----------
    retry_after_s : float
        When a call that has not run should come back; 0 for no word of it.
    """

    result: CallResult
    answer: Answer | None = None
    retry_after_s: float = 0.0


Action = Attempt | Wait | Respond


@dataclass(slots=True)
class CallPlan:
    """State of one call between its arrival and its final answer.

    Load pattern: servers slow down, refuse, or lose answers while calls run
    there. Whatever may have run is never sent again unless the route allows
    it, and a call is given up at once when no attempt can help it.

    Attributes
    ----------
    deadline_at : float
        Time by which the caller gets its answer.
    median_s : float
        What such calls take.
    slow_s : float
        Latency that few good answers exceed.
    """

    route: RouteConfig
    arrived_at: float
    deadline_at: float
    median_s: float
    slow_s: float
    running: int = 0
    sends: int = 0
    ran: int = 0
    _answer: Answer | None = None
    _fallback: Answer | None = None
    _started_at: float = 0.0
    _suspected_at: float = 0.0
    _hedging_denied: bool = False

    def decide(self, now: float) -> Action:
        """Return the next step."""
        if self._answer is not None:
            return Respond(CallResult.FAILED, self._answer)
        if now >= self.deadline_at:
            return self._time_out()
        if self.running:
            return self._decide_hedge(now)
        if self._is_exhausted(now):
            return self._give_up()
        return Attempt(is_retry=self.sends > 0)

    def record_start(self, now: float) -> None:
        """Take in that an attempt was sent."""
        self.running += 1
        self.sends += 1
        self._started_at = now

    def mark_suspect(self, now: float) -> None:
        """Take in that the server of an attempt has slowed down or failed."""
        if not self._suspected_at:
            self._suspected_at = now

    def record_outcome(self, outcome: Outcome) -> None:
        """Take in that an attempt ended without an answer."""
        self.running -= 1
        match outcome:
            case Outcome.UNSENT:
                self.sends -= 1
            case Outcome.UNKNOWN:
                self.ran += 1

    def record_answer(self, answer: Answer, *, good: bool) -> None:
        """Take in a server's whole answer."""
        self.running -= 1
        self.ran += 1
        if good or not self.route.idempotent:
            self._answer = answer
        else:
            self._fallback = answer

    def deny_attempt(self, now: float, *, room: bool) -> Action:
        """Return the next step where the attempt can't be made.

        Parameters
        ----------
        room : bool
            Whether some server had room; else the retry budget is spent.
        """
        self._hedging_denied = True
        if self.running:
            return Wait(self.deadline_at)
        if room or self.sends:
            return self._give_up()
        wait_until = self.arrived_at + QUEUE_WAIT_SHARE * self.route.target_s
        if now >= wait_until:
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
        """Return when a second attempt should start beside the first.

        It should still meet the target; where that is too early to tell a
        slow call from a usual one, it waits until the call is surely slow.
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
            or not self.route.idempotent
            or self.running > 1
        ):
            return False
        if self.ran + self.running >= self.route.max_attempts:
            return False
        return self.deadline_at - hedge_at > MIN_HEDGE_HEADROOM * self.median_s

    def _is_exhausted(self, now: float) -> bool:
        """Tell whether no further attempt may be or is worth being made."""
        if self.ran and not self.route.idempotent:
            return True
        if self.ran >= self.route.max_attempts:
            return True
        if self.sends >= self.route.max_attempts + EXTRA_SENDS:
            return True
        left_s = self.deadline_at - now
        return bool(self.sends) and left_s < MIN_LATENCY_SHARE * self.median_s

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
            retry_after_s=RETRY_AFTER_SHARE * self.route.target_s,
        )
