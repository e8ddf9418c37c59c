"""Rate limits that backend servers state for all gateways together."""

import math
from dataclasses import dataclass

from ibisplank.ids import MemberId

#: Part of a limit for which the granter of a server hands out tokens.
GRANTED_SHARE = 0.95
#: Part of a limit that gateways without a granter divide evenly. Their calls
#: show them when a server no longer states a limit.
UNGRANTED_SHARE = 0.05
#: Unused tokens that are kept, so that calls need not arrive evenly.
BURST = 2.0
#: A granter that has repeated a limit for the last time this long ago is down.
GRANTER_TIMEOUT_S = 1.6
#: Probes without a limit are ignored for this long after an answer that states
#: one, as they may be older.
STATEMENT_HOLD_S = 0.5


@dataclass(slots=True)
class TokenBucket:
    """Tokens that accrue at a rate; each allows one call.

    It starts empty, so that a gateway that takes over a server does not add a
    burst to that of its predecessor.

    Examples
    --------
    >>> bucket = TokenBucket(updated_at=10.0)
    >>> bucket.take(2.0, 10.25), bucket.take(2.0, 10.5)
    (0.25, 0.0)
    """

    updated_at: float
    _tokens: float = 0.0

    def take(self, rate: float, now: float) -> float:
        """Take a token; return 0 if it was taken, else the time to wait."""
        accrued = max(0.0, now - self.updated_at) * rate
        self._tokens = min(BURST, self._tokens + accrued)
        self.updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / rate if rate > 0 else math.inf


@dataclass(slots=True)
class StatedLimit:
    """Limit that one backend server states, and this gateway's part of it.

    Load pattern: a server in need states a rate far below what all gateways
    send, and each of them would use it up alone. The gateway that probes the
    server grants a token for each call to it, to itself and to the others, so
    that their sum stays below the limit in any order of messages. A gateway
    that knows no granter sends its even share of a small part.

    Attributes
    ----------
    rate : float or None
        Calls per second, None without a limit.
    """

    rate: float | None = None
    _granter: MemberId | None = None
    _granter_seen_at: float = -math.inf
    _stated_at: float = -math.inf
    _bucket: TokenBucket | None = None
    _retry_at: float = -math.inf

    def record_answer(self, rate: float | None, now: float) -> None:
        """Record the limit in an answer to a call of this gateway."""
        if rate is not None:
            self._stated_at = now
        elif self.find_granter(now) is not None:
            return
        self._set_rate(rate)

    def record_report(
        self, rate: float | None, granter: MemberId, now: float
    ) -> None:
        """Record the limit in a probe, by the gateway that grants tokens."""
        if rate is not None:
            self._record_granter(granter, now)
        elif now < self._stated_at + STATEMENT_HOLD_S:
            return
        self._set_rate(rate)

    def find_granter(self, now: float) -> MemberId | None:
        """Return the gateway that grants tokens, None if none is known."""
        if now > self._granter_seen_at + GRANTER_TIMEOUT_S:
            return None
        return self._granter

    def may_request(self, now: float) -> bool:
        """Return whether a token may be available."""
        return now >= self._retry_at

    def record_wait(self, wait_s: float, now: float) -> None:
        """Record that no token is available for some time."""
        self._retry_at = now + wait_s

    def grant(self, now: float) -> float:
        """Take a token as the granter; return 0, or the time to wait."""
        return self._take(GRANTED_SHARE, now)

    def take_ungranted(self, members: int, now: float) -> float:
        """Take a token without a granter; return 0, or the time to wait."""
        return self._take(UNGRANTED_SHARE / max(1, members), now)

    def _record_granter(self, granter: MemberId, now: float) -> None:
        if self.find_granter(now) != granter:
            self._retry_at = -math.inf
        self._granter = granter
        self._granter_seen_at = now

    def _take(self, share: float, now: float) -> float:
        if self.rate is None:
            return 0.0
        if self._bucket is None:
            self._bucket = TokenBucket(now)
        return self._bucket.take(self.rate * share, now)

    def _set_rate(self, rate: float | None) -> None:
        if rate != self.rate:
            self._retry_at = -math.inf
        self.rate = rate
        if rate is None:
            self._granter = None
            self._bucket = None
