"""In-flight counts: the latest one per gateway applies until it expires."""

from ibisplank.gateway._occupancy import EXPIRY_S, Occupancy
from ibisplank.ids import MemberId, ServerId

ONE = MemberId('one')
SERVER = ServerId('s')


def test_latest_counts_are_summed_over_gateways() -> None:
    occupancy = Occupancy()
    occupancy.update(ONE, {SERVER: 2}, 0.0)
    occupancy.update(MemberId('two'), {SERVER: 1}, 0.0)
    assert occupancy.count(SERVER, 0.0) == 3
    occupancy.update(ONE, {}, 0.1)
    assert occupancy.count(SERVER, 0.1) == 1


def test_counts_of_a_stopped_gateway_expire() -> None:
    occupancy = Occupancy()
    occupancy.update(ONE, {SERVER: 2}, 0.0)
    assert occupancy.is_alive(ONE, EXPIRY_S / 2)
    assert not occupancy.is_alive(ONE, EXPIRY_S)
    occupancy.remove_expired(EXPIRY_S)
    assert occupancy.count(SERVER, 0.0) == 0
