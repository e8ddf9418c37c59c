"""Classification of complete answers from backend servers."""

from enum import Enum

from ibisplank.connection import Answer
from ibisplank.gateway._headers import HeaderNames, find_header

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421
#: Statuses that tell callers that their call did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AnswerKind(Enum):
    """Class of a complete answer.

    Attributes
    ----------
    GOOD
        The answer is passed on to the caller.
    FAILURE
        The call ran and failed on the server.
    REFUSED
        The server refused the call, which has not run.
    ELSEWHERE
        Another server has this address; the call has not run.
    UNUSABLE
        The call may have run, but the answer cannot be passed on.
    """

    GOOD = 'good'
    FAILURE = 'failure'
    REFUSED = 'refused'
    ELSEWHERE = 'elsewhere'
    UNUSABLE = 'unusable'


def classify_answer(answer: Answer, header_names: HeaderNames) -> AnswerKind:
    """Return the class of an answer.

    Apart from 421, a status that says that the call did not run is trusted
    only if the header for this is set as well. Otherwise the caller might
    resend a call that has run.
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
