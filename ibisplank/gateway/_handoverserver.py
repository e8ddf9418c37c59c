"""Calls that other gateways hand over to this one."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    CallCancel,
    CallEnding,
    CallReply,
    CallRequest,
    Message,
)
from ibisplank.faults import Boundary
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._incoming import (
    CallHead,
    IncomingCall,
    Rejection,
    find_route,
)
from ibisplank.gateway._plan import CallResult, Respond
from ibisplank.ids import MemberId
from ibisplank.process import log_event
from ibisplank.request import CallDigests

#: Calls of all other gateways in flight here.
MAX_CALLS = 256
#: Interval at which the end of all calls is awaited.
DRAIN_POLL_S = 0.02


async def _drop(member: MemberId, message: Message) -> bool:
    """Drop a message; the default until the mesh is set."""
    return False


@dataclass(slots=True)
class HandoverServer:
    """Sends calls of other gateways to backend servers.

    Such a call uses the limits, budgets and paces of this gateway, which is the
    one that the servers see. The gateway that has accepted the call has
    counted it for the retry budget.

    Parameters
    ----------
    execute : callable
        Executes a call; returns its final answer.

    Attributes
    ----------
    reply : callable
        Sends a message back to a gateway.
    closed : bool
        Whether further calls are declined.
    """

    cluster: ClusterState
    execute: Callable[[IncomingCall], Awaitable[Respond]]
    clock: Callable[[], float]
    reply: Callable[[MemberId, Message], Awaitable[bool]] = _drop
    closed: bool = False
    _scopes: dict[tuple[MemberId, int], anyio.CancelScope] = field(
        default_factory=dict
    )

    def accept(
        self, member: MemberId, request: CallRequest, group: TaskGroup
    ) -> None:
        """Start to serve a call of another gateway, once however often sent."""
        if (member, request.number) in self._scopes:
            log_event('call of another gateway repeated', gateway=member)
            return
        call = None
        with self.cluster.faults.contain(
            Boundary.HANDED_OVER_CALL, gateway=member
        ):
            call = self._make_call(request)
        if call is None:
            group.start_soon(self._decline, member, request)
            return
        scope = anyio.CancelScope()
        self._scopes[(member, request.number)] = scope
        group.start_soon(self._serve, member, request.number, call, scope)

    def cancel(self, member: MemberId, message: CallCancel) -> None:
        """Cancel a call whose caller has left."""
        scope = self._scopes.get((member, message.number))
        if scope is not None:
            scope.cancel()

    async def drain(self) -> None:
        """Decline further calls and wait until all others have ended."""
        self.closed = True
        while self._scopes:
            await anyio.sleep(DRAIN_POLL_S)

    def _make_call(self, request: CallRequest) -> IncomingCall | None:
        """Return the call, None if it is not accepted."""
        if self.closed or len(self._scopes) >= MAX_CALLS:
            return None
        config = self.cluster.config
        head = CallHead(
            method=request.method,
            target=request.target,
            host=request.host,
            caller='',
            path=request.path,
            request_id=request.request_id,
            deadline_s=request.left_s,
            forwarded=list(request.headers),
            size=request.size,
        )
        route = find_route(head, self.cluster.routes, config.limits)
        if isinstance(route, Rejection):
            log_event(
                'call of another gateway declined',
                id=route.request_id,
                reason=route.reason,
                config=config.version,
            )
            return None
        now = self.clock()
        return IncomingCall(
            head,
            route.limit_attempts(request.attempts),
            request.body,
            now,
            now + request.left_s,
            CallDigests(request.digest, request.content_digest),
            service=request.service,
        )

    async def _decline(self, member: MemberId, request: CallRequest) -> None:
        await self.reply(member, CallReply(request.number, CallEnding.DECLINED))

    async def _serve(
        self,
        member: MemberId,
        number: int,
        call: IncomingCall,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                response = await self._execute(call)
                await self.reply(member, make_reply(number, response))
        finally:
            self._scopes.pop((member, number))

    async def _execute(self, call: IncomingCall) -> Respond:
        """Execute a call; one that fails unexpectedly may have run."""
        try:
            return await self.execute(call)
        except Exception as error:
            self.cluster.faults.record(
                Boundary.HANDED_OVER_CALL,
                error,
                id=call.head.request_id.decode('latin-1'),
            )
            return Respond(CallResult.FAILED)


def make_reply(number: int, response: Respond) -> CallReply:
    """Return the reply that carries the final answer of a call."""
    answer = response.answer
    if answer is not None:
        return CallReply(
            number,
            CallEnding.ANSWERED,
            answer.status,
            tuple(answer.headers),
            answer.body,
        )
    if response.result is CallResult.NOT_RUN:
        return CallReply(
            number,
            CallEnding.NOT_RUN,
            retry_after_s=response.retry_after_s,
        )
    return CallReply(number, CallEnding.UNKNOWN)
