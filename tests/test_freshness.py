"""Age of the data by the store's clock, and grace after outages."""

import pytest

from ibisplank.gateway._freshness import EXPIRY_GRACE_S, OUTAGE_S, Freshness


def test_age_includes_the_delay_of_an_update() -> None:
    freshness = Freshness()
    freshness.record(store_s=10.0, now=100.0)
    freshness.record(store_s=10.5, now=104.0)
    assert freshness.find_age(104.0) == 3.5


def test_older_update_is_ignored() -> None:
    freshness = Freshness()
    assert freshness.record(store_s=10.0, now=100.0)
    assert not freshness.record(store_s=9.0, now=100.5)
    assert freshness.find_age(100.5) == 0.5


def test_age_is_infinite_without_an_update() -> None:
    assert Freshness().find_age(1.0) == float('inf')


def test_grace_period_follows_an_outage() -> None:
    freshness = Freshness()
    freshness.record(store_s=10.0, now=100.0)
    assert freshness.find_grace(100.0) == 0.0
    recovered_at = 100.0 + OUTAGE_S + 1
    freshness.record(store_s=10.0 + OUTAGE_S + 1, now=recovered_at)
    assert freshness.find_grace(recovered_at) == pytest.approx(EXPIRY_GRACE_S)
    assert freshness.find_grace(recovered_at + EXPIRY_GRACE_S) == 0.0


def test_loss_of_the_readers_is_no_outage_of_the_store() -> None:
    """A server that is removed just after the loss must be dropped at once.

    A gateway reads the store itself from an age of 1.45 s on. It checks the
    age at intervals of up to 0.13 s, and its long poll waits 1.2 s for
    changes.
    """
    freshness = Freshness()
    freshness.record(store_s=1.0, now=101.0)
    freshness.record(store_s=1.0 + 1.45 + 0.13 + 1.2, now=101.0 + 2.78)
    assert freshness.find_grace(101.0 + 2.78) == 0


def test_restore_starts_a_grace_period_and_the_store_clock_anew() -> None:
    freshness = Freshness()
    freshness.record(store_s=50.0, now=100.0, era=1)
    assert freshness.record(store_s=3.0, now=101.0, era=2)
    assert freshness.find_age(101.5) == 0.5
    assert freshness.find_grace(101.0) == pytest.approx(EXPIRY_GRACE_S)


def test_update_of_an_earlier_era_does_not_count() -> None:
    freshness = Freshness()
    freshness.record(store_s=3.0, now=100.0, era=2)
    assert not freshness.record(store_s=60.0, now=101.0, era=1)
    assert freshness.find_age(101.0) == 1.0
    assert not freshness.is_recent(60.0, era=1, tolerance_s=0.5)
    assert freshness.is_recent(0.5, era=3, tolerance_s=0.5)
