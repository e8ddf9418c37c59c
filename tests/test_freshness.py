"""The age of the picture, told on the store's clock."""

import pytest

from ibisplank.gateway._freshness import EXPIRY_GRACE_S, OUTAGE_S, Freshness


def test_a_reading_that_was_held_up_does_not_count_as_new() -> None:
    fresh = Freshness()
    fresh.record(store_s=10.0, now=100.0)
    fresh.record(store_s=10.5, now=104.0)
    assert fresh.find_age(104.0) == 3.5


def test_an_older_reading_changes_nothing() -> None:
    fresh = Freshness()
    assert fresh.record(store_s=10.0, now=100.0)
    assert not fresh.record(store_s=9.0, now=100.5)
    assert fresh.find_age(100.5) == 0.5


def test_nothing_known_is_infinitely_old() -> None:
    assert Freshness().find_age(1.0) == float('inf')


def test_entries_may_be_missing_for_a_while_after_an_outage() -> None:
    fresh = Freshness()
    fresh.record(store_s=10.0, now=100.0)
    assert fresh.find_grace(100.0) == 0.0
    back = 100.0 + OUTAGE_S + 1
    fresh.record(store_s=10.0 + OUTAGE_S + 1, now=back)
    assert fresh.find_grace(back) == pytest.approx(EXPIRY_GRACE_S)
    assert fresh.find_grace(back + EXPIRY_GRACE_S) == 0.0


def test_lost_readers_are_no_outage_of_the_store() -> None:
    """A server that leaves just after has to be dropped at once.

    From an age of 1.45 s on a gateway reads by itself: a look takes up to
    0.13 s more, and its read waits 1.2 s for changes.
    """
    fresh = Freshness()
    fresh.record(store_s=1.0, now=101.0)
    fresh.record(store_s=1.0 + 1.45 + 0.13 + 1.2, now=101.0 + 2.78)
    assert fresh.find_grace(101.0 + 2.78) == 0
