"""What a backend server's whole answer means for the call."""

from enum import Enum

from ibisplank.connection import Answer
from ibisplank.gateway._headers import HeaderNames, find_header

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421
#: Statuses that promise callers that nothing ran.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AnswerKind(Enum):
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


def classify_answer(answer: Answer, header_names: HeaderNames) -> AnswerKind:
    """Return what an answer means.

    A status that promises that nothing ran is passed on only where the
    server itself says so, lest the caller send a call twice.
    """
    headers = list(answer.headers)
    if answer.status == MISDIRECTED:
        return AnswerKind.ELSEWHERE
    if find_header(headers, header_names.not_run) is not None:
        return AnswerKind.REFUSED
    if answer.status in NOT_RUN_STATUSES:
        return AnswerKind.UNUSABLE
    if find_header(headers, b'content-encoding') is not None:
        return AnswerKind.UNUSABLE
    if FIRST_SUCCESS <= answer.status < FIRST_REDIRECT:
        signed = find_header(headers, header_names.signature) is not None
        return AnswerKind.GOOD if signed else AnswerKind.UNUSABLE
    if answer.status >= FIRST_SERVER_ERROR:
        return AnswerKind.FAILURE
    return AnswerKind.GOOD
