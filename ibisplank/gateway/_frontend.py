"""ASGI application that serves the callers."""

from collections.abc import Callable

import anyio

from ibisplank.connection import (
    HOP_BY_HOP_HEADERS,
    Receive,
    Scope,
    Send,
    send_answer,
)
from ibisplank.gateway._bodies import (
    BodyFailure,
    BodyMemory,
    HeldBody,
    hold_body,
    read_call_body,
)
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._headers import HeaderNames, Headers
from ibisplank.gateway._incoming import (
    UNAVAILABLE,
    IncomingCall,
    Rejection,
    digest_call,
    find_deadline,
    find_route,
    parse_head,
)
from ibisplank.gateway._plan import (
    ELSEWHERE_RETRY_AFTER_S,
    QUEUE_WAIT_SHARE,
    CallResult,
    Respond,
)
from ibisplank.gateway._shutdown import Shutdown
from ibisplank.process import log_event

OK = 200
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
BAD_GATEWAY = 502
OUT_OF_TIME = 504
#: If the local copy of the store is older than this, a route may be missing.
STALE_S = 1.5
#: Delay after which a call refused for a missing config or route may be
#: repeated.
UNAVAILABLE_RETRY_AFTER_S = 0.2


class Frontend:
    """ASGI application that serves the callers.

    Attributes
    ----------
    in_flight : int
        Calls that have not been answered yet.
    shutdown : Shutdown
        Whether the gateway stops; connections are closed after the next answer
        then.
    bodies : BodyMemory
        Memory for the bodies of the calls.
    """

    def __init__(
        self,
        cluster: ClusterState,
        forwarder: Forwarder,
        header_names: HeaderNames,
        clock: Callable[[], float],
        memory_mb: float,
    ) -> None:
        self.in_flight = 0
        self.shutdown = Shutdown()
        self.bodies = BodyMemory.for_vm(memory_mb)
        self._cluster = cluster
        self._forwarder = forwarder
        self._header_names = header_names
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
        async with hold_body(self.bodies) as held:
            call = await self._admit(scope, receive, held)
            if isinstance(call, Rejection):
                await self._reject(send, scope, call)
                return
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_on_disconnect, receive, group, call
                )
                response = await self._forwarder.run(call)
                await self._respond(send, response)
                group.cancel_scope.cancel()

    async def _admit(
        self, scope: Scope, receive: Receive, held: HeldBody
    ) -> IncomingCall | Rejection:
        """Read a call, or return why it is rejected."""
        arrived_at = self._clock()
        config = self._cluster.config
        head = parse_head(scope, self._header_names)
        request_id = head.request_id.decode('latin-1')
        if not config.version:
            return Rejection(UNAVAILABLE, 'no config yet', request_id)
        route = find_route(head, self._cluster.routes, config.limits)
        if isinstance(route, Rejection):
            return self._mask_stale_rejection(route)
        longest_s = self._forwarder.find_longest_s(route)
        if not self.shutdown.may_accept(arrived_at, longest_s):
            return Rejection(
                UNAVAILABLE,
                'stopping, too little time left',
                request_id,
                ELSEWHERE_RETRY_AFTER_S,
            )
        deadline_at = self.shutdown.limit_deadline(
            find_deadline(head, route, arrived_at)
        )
        held.wait_s = QUEUE_WAIT_SHARE * route.target_s
        body = await read_call_body(
            receive,
            scope['headers'],
            held,
            config.limits.body_bytes,
            deadline_at - arrived_at,
        )
        if isinstance(body, BodyFailure):
            return _reject_body(body, request_id)
        digests = digest_call(head, body)
        return IncomingCall(head, route, body, arrived_at, deadline_at, digests)

    def _mask_stale_rejection(self, rejection: Rejection) -> Rejection:
        """Replace a 404 by a 503 if the known routes may be outdated."""
        age_s = self._cluster.find_age(self._clock())
        if rejection.status == NOT_FOUND and age_s > STALE_S:
            reason = (
                f'{rejection.reason}, data from the store {age_s:.1f} s old'
            )
            return Rejection(UNAVAILABLE, reason, rejection.request_id)
        return rejection

    async def _cancel_on_disconnect(
        self,
        receive: Receive,
        group: anyio.abc.TaskGroup,
        call: IncomingCall,
    ) -> None:
        """Cancel all attempts of a call when its caller disconnects."""
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                break
        log_event('caller left', id=call.head.request_id.decode('latin-1'))
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
            config=self._cluster.config.version,
        )
        retry_s = rejection.retry_after_s
        if rejection.status == UNAVAILABLE:
            retry_s = retry_s or UNAVAILABLE_RETRY_AFTER_S
        await self._send_status(send, rejection.status, retry_s)

    async def _respond(self, send: Send, response: Respond) -> None:
        if response.answer is not None:
            headers: Headers = [
                (name, text)
                for name, text in response.answer.headers
                if name.lower() not in HOP_BY_HOP_HEADERS
            ]
            await self._send(
                send,
                response.answer.status,
                headers,
                response.answer.body,
            )
            return
        match response.result:
            case CallResult.NOT_RUN:
                await self._send_status(
                    send, UNAVAILABLE, response.retry_after_s
                )
            case CallResult.FAILED:
                await self._send_status(send, BAD_GATEWAY)
            case CallResult.LATE:
                await self._send_status(send, OUT_OF_TIME)

    async def _send_status(
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
        if self.shutdown.begun or status == REQUEST_TIMEOUT:
            headers.append((b'connection', b'close'))
        await send_answer(send, status, body, tuple(headers))


def _reject_body(failure: BodyFailure, request_id: str) -> Rejection:
    """Return how a call is rejected whose body was not read to its end."""
    match failure:
        case BodyFailure.TOO_LARGE:
            status = TOO_LARGE
        case BodyFailure.NO_MEMORY:
            status = UNAVAILABLE
        case BodyFailure.STALLED:
            status = REQUEST_TIMEOUT
    return Rejection(status, failure.value, request_id)
