"""Callers of the soak test, which record their calls and the answers."""

import random
from dataclasses import dataclass

import anyio
import httpcore

from harness.callhistory import CallHistory, ReceivedAnswer, SentCall
from harness.gatewayprocess import GatewayProcess
from harness.routes import HOST
from ibisplank.platform import HEADER_NAMES

DEADLINE_MS = 1000
#: Time after which a caller abandons a call.
CALLER_TIMEOUT_S = 3.0
#: One call in so many has a body of `LARGE_REPEATS` times its id, if it has
#: one.
LARGE_BODY_INTERVAL = 8
LARGE_REPEATS = 60000
#: Share of failed idempotent calls that are sent again with the same id.
RESEND_SHARE = 0.5
FIRST_FAILURE = 500


@dataclass
class Callers:
    """Concurrent callers that send calls to random gateways.

    Attributes
    ----------
    gateways : list of GatewayProcess
        Gateways that receive the calls.
    history : CallHistory
        Record of the calls and their answers.
    rng : random.Random
        Selects gateways, kinds of calls and pauses.
    active : bool
        Whether callers continue to send calls.
    """

    gateways: list[GatewayProcess]
    history: CallHistory
    rng: random.Random
    active: bool = True
    _call_count: int = 0

    async def send_calls(self) -> None:
        """Send calls over persistent connections while `active` is set."""
        async with httpcore.AsyncConnectionPool() as pool:
            while self.active:
                gateway = self.rng.choice(self.gateways)
                await self._send_repeatedly(pool, gateway)
                await anyio.sleep(self.rng.uniform(0, 0.05))

    async def send_call(
        self,
        pool: httpcore.AsyncConnectionPool,
        gateway: GatewayProcess,
    ) -> int:
        """Send one call; return its status, or 0 if no answer arrived."""
        return await self._send(pool, gateway, self._make_call())

    async def _send_repeatedly(
        self,
        pool: httpcore.AsyncConnectionPool,
        gateway: GatewayProcess,
    ) -> None:
        """Send one call, and sometimes again under its id after a failure.

        HTTP libraries repeat idempotent requests on a lost connection. Nothing
        is sent again once `active` is not set.
        """
        request_id = self._make_call()
        call = self.history.calls[request_id]
        again = True
        while again:
            status = await self._send(pool, gateway, request_id)
            failed = not status or status >= FIRST_FAILURE
            repeatable = self.active and not call.at_most_once
            draw = self.rng.random()
            again = failed and repeatable and draw < RESEND_SHARE

    def _make_call(self) -> str:
        """Record a new call; return its request id."""
        self._call_count += 1
        request_id = f'c{self._call_count}'
        at_most_once = self.rng.random() < 0.5
        body = request_id.encode() if at_most_once else b''
        if self._call_count % LARGE_BODY_INTERVAL == 0:
            body *= LARGE_REPEATS
        path = f'/once/{request_id}' if at_most_once else f'/a/{request_id}'
        self.history.calls[request_id] = SentCall(path, at_most_once, body)
        return request_id

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        gateway: GatewayProcess,
        request_id: str,
    ) -> int:
        """Send a call once; return its status, or 0 if no answer arrived."""
        call = self.history.calls[request_id]
        headers = [
            (b'host', HOST.encode()),
            (HEADER_NAMES.request_id, request_id.encode()),
            (HEADER_NAMES.deadline_ms, str(DEADLINE_MS).encode()),
        ]
        try:
            with anyio.fail_after(CALLER_TIMEOUT_S):
                answer = await pool.request(
                    'POST' if call.at_most_once else 'GET',
                    f'http://{gateway.settings.callers}{call.path}',
                    headers=headers,
                    content=call.body or None,
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            return 0
        fields = {key.lower(): text for key, text in answer.headers}
        received = ReceivedAnswer(
            answer.status,
            fields.get(HEADER_NAMES.request_id.lower(), b'').decode(),
            HEADER_NAMES.signature.lower() in fields,
            answer.content,
        )
        self.history.answers.setdefault(request_id, []).append(received)
        return answer.status
