"""The callers' side of an entry: from an HTTP request to its answer."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ibisplank.connection import (
    Answer,
    Receive,
    Scope,
    Send,
    read_body,
    send_answer,
)
from ibisplank.errors import Refused
from ibisplank.ids import RefusalKind, RunStatus
from ibisplank.process.admission._once import OnceRunner
from ibisplank.process.admission._permits import Permits
from ibisplank.process.admission._share import Permit
from ibisplank.process.daemons._metrics import Metrics, Sample
from ibisplank.process.knowledge._deaths import Deaths
from ibisplank.process.placing._allocator import SlotAllocator
from ibisplank.process.placing._attempts import AttemptRunner
from ibisplank.request import (
    Call,
    digest_request,
    parse_call,
    refuse_busy,
    refuse_failed,
    render_refusal,
)
from ibisplank.version import ConfigState, Contract

OK = 200
CONFLICT = 409
TOO_LARGE = 413
UNAVAILABLE = 503
#: Longest wait for a permit that another member may lend.
PERMIT_WAIT_S = 0.1
PERMIT_POLL_S = 0.002
DROPPED = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'content-length',
        b'transfer-encoding',
        b'proxy-authenticate',
        b'te',
        b'trailer',
        b'upgrade',
        b'ibisplank-load',
        b'ibisplank-attempt',
    ),
)


@dataclass(slots=True)
class CallParts:
    """What the call path is made of."""

    slots: SlotAllocator
    permits: Permits
    once: OnceRunner
    attempts: AttemptRunner
    deaths: Deaths
    metrics: Metrics
    clock: Callable[[], float]


class CallPath:
    """ASGI application that serves callers.

    Parameters
    ----------
    is_ready : callable
        Tells whether the platform's balancer should send calls here.
    body_limit : int
        Largest request body in bytes.

    Attributes
    ----------
    in_flight : int
        Calls that are not answered yet.
    """

    def __init__(
        self,
        parts: CallParts,
        is_ready: Callable[[], bool],
        body_limit: int,
    ) -> None:
        self.config = ConfigState()
        self.in_flight = 0
        self._parts = parts
        self._is_ready = is_ready
        self._body_limit = body_limit
        self._keys: dict[str, Contract] = {}

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        match scope['path']:
            case '/healthz':
                await send_answer(send, OK, b'ok\n')
            case '/readyz':
                status = OK if self._is_ready() else UNAVAILABLE
                await send_answer(send, status, b'')
            case '/metrics':
                await send_answer(send, OK, self._parts.metrics.render())
            case _:
                await self._serve(scope, receive, send)

    def learn_config(self, config: ConfigState) -> None:
        """Put a configuration in force."""
        self.config = config
        self._keys = config.index_keys()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = self._parts.clock()
        sample = Sample()
        self.in_flight += 1
        try:
            whole = await self._answer_call(scope, receive, started, sample)
        except Refused as refused:
            sample.refusal = refused.kind
            body, headers = render_refusal(refused)
            await send_answer(send, refused.status, body, headers)
        else:
            headers = tuple(
                pair for pair in whole.headers if pair[0].lower() not in DROPPED
            )
            await send_answer(send, whole.status, whole.body, headers)
        finally:
            self.in_flight -= 1
            sample.latency_s = self._parts.clock() - started
            self._parts.metrics.note(sample)

    async def _answer_call(
        self,
        scope: Scope,
        receive: Receive,
        now: float,
        sample: Sample,
    ) -> Answer:
        if not self.config.revision:
            raise refuse_failed(
                RefusalKind.NOT_READY,
                'this VM has no configuration yet; try another VM',
            )
        contract, call = parse_call(self._keys, scope, now)
        sample.customer = contract.customer
        sample.klass = call.klass.name
        body = await read_body(receive, self._body_limit)
        if body is None:
            raise Refused(
                TOO_LARGE,
                RefusalKind.BODY_TOO_LARGE,
                RunStatus.NOT_RUN,
                f'keep the body below {self._body_limit} bytes',
            )
        permit = await self._admit(call)
        try:
            return await self._run(call, body)
        finally:
            self._parts.permits.release(call.customer, permit)

    async def _admit(self, call: Call) -> Permit:
        """Wait for a permit, for a short time.

        Raises
        ------
        Refused
            The customer is over its rate or its calls in flight.
        """
        parts = self._parts
        give_up = min(call.deadline, parts.clock() + PERMIT_WAIT_S)
        while True:
            now = parts.clock()
            permit = parts.permits.admit(call.customer, call.deadline, now)
            if permit is not None:
                return permit
            if now >= give_up:
                raise refuse_busy(parts.permits.explain(call.customer))
            parts.slots.perform(parts.permits.ask(call.customer, now))
            await anyio.sleep(PERMIT_POLL_S)

    async def _run(self, call: Call, body: bytes) -> Answer:
        digest = digest_request(call.service, call.method, call.target, body)
        self._parts.deaths.check(digest, may_have_run=False)
        if call.request_id is None or call.klass.idempotent:
            return await self._parts.attempts.run(call, body, digest)
        return await self._parts.once.run(
            call,
            call.request_id,
            body,
            digest,
        )
