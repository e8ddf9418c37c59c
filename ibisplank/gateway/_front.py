"""What callers and the platform's balancer see of a gateway."""

from collections.abc import Callable

import anyio

from ibisplank.connection import (
    HOP_BY_HOP_HEADERS,
    Receive,
    Scope,
    Send,
    read_body,
    send_answer,
)
from ibisplank.gateway._dialect import Dialect, Headers
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._job import (
    Job,
    Rejection,
    find_final_at,
    find_route,
    parse_head,
)
from ibisplank.gateway._knowledge import Knowledge
from ibisplank.gateway._plan import Conclude, Ending
from ibisplank.process import log_event

OK = 200
NOT_FOUND = 404
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
OUT_OF_TIME = 504
#: A picture older than this may lack a route that exists.
STALE_S = 1.5
#: When a call that came before the config should come back.
EARLY_RETRY_S = 0.2


class Front:
    """The application that callers reach.

    Attributes
    ----------
    in_flight : int
        Calls without a final answer.
    closing : bool
        Whether callers are told to open their connections elsewhere.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        forwarder: Forwarder,
        dialect: Dialect,
        clock: Callable[[], float],
    ) -> None:
        self.in_flight = 0
        self.closing = False
        self._knowledge = knowledge
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call."""
        self.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        except ConnectionResetError:
            log_event('caller left before its call was read')
        finally:
            self.in_flight -= 1

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        job = await self._admit(scope, receive)
        if isinstance(job, Rejection):
            await self._reject(send, scope, job)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_left, receive, group, job)
            ending = await self._forwarder.run(job)
            await self._conclude(send, ending)
            group.cancel_scope.cancel()

    async def _admit(self, scope: Scope, receive: Receive) -> Job | Rejection:
        """Return the call that a route allows, read whole."""
        arrived_at = self._clock()
        config = self._knowledge.config
        head = parse_head(scope, self._dialect)
        if not config.version:
            name = head.request_id.decode('latin-1')
            return Rejection(UNAVAILABLE, 'no config yet', name)
        route = find_route(head, self._knowledge.routes, config.limits)
        if isinstance(route, Rejection):
            return self._soften(route)
        body = await read_body(receive, config.limits.body_bytes)
        if body is None:
            return Rejection(TOO_LARGE, 'body too large')
        final_at = find_final_at(head, route, arrived_at)
        return Job(head, route, body, arrived_at, final_at)

    def _soften(self, rejection: Rejection) -> Rejection:
        """Refuse for now what an old picture doesn't allow."""
        age_s = self._knowledge.find_age(self._clock())
        if rejection.status == NOT_FOUND and age_s > STALE_S:
            reason = f'{rejection.reason}, picture {age_s:.1f} s old'
            return Rejection(UNAVAILABLE, reason, rejection.request_id)
        return rejection

    async def _cancel_when_left(
        self,
        receive: Receive,
        group: anyio.abc.TaskGroup,
        job: Job,
    ) -> None:
        """End all attempts of a call whose caller has left."""
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                break
        log_event('caller left', id=job.head.request_id.decode('latin-1'))
        group.cancel_scope.cancel()

    async def _reject(
        self,
        send: Send,
        scope: Scope,
        rejection: Rejection,
    ) -> None:
        log_event(
            'rejected',
            id=rejection.request_id,
            method=scope['method'],
            path=scope['path'],
            status=rejection.status,
            reason=rejection.reason,
            config=self._knowledge.config.version,
        )
        retry_s = EARLY_RETRY_S if rejection.status == UNAVAILABLE else 0.0
        await self._send_own(send, rejection.status, retry_s)

    async def _conclude(self, send: Send, ending: Conclude) -> None:
        if ending.answer is not None:
            headers: Headers = [
                (name, text)
                for name, text in ending.answer.headers
                if name.lower() not in HOP_BY_HOP_HEADERS
            ]
            await self._send(
                send,
                ending.answer.status,
                headers,
                ending.answer.body,
            )
            return
        match ending.ending:
            case Ending.NOT_RUN:
                await self._send_own(send, UNAVAILABLE, ending.retry_after_s)
            case Ending.FAILED:
                await self._send_own(send, BAD_GATEWAY)
            case Ending.LATE:
                await self._send_own(send, OUT_OF_TIME)

    async def _send_own(
        self,
        send: Send,
        status: int,
        retry_after_s: float = 0.0,
    ) -> None:
        headers: Headers = []
        if retry_after_s:
            headers.append((b'retry-after', f'{retry_after_s:.3f}'.encode()))
        await self._send(send, status, headers, b'')

    async def _send(
        self,
        send: Send,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        if self.closing:
            headers.append((b'connection', b'close'))
        await send_answer(send, status, body, tuple(headers))
