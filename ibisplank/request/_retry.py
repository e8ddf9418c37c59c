"""Retry policy and retry budget."""

from dataclasses import dataclass
from enum import Enum

from ibisplank.request._call import Call

#: Capacity of the budget: retries that may follow in a burst.
MAX_TOKENS = 10.0


class Failure(Enum):
    """How an attempt failed."""

    NO_SLOT = 'no slot before the deadline'
    NOT_SENT = 'not sent'
    SHED = 'shed by the backend server'
    UNKNOWN = 'may have run'


@dataclass(slots=True)
class RetryBudget:
    """Token bucket for retries and hedges, refilled by successful calls.

    Examples
    --------
    >>> budget = RetryBudget(tokens=0.5)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    tokens: float = MAX_TOKENS

    def earn(self, share: float) -> None:
        """Add the share of a token that a successful call earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def spend(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(
    call: Call,
    failure: Failure,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Tell whether a call may be retried, and spend a token if it needs one.

    A call that was not sent is always safe to retry, without a token. Any other
    retry takes a token, and is left to a caller that retries itself. A call
    that may have run is retried only if it is idempotent.
    """
    if now >= call.deadline or failure is Failure.NO_SLOT:
        return False
    if failure is Failure.NOT_SENT:
        return True
    if failure is Failure.UNKNOWN and call.at_most_once:
        return False
    if call.retried_above:
        return False
    return budget.spend()
