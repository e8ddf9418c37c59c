"""Backend servers of a cell and their health."""

from ibisplank.connection import AttemptReport, ServerUpdate
from ibisplank.ids import MemberId, ServerId, ServiceId, StartId
from ibisplank.process import Servers
from tests.test_attempts import make_server

ONE = ServerId('one')
TWO = ServerId('two')
SERVICE = ServiceId('s')


def make_servers() -> Servers:
    servers = Servers(MemberId('m'))
    servers.update((make_server(ONE), make_server(TWO)))
    return servers


def test_server_that_is_no_longer_blocked_is_cold() -> None:
    servers = make_servers()
    servers.health[ONE].level = 2
    servers.block({ONE})
    assert [each.server for each in servers.list_usable(SERVICE)] == [TWO]
    assert servers.health[ONE].level == 2
    servers.block(set())
    assert servers.health[ONE].level == 1
    assert len(servers.list_usable(SERVICE)) == 2


def test_healthy_servers_exclude_those_that_fail() -> None:
    servers = make_servers()
    failed = AttemptReport(ok=False, latency_s=0.0)
    servers.health[ONE].record_answer(failed, 0, 2, 0.0)
    assert servers.list_healthy(SERVICE) == [TWO]
    servers.health[TWO].record_answer(failed, 0, 2, 0.0)
    assert servers.list_healthy(SERVICE) == [ONE, TWO]


def test_health_of_a_server_is_kept_while_it_is_off_the_list() -> None:
    servers = make_servers()
    servers.record_probe(ServerUpdate(ONE, StartId('x'), leaving=True))
    servers.update(())
    servers.update((make_server(ONE),))
    assert servers.health[ONE].level == 0
    assert [each.server for each in servers.make_messages()] == [ONE]
