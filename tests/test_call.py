"""Parsing of calls and contracts, retries, and suspect requests."""

import pytest

from ibisplank.connection import Scope
from ibisplank.errors import Refused, SettingError
from ibisplank.ids import RefusalKind, RunStatus
from ibisplank.request import (
    Failure,
    RetryBudget,
    Suspects,
    Verdict,
    digest_request,
    may_retry,
    parse_call,
)
from ibisplank.version import Contract, digest_key, parse_contract

DOCUMENT = f"""
customer = "c"
rate_per_s = 10.0
in_flight = 4
key_digests = ["{digest_key('k')}"]
[[services.s.classes]]
name = "read"
method = "GET"
path = "/"
deadline_ms = 1000
idempotent = true
[[services.s.classes]]
name = "urgent"
method = "GET"
path = "/urgent"
deadline_ms = 500
idempotent = true
priority = "emergency"
[[services.s.classes]]
name = "write"
method = "POST"
path = "/"
deadline_ms = 1000
"""


def make_scope(
    path: str = '/s/x',
    method: str = 'GET',
    **headers: str,
) -> Scope:
    fields = {'authorization': 'Bearer k', **headers}
    return {
        'method': method,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': [
            (name.replace('_', '-').encode(), text.encode())
            for name, text in fields.items()
        ],
    }


def index_contracts() -> dict[str, Contract]:
    return {digest_key('k'): parse_contract(DOCUMENT)}


@pytest.mark.parametrize(
    ('scope', 'status', 'kind'),
    [
        (make_scope(authorization='x'), 401, RefusalKind.UNKNOWN_KEY),
        (make_scope(authorization='Bearer z'), 401, RefusalKind.UNKNOWN_KEY),
        (make_scope('/other/x'), 404, RefusalKind.NOT_IN_CONTRACT),
        (make_scope(method='PUT'), 403, RefusalKind.NOT_IN_CONTRACT),
        (
            make_scope(ibisplank_class='urgent'),
            403,
            RefusalKind.NOT_IN_CONTRACT,
        ),
        (
            make_scope(ibisplank_deadline_ms='soon'),
            400,
            RefusalKind.BAD_REQUEST,
        ),
        (make_scope(ibisplank_deadline_ms='0'), 400, RefusalKind.BAD_REQUEST),
        (make_scope(ibisplank_request_id='a/b'), 400, RefusalKind.BAD_REQUEST),
        (
            make_scope(ibisplank_request_id='x' * 129),
            400,
            RefusalKind.BAD_REQUEST,
        ),
        (make_scope(x='y' * 40000), 431, RefusalKind.HEADERS_TOO_LARGE),
    ],
)
def test_calls_are_refused_with_status_and_kind(
    scope: Scope,
    status: int,
    kind: RefusalKind,
) -> None:
    with pytest.raises(Refused) as refused:
        parse_call(index_contracts(), scope, 0.0)
    assert refused.value.status == status
    assert refused.value.kind is kind
    assert refused.value.ran is RunStatus.NOT_RUN


def test_longest_path_decides_the_class() -> None:
    _, call = parse_call(index_contracts(), make_scope('/s/urgent/1'), 0.0)
    assert call.klass.name == 'urgent'
    _, call = parse_call(index_contracts(), make_scope('/s/1'), 0.0)
    assert call.klass.name == 'read'


def test_shorter_deadline_applies() -> None:
    short = make_scope(ibisplank_deadline_ms='200')
    assert parse_call(index_contracts(), short, 5.0)[1].deadline == 5.2
    long = make_scope(ibisplank_deadline_ms='9000')
    assert parse_call(index_contracts(), long, 5.0)[1].deadline == 6.0


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    scope = make_scope(
        connection='close, x-hop',
        x_hop='1',
        x_kept='2',
        te='trailers',
        upgrade='h2c',
    )
    _, call = parse_call(index_contracts(), scope, 0.0)
    assert call.forwarded == [(b'x-kept', b'2')]


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        (('rate_per_s = 10.0', 'rate_per_s = 0.0'), 'rate_per_s'),
        (('in_flight = 4', 'in_flight = 0'), 'in_flight'),
        (('in_flight = 4', 'in_flight = 4\nextra = 1'), 'extra'),
        (('"emergency"', '"top"'), 'priority must be one of'),
        (('"/urgent"', '"urgent"'), 'path must start'),
        (('name = "write"', 'name = "read"'), 'listed twice'),
        (('deadline_ms = 500', 'deadline_ms = 50000'), 'deadline_ms'),
        (('customer = "c"', 'customer = "C/x"'), 'a-z'),
        (('customer = "c"', 'customer = '), 'contract'),
    ],
)
def test_bad_contracts(change: tuple[str, str], message: str) -> None:
    with pytest.raises(SettingError, match=message):
        parse_contract(DOCUMENT.replace(*change, 1))


@pytest.mark.parametrize(
    ('method', 'failure', 'retried_above', 'tokens', 'now', 'allowed'),
    [
        ('GET', Failure.UNKNOWN, False, 5.0, 0.0, True),
        ('GET', Failure.UNKNOWN, False, 0.0, 0.0, False),
        ('GET', Failure.UNKNOWN, True, 5.0, 0.0, False),
        ('GET', Failure.UNKNOWN, False, 5.0, 1.0, False),
        ('GET', Failure.SHED, False, 5.0, 0.0, True),
        ('POST', Failure.UNKNOWN, False, 5.0, 0.0, False),
        ('POST', Failure.SHED, False, 5.0, 0.0, True),
        ('POST', Failure.NOT_SENT, True, 0.0, 0.0, True),
        ('POST', Failure.NOT_SENT, False, 0.0, 1.0, False),
    ],
)
def test_retries(
    method: str,
    failure: Failure,
    retried_above: bool,
    tokens: float,
    now: float,
    allowed: bool,
) -> None:
    headers = {'ibisplank_retried_above': '1'} if retried_above else {}
    _, call = parse_call(
        index_contracts(),
        make_scope(method=method, **headers),
        0.0,
    )
    budget = RetryBudget(tokens=tokens)
    assert may_retry(call, failure, budget, now) is allowed


def test_death_during_a_trial_refuses_a_request_for_a_time() -> None:
    suspects = Suspects()
    digest = digest_request('s', b'GET', b'/', b'bad')
    suspects.record_death(digest, 0.0, trial=False)
    assert suspects.judge(digest, 1.0) is Verdict.SUSPECT
    suspects.record_death(digest, 2.0, trial=True)
    assert suspects.judge(digest, 3.0) is Verdict.REFUSED
    assert not suspects.clear(digest, 3.0)
    assert suspects.judge(digest, 3.0) is Verdict.REFUSED
    assert suspects.judge(digest, 303.0) is Verdict.CLEAR
    other = digest_request('s', b'GET', b'/', b'good')
    assert suspects.judge(other, 3.0) is Verdict.CLEAR


def test_deaths_without_a_trial_refuse_no_request() -> None:
    suspects = Suspects()
    suspects.record_death('popular', 0.0, trial=False)
    suspects.record_death('popular', 0.0, trial=False)
    assert suspects.judge('popular', 1.0) is Verdict.SUSPECT
    assert suspects.clear('popular', 1.0)
    assert suspects.judge('popular', 1.0) is Verdict.CLEAR


def test_number_of_suspects_is_bounded() -> None:
    suspects = Suspects()
    for number in range(3000):
        name = str(number)
        suspects.record_death(name, 0.0, trial=False)
    assert len(suspects) == 1000
