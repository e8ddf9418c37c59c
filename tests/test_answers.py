"""Classification of answers; misleading ones are not passed on."""

import pytest

from ibisplank.connection import Answer
from ibisplank.gateway._answers import AnswerKind, classify_answer
from ibisplank.platform import HEADER_NAMES

SIGNED = (b'X-Response-Signature', b's')
NOT_RUN = (b'X-Not-Executed', b'1')


@pytest.mark.parametrize(
    ('status', 'headers', 'kind'),
    [
        (200, [SIGNED], AnswerKind.GOOD),
        (200, [], AnswerKind.UNUSABLE),
        (200, [SIGNED, (b'Content-Encoding', b'gzip')], AnswerKind.UNUSABLE),
        (404, [SIGNED], AnswerKind.GOOD),
        (302, [SIGNED], AnswerKind.GOOD),
        (500, [SIGNED], AnswerKind.FAILURE),
        (504, [SIGNED], AnswerKind.FAILURE),
        (503, [NOT_RUN], AnswerKind.REFUSED),
        (429, [NOT_RUN], AnswerKind.REFUSED),
        (400, [NOT_RUN], AnswerKind.REFUSED),
        (503, [SIGNED], AnswerKind.UNUSABLE),
        (429, [], AnswerKind.UNUSABLE),
        (408, [], AnswerKind.UNUSABLE),
        (421, [], AnswerKind.ELSEWHERE),
    ],
)
def test_classify_answer(
    status: int,
    headers: list[tuple[bytes, bytes]],
    kind: AnswerKind,
) -> None:
    assert classify_answer(Answer(status, headers, b''), HEADER_NAMES) is kind
