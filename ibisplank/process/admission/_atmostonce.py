"""At-most-once execution of calls that carry a request id."""

from anyio.abc import TaskGroup

from ibisplank.connection import Answer
from ibisplank.errors import Refused, StoreDown
from ibisplank.ids import CustomerId, RefusalKind, RequestId, RunStatus
from ibisplank.process.daemons._clock import make_token
from ibisplank.process.placing._attempts import AttemptRunner
from ibisplank.request import (
    AlreadyClaimed,
    Call,
    ClaimRecord,
    Claims,
    ClaimState,
    refuse_failed,
)

CONFLICT = 409


class AtMostOnceRunner:
    """Claims the request id of a call, runs the call and records its outcome.

    In the records of claims an attempt is one arrival of a call at an entry,
    which may make several attempts on backend servers.

    Attributes
    ----------
    pending_outcomes : int
        Number of outcomes whose write has not ended.
    """

    def __init__(self, claims: Claims, attempts: AttemptRunner) -> None:
        self.pending_outcomes = 0
        self._claims = claims
        self._attempts = attempts
        self._group: TaskGroup | None = None

    def set_task_group(self, group: TaskGroup) -> None:
        """Set the task group in which outcomes are written."""
        self._group = group

    async def run(
        self,
        call: Call,
        request_id: RequestId,
        body: bytes,
        digest: str,
    ) -> Answer:
        """Return the answer to a call, which runs at most once.

        If an earlier call with the same request id has an answer on record,
        that answer is returned and the call does not run.

        Raises
        ------
        Refused
            There is no answer, or the request id could not be claimed.
        """
        claims = self._claims
        token = make_token()
        try:
            await claims.claim(call.customer, request_id, token)
        except AlreadyClaimed as claimed:
            return _replay_answer(claimed.record)
        except StoreDown as error:
            self._schedule_outcome(call, request_id, claims.make_not_run(token))
            raise refuse_failed(
                RefusalKind.STORE_DOWN,
                'the request id could not be claimed; try again later',
            ) from error
        try:
            answer = await self._attempts.run(call, body, digest)
        except Refused as refused:
            if refused.ran is RunStatus.NOT_RUN:
                self._schedule_outcome(
                    call, request_id, claims.make_not_run(token)
                )
            raise
        headers = tuple(answer.headers)
        outcome = claims.make_outcome(
            token, answer.status, headers, answer.body
        )
        self._schedule_outcome(call, request_id, outcome)
        return answer

    def _schedule_outcome(
        self,
        call: Call,
        request_id: RequestId,
        record: ClaimRecord,
    ) -> None:
        if self._group is not None:
            self.pending_outcomes += 1
            self._group.start_soon(
                self._write_outcome,
                call.customer,
                request_id,
                record,
            )

    async def _write_outcome(
        self,
        customer: CustomerId,
        request_id: RequestId,
        record: ClaimRecord,
    ) -> None:
        try:
            await self._claims.record(customer, request_id, record)
        finally:
            self.pending_outcomes -= 1


def _replay_answer(record: ClaimRecord) -> Answer:
    """Return the recorded answer to an earlier call with the same request id.

    Raises
    ------
    Refused
        The earlier call has no answer yet, or its answer was too large to
        record.
    """
    if record.state is ClaimState.DONE and record.whole:
        return Answer(record.status, record.headers, record.body)
    if record.state is ClaimState.DONE:
        raise Refused(
            CONFLICT,
            RefusalKind.ALREADY_RAN,
            RunStatus.RAN,
            'the answer was too large to keep; read what the call changed',
        )
    raise Refused(
        CONFLICT,
        RefusalKind.IN_PROGRESS,
        RunStatus.UNKNOWN,
        'another attempt owns this request id; ask again for its outcome',
    )
