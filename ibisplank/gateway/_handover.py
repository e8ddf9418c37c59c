"""Calls that this gateway hands over to others, as it reaches no server."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import (
    Answer,
    CallCancel,
    CallEnding,
    CallReply,
    CallRequest,
    Message,
    check_echo,
)
from ibisplank.errors import AlienAnswer
from ibisplank.gateway._activecall import ActiveCall
from ibisplank.gateway._answers import AnswerKind, classify_answer
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._headers import HeaderNames
from ibisplank.gateway._plan import Outcome
from ibisplank.ids import MemberId, ServiceId

#: Calls in flight from one gateway to another.
MAX_CALLS_PER_PEER = 64
#: Calls with longer bodies are not handed over: they would delay the messages
#: that share the stream.
MAX_BODY_BYTES = 262144


def _drop(member: MemberId, message: Message) -> bool:
    """Drop a message; the default until the mesh is set."""
    return False


@dataclass(slots=True)
class _Pending:
    """A call that was handed over and has no reply so far."""

    peer: MemberId
    reply: CallReply | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class Handover:
    """Hands calls over to gateways that reach the servers.

    Load pattern: most gateways of a zone reach no server for seconds. Their
    callers stay, as the others of the zone are too few. Each call goes to one
    peer, which sends it as its own calls but hands it on to nobody. The calls
    are spread over the peers, those in the gateway's zone first.

    Attributes
    ----------
    send : callable
        Sends a message to a gateway; returns whether it is connected.
    """

    fleet: Fleet
    header_names: HeaderNames
    rng: random.Random
    send: Callable[[MemberId, Message], bool] = _drop
    _sent: int = 0
    _pending: dict[int, _Pending] = field(default_factory=dict)

    def choose_peer(self, active: ActiveCall) -> MemberId | None:
        """Return the gateway to hand a call over to, None to keep it.

        Of two random candidates it is the one with fewer calls of this gateway.
        """
        if not self.fleet.own_paths.is_lost(active.service):
            return None
        if active.call.handed_over or len(active.call.body) > MAX_BODY_BYTES:
            return None
        calls = self._count_calls()
        able = [
            member
            for member in self._list_able(active.service)
            if member not in active.tried_peers
            and calls.get(member, 0) < MAX_CALLS_PER_PEER
        ]
        near = self.fleet.list_zone_members().intersection(able)
        candidates = sorted(near) or able
        if not candidates:
            return None
        sampled = self.rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda each: calls.get(each, 0))

    def is_stuck(self, active: ActiveCall) -> bool:
        """Return whether a call can neither be sent nor handed over.

        This gateway reaches no server of its service, and its body is too long
        for the streams to the others.
        """
        if active.call.handed_over or active.plan.sends:
            return False
        lost = self.fleet.own_paths.is_lost(active.service)
        return lost and len(active.call.body) > MAX_BODY_BYTES

    async def run(
        self, active: ActiveCall, peer: MemberId, sent_at: float
    ) -> None:
        """Hand a call over and record what comes of it.

        The other gateway may use all attempts that are left, so that none is
        left after it has failed.
        """
        attempts = active.plan.count_attempts_left()
        try:
            reply = await self._exchange(active, peer, attempts)
        finally:
            active.wake()
        now = self.fleet.clock()
        match reply.ending:
            case CallEnding.ANSWERED:
                self._record_answer(active, peer, reply, attempts, sent_at)
            case CallEnding.NOT_RUN:
                active.record_step(peer, 'refused by the gateway', now)
                active.plan.record_refusal(reply.retry_after_s)
            case CallEnding.DECLINED:
                active.record_failure(peer, Outcome.UNSENT, now, 'declined')
            case CallEnding.UNKNOWN:
                active.record_failure(
                    peer, Outcome.UNKNOWN, now, 'lost', attempts
                )

    def record_reply(self, member: MemberId, reply: CallReply) -> None:
        """Record the ending of a call that was handed over."""
        pending = self._pending.get(reply.number)
        if pending is not None and pending.peer == member:
            pending.reply = reply
            pending.ended.set()

    def record_disconnect(self, member: MemberId) -> None:
        """End the calls at a gateway whose stream was lost.

        They may have run there.
        """
        for pending in self._pending.values():
            if pending.peer == member:
                pending.ended.set()

    def list_busy_peers(self) -> set[MemberId]:
        """Return the gateways that have calls of this one."""
        return {pending.peer for pending in self._pending.values()}

    async def _exchange(
        self, active: ActiveCall, peer: MemberId, attempts: int
    ) -> CallReply:
        self._sent += 1
        number = self._sent
        pending = _Pending(peer)
        self._pending[number] = pending
        try:
            request = self._make_request(active, number, attempts)
            if not self.send(peer, request):
                return CallReply(number, CallEnding.DECLINED)
            await pending.ended.wait()
        finally:
            self._pending.pop(number)
            if not pending.ended.is_set():
                self.send(peer, CallCancel(number))
        return pending.reply or CallReply(number, CallEnding.UNKNOWN)

    def _make_request(
        self, active: ActiveCall, number: int, attempts: int
    ) -> CallRequest:
        call = active.call
        head = call.head
        return CallRequest(
            number,
            active.service,
            head.method,
            head.target,
            head.host,
            head.path,
            head.request_id,
            tuple(head.forwarded),
            head.size,
            call.body,
            call.digests.own,
            call.digests.content,
            call.deadline_at - self.fleet.clock(),
            attempts,
        )

    def _record_answer(
        self,
        active: ActiveCall,
        peer: MemberId,
        reply: CallReply,
        attempts: int,
        sent_at: float,
    ) -> None:
        answer = Answer(reply.status, reply.headers, reply.body)
        request_id = active.call.head.request_id
        try:
            check_echo((self.header_names.request_id, request_id), answer)
        except AlienAnswer as error:
            active.count_step(active.service, error.kind)
            active.record_failure(
                peer,
                Outcome.UNKNOWN,
                self.fleet.clock(),
                repr(error),
                attempts,
            )
            return
        kind = classify_answer(answer, self.header_names)
        good = kind is AnswerKind.GOOD
        now = self.fleet.clock()
        if good:
            active.latencies.add(now - sent_at)
        step = 'answered' if good else 'failed'
        active.record_step(peer, step, now, str(reply.status))
        active.plan.record_answer(answer, good=good, runs=attempts)

    def _list_able(self, service: ServiceId) -> list[MemberId]:
        """Return the connected gateways that take calls and reach a service."""
        states = self.fleet.path_states
        return [
            member
            for member in self.fleet.list_connected()
            if states.is_accepting(member)
            and not states.is_lost(member, service)
        ]

    def _count_calls(self) -> dict[MemberId, int]:
        """Return the calls in flight by gateway."""
        counts: dict[MemberId, int] = {}
        for pending in self._pending.values():
            counts[pending.peer] = counts.get(pending.peer, 0) + 1
        return counts
