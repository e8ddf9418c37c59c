"""What a backend server's whole answer means for the call."""

from enum import Enum

from ibisplank.connection import Answer
from ibisplank.gateway._dialect import Dialect, find_header

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421
#: Statuses that promise callers that nothing ran.
PROMISES = frozenset((408, 421, 429, 503))


class Verdict(Enum):
    """Meaning of a whole answer.

    Attributes
    ----------
    GOOD
        It goes to the caller.
    FAILURE
        The server's own failure; it has run.
    REFUSED
        The call has not run.
    ELSEWHERE
        Another server has the address; the call has not run.
    UNUSABLE
        It may have run, and the answer can't be passed on.
    """

    GOOD = 'good'
    FAILURE = 'failure'
    REFUSED = 'refused'
    ELSEWHERE = 'elsewhere'
    UNUSABLE = 'unusable'


def judge_answer(answer: Answer, dialect: Dialect) -> Verdict:
    """Return what an answer means.

    A status that promises that nothing ran is passed on only where the
    server itself says so, lest the caller send a call twice.
    """
    headers = list(answer.headers)
    if answer.status == MISDIRECTED:
        return Verdict.ELSEWHERE
    if find_header(headers, dialect.not_run) is not None:
        return Verdict.REFUSED
    if answer.status in PROMISES:
        return Verdict.UNUSABLE
    if find_header(headers, b'content-encoding') is not None:
        return Verdict.UNUSABLE
    if FIRST_SUCCESS <= answer.status < FIRST_REDIRECT:
        signed = find_header(headers, dialect.signature) is not None
        return Verdict.GOOD if signed else Verdict.UNUSABLE
    if answer.status >= FIRST_SERVER_ERROR:
        return Verdict.FAILURE
    return Verdict.GOOD
