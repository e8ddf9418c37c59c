"""Calls that gateways without paths to the servers hand over to others."""

import contextlib
import functools
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest
from anyio.abc import TaskGroup

from harness.proxy import LinkFault
from harness.site import ServerLinks, Site, run_site
from ibisplank.connection import (
    Answer,
    CallEnding,
    CallReply,
    CallRequest,
    Hello,
    Message,
)
from ibisplank.gateway import (
    DeliverySemantics,
    MemberRecord,
    RetryLimits,
    RouteConfig,
    TrafficShare,
)
from ibisplank.gateway._activecall import ActiveCall
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._handover import Handover
from ibisplank.gateway._handoverserver import (
    MAX_CALLS,
    HandoverServer,
    make_reply,
)
from ibisplank.gateway._incoming import IncomingCall, parse_head
from ibisplank.gateway._latency import LatencyWindow
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._partition import ServerPartition
from ibisplank.gateway._pathexchange import PathExchange
from ibisplank.gateway._placing import ServerSelector
from ibisplank.gateway._plan import CallResult, Respond
from ibisplank.gateway._routing import RouteTable
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.ids import MemberId, ServiceId, ZoneId
from ibisplank.platform import HEADER_NAMES, decode_row
from ibisplank.process import PeerLinks
from ibisplank.request import CallDigests
from tests.gateways import SERVICE, make_config, make_route

ONCE = make_route('/once/', semantics=DeliverySemantics.AT_MOST_ONCE)
ROUTES = (make_route('/a/', timeout_s=3.0), ONCE)
CONTACT_S = 3.0
#: Required limit on the time until a server stops work for a caller that has
#: left.
CANCEL_S = 0.5
PEER = MemberId('peer')
OTHER = MemberId('other')
DIGESTS = CallDigests('digest', 'content')


@contextlib.asynccontextmanager
async def run_isolated(
    gateways: int, isolated: int = 1
) -> AsyncIterator[tuple[Site, list[ServerLinks]]]:
    """Run gateways of which the first ones have lost all servers."""
    async with run_site() as site:
        site.put_config(make_config(1, *ROUTES))
        for number in range(4):
            await site.add_upstream(f's{number}', SERVICE)
        links = [ServerLinks(site.group) for _ in range(gateways)]
        for number in range(gateways):
            await site.add_gateway(f'vm-{number}', links=links[number])
        await site.wait_for_servers(4)
        await anyio.sleep(2.0)
        for number in range(isolated):
            await links[number].set_fault(LinkFault.CUT)
        await anyio.sleep(CONTACT_S)
        yield site, links


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    anyio.run(scenario)


def count_in_flight(site: Site) -> int:
    return sum(sum(gateway.list_loads().values()) for gateway in site.gateways)


def test_call_whose_caller_leaves_is_cancelled_at_the_server() -> None:
    async def scenario() -> None:
        async with run_isolated(2) as (site, _):
            for upstream in site.upstreams.values():
                upstream.faults.work_s = 2.5
            async with anyio.create_task_group() as caller:
                caller.start_soon(
                    functools.partial(site.send_call, 'id', deadline_ms=3000)
                )
                with anyio.fail_after(2.0):
                    while not any(each.ran for each in site.upstreams.values()):
                        await anyio.sleep(0.01)
                caller.cancel_scope.cancel()
            await anyio.sleep(CANCEL_S)
            assert sum(len(each.ran) for each in site.upstreams.values()) == 1
            assert count_in_flight(site) == 0

    run_scenario(scenario)


def test_call_that_fails_at_a_peer_runs_no_more_often_than_allowed() -> None:
    """The peer uses all attempts that are left, and fails in each of them."""

    async def scenario() -> None:
        async with run_isolated(4) as (site, _):
            for upstream in site.upstreams.values():
                upstream.faults.fail_share = 1.0
            for number in range(6):
                got = await site.send_call(f'id{number}', deadline_ms=3000)
                assert got.status == 500
            ran = Counter(
                name for each in site.upstreams.values() for name in each.ran
            )
            assert max(ran.values()) <= ROUTES[0].max_attempts

    run_scenario(scenario)


def test_deadline_shrinks_on_the_way() -> None:
    async def scenario() -> None:
        async with run_isolated(2) as (site, _):
            for upstream in site.upstreams.values():
                upstream.faults.work_s = 9.0
            started = anyio.current_time()
            got = await site.send_call('id', deadline_ms=400)
            assert got.status == 504
            assert anyio.current_time() - started < 0.4 + CANCEL_S

    run_scenario(scenario)


def test_failure_of_the_peer_runs_no_call_twice() -> None:
    """The gateway that has the calls ends while they run."""

    async def scenario() -> None:
        async with run_isolated(3, isolated=2) as (site, _):
            for upstream in site.upstreams.values():
                upstream.faults.work_s = 0.5
            statuses: list[int] = []

            async def ask(number: int) -> None:
                got = await site.send_call(
                    f'id{number}',
                    '/once/x',
                    method='POST',
                    gateway=number % 2,
                )
                statuses.append(got.status)

            async with anyio.create_task_group() as callers:
                for number in range(6):
                    callers.start_soon(ask, number)
                await anyio.sleep(0.2)
                site.cancel_gateway(2)
            ran = [
                name for each in site.upstreams.values() for name in each.ran
            ]
            assert ran
            assert len(ran) == len(set(ran))
            assert set(statuses) <= {502, 503, 504}
            assert statuses.count(503) <= 6 - len(ran)

    run_scenario(scenario)


def test_calls_are_refused_at_once_if_no_gateway_reaches_a_server() -> None:
    async def scenario() -> None:
        async with run_isolated(2, isolated=2) as (site, _):
            started = anyio.current_time()
            got = await site.send_call('id', '/once/x')
            assert got.status == 503
            assert anyio.current_time() - started < 1.0

    run_scenario(scenario)


def test_calls_stay_once_the_links_are_back() -> None:
    async def scenario() -> None:
        async with run_isolated(2) as (site, links):
            await links[0].set_fault(LinkFault.NONE)
            await anyio.sleep(CONTACT_S)
            for upstream in site.upstreams.values():
                upstream.faults.work_s = 0.3
            async with anyio.create_task_group() as callers:
                for number in range(3):
                    callers.start_soon(site.send_call, f'id{number}')
                await anyio.sleep(0.1)
                assert sum(site.gateways[0].list_loads().values()) == 3

    run_scenario(scenario)


def make_request(number: int, attempts: int = 2) -> CallRequest:
    return CallRequest(
        number,
        SERVICE,
        b'GET',
        b'/a/x',
        'host.example',
        '/a/x',
        b'id',
        ((b'x-request-id', b'id'),),
        40,
        b'',
        'digest',
        'content',
        1.0,
        attempts,
    )


class Peer:
    """Serves calls of another gateway with a given final answer."""

    def __init__(self) -> None:
        self.replies: list[CallReply] = []
        self.calls: list[IncomingCall] = []
        self.hold = anyio.Event()
        cluster = ClusterState(decode_row)
        cluster.config = make_config(1, *ROUTES)
        cluster.routes = RouteTable(cluster.config)
        self.server = HandoverServer(
            cluster, self.execute, lambda: 10.0, self.reply
        )

    async def execute(self, call: IncomingCall) -> Respond:
        self.calls.append(call)
        await self.hold.wait()
        return Respond(CallResult.FAILED, Answer(200, [], b'body'))

    async def reply(self, member: MemberId, message: Message) -> bool:
        assert member == PEER
        assert isinstance(message, CallReply)
        self.replies.append(message)
        return True


def test_call_keeps_what_is_left_of_its_limits() -> None:
    async def scenario() -> None:
        peer = Peer()
        peer.hold.set()
        async with anyio.create_task_group() as group:
            peer.server.accept(PEER, make_request(7, attempts=1), group)
        call = peer.calls[0]
        assert call.handed_over
        assert call.deadline_at == 11.0
        assert call.route.max_attempts == 1
        assert call.digests == DIGESTS
        assert peer.replies == [
            CallReply(7, CallEnding.ANSWERED, 200, (), b'body')
        ]

    run_scenario(scenario)


def test_call_that_fails_unexpectedly_ends_no_gateway() -> None:
    async def scenario() -> None:
        peer = Peer()

        async def fail(call: IncomingCall) -> Respond:
            raise ZeroDivisionError

        peer.server.execute = fail
        async with anyio.create_task_group() as group:
            peer.server.accept(PEER, make_request(7), group)
        assert peer.replies == [CallReply(7, CallEnding.UNKNOWN)]

    run_scenario(scenario)


def test_call_that_cannot_be_accepted_is_declined() -> None:
    """It has not run, and another gateway may get it."""

    async def scenario() -> None:
        peer = Peer()

        def fail() -> float:
            raise ZeroDivisionError

        peer.server.clock = fail
        async with anyio.create_task_group() as group:
            peer.server.accept(PEER, make_request(7), group)
        assert peer.replies == [CallReply(7, CallEnding.DECLINED)]

    run_scenario(scenario)


def test_call_that_arrives_twice_runs_once() -> None:
    """The number of a call in flight ended the gateway when it came again."""

    async def scenario() -> None:
        peer = Peer()
        async with anyio.create_task_group() as group:
            for _ in range(2):
                peer.server.accept(PEER, make_request(7), group)
            await anyio.wait_all_tasks_blocked()
            peer.hold.set()
        assert len(peer.calls) == len(peer.replies) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('chosen', 'expected'),
    [('b', {'b'}), ('a', {'a'}), ('gone', {'a', 'b'})],
)
def test_split_is_decided_by_the_gateway_that_accepted_the_call(
    chosen: str, expected: set[str]
) -> None:
    shares = (
        TrafficShare(ServiceId('a'), 1.0),
        TrafficShare(ServiceId('b'), 1.0),
    )
    route = make_route(shares=shares)
    gateway = make_forwarder()
    call = make_call(route, ServiceId(chosen))
    assert {gateway._choose_service(call) for _ in range(4)} == expected


def make_call(
    route: RouteConfig, service: ServiceId | None = None
) -> IncomingCall:
    scope = {
        'method': 'GET',
        'raw_path': b'/a/x',
        'query_string': b'',
        'headers': [(HEADER_NAMES.request_id, b'own')],
    }
    head = parse_head(scope, HEADER_NAMES)
    return IncomingCall(head, route, b'', 0.0, 1.0, DIGESTS, service=service)


def make_forwarder() -> Forwarder:
    rng = random.Random(1)
    cluster = ClusterState(decode_row)
    own = MemberRecord(PEER, '127.0.0.1:1', ZoneId('z1'))
    partition = ServerPartition(own, cluster.directory)
    fleet = Fleet(PEER, cluster, partition, lambda: 0.0, rng)
    return Forwarder(
        fleet,
        ServerSelector(ZoneId('z1'), rng),
        SuspectCalls(lambda: 0.0),
        Handover(fleet, HEADER_NAMES, rng),
        HEADER_NAMES,
        RetryLimits(),
        GatewayMetrics(),
    )


def make_active(forwarder: Forwarder, group: TaskGroup) -> ActiveCall:
    call = make_call(make_route())
    latencies = LatencyWindow(0.1)
    return ActiveCall(
        call,
        SERVICE,
        forwarder._make_plan(call, latencies),
        group,
        latencies,
        lambda service, step: None,
    )


@pytest.mark.parametrize(
    ('named', 'status', 'ends'),
    [
        (b'own', 200, 200),
        (b'other', 200, None),
        (b'', 200, None),
        (b'own', 500, 500),
        (b'other', 500, None),
        (b'', 500, 500),
    ],
)
def test_reply_with_the_answer_to_another_call_is_not_passed_on(
    named: bytes, status: int, ends: int | None
) -> None:
    async def scenario() -> None:
        forwarder = make_forwarder()
        handover = forwarder._handover
        handover.send = lambda member, message: True
        headers = [(HEADER_NAMES.signature, b's')]
        if named:
            headers.append((b'X-Request-Id', named))
        async with anyio.create_task_group() as group:
            active = make_active(forwarder, group)
            active.plan.record_start(0.0)
            group.start_soon(handover.run, active, OTHER, 0.0)
            await anyio.wait_all_tasks_blocked()
            handover.record_reply(
                OTHER,
                CallReply(
                    1, CallEnding.ANSWERED, status, tuple(headers), b'body'
                ),
            )
        action = active.plan.decide(0.0)
        assert isinstance(action, Respond)
        assert (action.answer and action.answer.status) == ends

    run_scenario(scenario)


def test_gateway_that_has_calls_stays_connected_once_the_paths_are_back() -> (
    None
):
    """In large fleets its link was closed, and the calls were lost."""

    async def scenario() -> None:
        forwarder = make_forwarder()
        fleet, handover = forwarder._fleet, forwarder._handover
        links = PeerLinks(Hello(PEER), lambda member: None)
        paths = PathExchange(fleet, handover, Peer().server, links)
        handover.send = lambda member, message: True
        async with anyio.create_task_group() as group:
            active = make_active(forwarder, group)
            group.start_soon(handover._exchange, active, OTHER, 1)
            await anyio.wait_all_tasks_blocked()
            assert paths.choose_helpers() == {OTHER}
            handover.record_disconnect(OTHER)
        assert paths.choose_helpers() == set()

    run_scenario(scenario)


def test_number_of_calls_is_bounded() -> None:
    async def scenario() -> None:
        peer = Peer()
        async with anyio.create_task_group() as group:
            for number in range(MAX_CALLS + 1):
                peer.server.accept(PEER, make_request(number), group)
            await anyio.wait_all_tasks_blocked()
            assert peer.replies == [CallReply(MAX_CALLS, CallEnding.DECLINED)]
            peer.hold.set()
        assert len(peer.calls) == MAX_CALLS

    run_scenario(scenario)


def test_stopping_gateway_declines_calls_and_ends_those_in_flight() -> None:
    async def scenario() -> None:
        peer = Peer()
        async with anyio.create_task_group() as group:
            peer.server.accept(PEER, make_request(1), group)
            await anyio.wait_all_tasks_blocked()
            group.start_soon(peer.server.drain)
            await anyio.wait_all_tasks_blocked()
            peer.server.accept(PEER, make_request(2), group)
            await anyio.wait_all_tasks_blocked()
            assert peer.replies == [CallReply(2, CallEnding.DECLINED)]
            peer.hold.set()
        assert [each.number for each in peer.replies] == [2, 1]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('response', 'ending'),
    [
        (Respond(CallResult.NOT_RUN, retry_after_s=0.2), CallEnding.NOT_RUN),
        (Respond(CallResult.FAILED), CallEnding.UNKNOWN),
        (Respond(CallResult.LATE), CallEnding.UNKNOWN),
        (
            Respond(CallResult.FAILED, Answer(500, [], b'')),
            CallEnding.ANSWERED,
        ),
    ],
)
def test_reply_says_whether_the_call_may_have_run(
    response: Respond, ending: CallEnding
) -> None:
    reply = make_reply(1, response)
    assert reply.ending is ending
    assert reply.retry_after_s == response.retry_after_s
