"""Record of calls and answers, and guarantees that hold under every fault."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ibisplank.standin import OwnAnswer

#: Statuses that state that no backend server has run the call.
NOT_RUN = frozenset((408, 421, 429, 503))
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


@dataclass(frozen=True)
class SentCall:
    """A call as its caller sent it.

    Attributes
    ----------
    path : str
        Path of the request.
    at_most_once : bool
        Whether the route of the path runs a call at most once.
    body : bytes
        Body of the request.
    """

    path: str
    at_most_once: bool
    body: bytes = b''


@dataclass(frozen=True)
class ReceivedAnswer:
    """An answer as its caller received it.

    Attributes
    ----------
    status : int
        Status of the answer.
    request_id : str
        Request id in the headers of the answer.
    signed : bool
        Whether the answer has the signature header of a backend server.
    body : bytes
        Body of the answer.
    """

    status: int
    request_id: str
    signed: bool
    body: bytes


@dataclass
class CallHistory:
    """Calls and answers of one soak run, by request id.

    Attributes
    ----------
    calls : dict of str to SentCall
        Calls that were sent.
    answers : dict of str to list of ReceivedAnswer
        Answers that were received, in order. A call that was sent again has an
        answer for each time.
    """

    calls: dict[str, SentCall] = field(default_factory=dict)
    answers: dict[str, list[ReceivedAnswer]] = field(default_factory=dict)

    def find_violations(
        self, runs: Iterable[str], own_answers: Iterable[OwnAnswer]
    ) -> list[str]:
        """Return a message for each violated guarantee.

        Backend servers run only calls that were sent (else `unasked`), and run
        a call at most once if its route requires it. A call on such a route
        has not run if the status of its answer is in `NOT_RUN`. A successful
        answer belongs to its call and is signed (else `mixed`), and the call
        has run. A successful or signed answer has the status and body of one
        that a backend server gave to this call.

        Parameters
        ----------
        runs : iterable of str
            Request id of each run on any backend server.
        own_answers : iterable of OwnAnswer
            Answers that any backend server gave.
        """
        run_counts = Counter(runs)
        given: defaultdict[str, list[OwnAnswer]] = defaultdict(list)
        for own in own_answers:
            given[own.request_id].append(own)
        violations = [
            f'unasked: {request_id}'
            for request_id in run_counts
            if request_id not in self.calls
        ]
        for request_id, call in self.calls.items():
            if call.at_most_once and run_counts[request_id] > 1:
                violations.append(
                    f'ran {run_counts[request_id]} times: {request_id}'
                )
            for answer in self.answers.get(request_id, []):
                violations.extend(
                    _check_answer(
                        request_id, call, answer, run_counts[request_id]
                    )
                )
                violations.extend(
                    _check_source(request_id, answer, given[request_id])
                )
        return violations


def _is_success(answer: ReceivedAnswer) -> bool:
    return FIRST_SUCCESS <= answer.status < FIRST_REDIRECT


def _check_source(
    request_id: str, answer: ReceivedAnswer, given: list[OwnAnswer]
) -> list[str]:
    """Return a message if no server gave this answer to the call."""
    if not answer.signed and not _is_success(answer):
        return []
    if any(
        (own.status, own.body) == (answer.status, answer.body) for own in given
    ):
        return []
    statuses = sorted(own.status for own in given)
    return [f'no own answer: {request_id}, {answer.status} for {statuses}']


def _check_answer(
    request_id: str, call: SentCall, answer: ReceivedAnswer, runs: int
) -> list[str]:
    """Return a message for each guarantee that an answer violates."""
    violations = []
    if call.at_most_once and answer.status in NOT_RUN and runs:
        violations.append(f'said not to have run: {request_id}')
    if not _is_success(answer):
        return violations
    expected = f'{call.path} '.encode() + call.body
    if (
        answer.body != expected
        or answer.request_id != request_id
        or not answer.signed
    ):
        violations.append(f'mixed: {request_id}')
    if not runs:
        violations.append(f'answered without a run: {request_id}')
    return violations
