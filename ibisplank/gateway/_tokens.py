"""Requests for tokens of rate-limited servers to their granters."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import TokenReply, TokenRequest
from ibisplank.ids import MemberId, ServerId

#: Time for a reply. A token that arrives later is not used.
REPLY_TIMEOUT_S = 0.05
#: Time after which a granter that did not reply is asked again.
SILENCE_RETRY_S = 0.5


def _drop(member: MemberId, message: TokenRequest) -> None:
    """Drop a message; the default until the mesh is set."""


@dataclass(slots=True)
class _Pending:
    """A request without a reply so far."""

    wait_s: float = math.inf
    replied: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class TokenClient:
    """Requests tokens, and matches the replies by their number.

    Attributes
    ----------
    send : callable
        Sends a request to a gateway.
    """

    send: Callable[[MemberId, TokenRequest], object] = _drop
    _sent: int = 0
    _pending: dict[int, _Pending] = field(default_factory=dict)

    async def request(self, granter: MemberId, server: ServerId) -> float:
        """Request a token; return 0 if it is granted, else the time to wait."""
        self._sent += 1
        number = self._sent
        pending = _Pending()
        self._pending[number] = pending
        try:
            self.send(granter, TokenRequest(server, number))
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await pending.replied.wait()
                return pending.wait_s
        finally:
            self._pending.pop(number)
        return SILENCE_RETRY_S

    def record_reply(self, reply: TokenReply) -> None:
        """Record a reply; a late one is ignored."""
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.wait_s = reply.wait_s
            pending.replied.set()
