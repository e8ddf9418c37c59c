"""When a failed attempt may be followed by another."""

from dataclasses import dataclass
from enum import Enum

from ibisplank.request._call import Call

#: Retries that may be saved up for a burst.
MAX_TOKENS = 10.0


class Failure(Enum):
    """How an attempt failed."""

    NO_SLOT = 'no slot before the deadline'
    NOT_SENT = 'not sent'
    SHED = 'shed by the backend server'
    UNKNOWN = 'may have run'


@dataclass(slots=True)
class RetryBudget:
    """Retries and hedges that recent successes pay for.

    Examples
    --------
    >>> budget = RetryBudget(tokens=0.5)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    tokens: float = MAX_TOKENS

    def earn(self, share: float) -> None:
        """Add what one successful call pays."""
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
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
    """Tell whether a call may be attempted again; spends from the budget.

    A call that was not sent is always safe to send. Whatever may have run is
    sent again only when it is idempotent and nobody above retries.
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
