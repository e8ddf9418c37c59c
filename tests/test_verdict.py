"""What an answer means: nothing is passed on that would mislead a caller."""

import pytest

from ibisplank.connection import Answer
from ibisplank.gateway._verdict import Verdict, judge_answer
from ibisplank.platform import HEADER_NAMES

SIGNED = (b'X-Response-Signature', b's')
NOT_RUN = (b'X-Not-Executed', b'1')


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, [SIGNED], Verdict.GOOD),
        (200, [], Verdict.UNUSABLE),
        (200, [SIGNED, (b'Content-Encoding', b'gzip')], Verdict.UNUSABLE),
        (404, [SIGNED], Verdict.GOOD),
        (302, [SIGNED], Verdict.GOOD),
        (500, [SIGNED], Verdict.FAILURE),
        (504, [SIGNED], Verdict.FAILURE),
        (503, [NOT_RUN], Verdict.REFUSED),
        (429, [NOT_RUN], Verdict.REFUSED),
        (400, [NOT_RUN], Verdict.REFUSED),
        (503, [SIGNED], Verdict.UNUSABLE),
        (429, [], Verdict.UNUSABLE),
        (408, [], Verdict.UNUSABLE),
        (421, [], Verdict.ELSEWHERE),
    ],
)
def test_judging(
    status: int,
    headers: list[tuple[bytes, bytes]],
    verdict: Verdict,
) -> None:
    assert judge_answer(Answer(status, headers, b''), HEADER_NAMES) is verdict
