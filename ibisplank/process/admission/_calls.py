"""ASGI application of an entry, which serves the callers' HTTP requests."""

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
from ibisplank.process.admission._atmostonce import AtMostOnceRunner
from ibisplank.process.admission._permits import Permits
from ibisplank.process.admission._share import Permit
from ibisplank.process.control._sharedsuspects import SharedSuspects
from ibisplank.process.daemons._metrics import CallSample, Metrics
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
#: Longest wait for another member to lend a permit.
PERMIT_TIMEOUT_S = 0.1
PERMIT_POLL_INTERVAL_S = 0.002
#: Response headers of a backend server that are not passed to the caller.
DROPPED_HEADERS = frozenset(
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
class CallDependencies:
    """Components that the call handler uses."""

    slots: SlotAllocator
    permits: Permits
    once_runner: AtMostOnceRunner
    attempts: AttemptRunner
    suspects: SharedSuspects
    metrics: Metrics
    clock: Callable[[], float]


class CallHandler:
    """ASGI application that admits calls and returns their answers.

    Parameters
    ----------
    is_ready : callable
        Returns whether the platform's balancer should send calls here.
    body_limit : int
        Maximum size of a request body in bytes.

    Attributes
    ----------
    in_flight : int
        Number of calls that have not been answered yet.
    """

    def __init__(
        self,
        dependencies: CallDependencies,
        is_ready: Callable[[], bool],
        body_limit: int,
    ) -> None:
        self.config = ConfigState()
        self.in_flight = 0
        self._dependencies = dependencies
        self._is_ready = is_ready
        self._body_limit = body_limit
        self._contracts: dict[str, Contract] = {}

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one HTTP request."""
        match scope['path']:
            case '/healthz':
                await send_answer(send, OK, b'ok\n')
            case '/readyz':
                status = OK if self._is_ready() else UNAVAILABLE
                await send_answer(send, status, b'')
            case '/metrics':
                await send_answer(send, OK, self._dependencies.metrics.render())
            case _:
                await self._serve(scope, receive, send)

    def update_config(self, config: ConfigState) -> None:
        """Apply a configuration and index its contracts by API key."""
        self.config = config
        self._contracts = config.index_keys()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = self._dependencies.clock()
        sample = CallSample()
        self.in_flight += 1
        try:
            answer = await self._answer_call(scope, receive, started, sample)
        except Refused as refused:
            sample.refusal = refused.kind
            body, headers = render_refusal(refused)
            await send_answer(send, refused.status, body, headers)
        else:
            headers = tuple(
                pair
                for pair in answer.headers
                if pair[0].lower() not in DROPPED_HEADERS
            )
            await send_answer(send, answer.status, answer.body, headers)
        finally:
            self.in_flight -= 1
            sample.latency_s = self._dependencies.clock() - started
            self._dependencies.metrics.add_sample(sample)

    async def _answer_call(
        self,
        scope: Scope,
        receive: Receive,
        now: float,
        sample: CallSample,
    ) -> Answer:
        if not self.config.revision:
            raise refuse_failed(
                RefusalKind.NOT_READY,
                'this VM has no configuration yet; try another VM',
            )
        contract, call = parse_call(self._contracts, scope, now)
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
            self._dependencies.permits.release(call.customer, permit)

    async def _admit(self, call: Call) -> Permit:
        """Return a permit, waiting up to `PERMIT_TIMEOUT_S` for one.

        Raises
        ------
        Refused
            The customer has reached its limit on the call rate or on calls
            in flight.
        """
        dependencies = self._dependencies
        give_up_at = min(call.deadline, dependencies.clock() + PERMIT_TIMEOUT_S)
        while True:
            now = dependencies.clock()
            permit = dependencies.permits.admit(
                call.customer, call.deadline, now
            )
            if permit is not None:
                return permit
            if now >= give_up_at:
                raise refuse_busy(
                    dependencies.permits.find_reached_limit(call.customer)
                )
            dependencies.slots.perform(
                dependencies.permits.request(call.customer, now)
            )
            await anyio.sleep(PERMIT_POLL_INTERVAL_S)

    async def _run(self, call: Call, body: bytes) -> Answer:
        digest = digest_request(call.service, call.method, call.target, body)
        self._dependencies.suspects.check(digest, may_have_run=False)
        if call.request_id is None or call.klass.idempotent:
            return await self._dependencies.attempts.run(call, body, digest)
        return await self._dependencies.once_runner.run(
            call,
            call.request_id,
            body,
            digest,
        )
