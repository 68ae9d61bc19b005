from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.fleet_shares import cold_bound_per_s
from gypsumfield.decisions.fleet_shares import cold_share_per_s
from gypsumfield.decisions.fleet_shares import ColdShare
from gypsumfield.decisions.fleet_shares import MIN_PART_COUNT
from gypsumfield.decisions.fleet_shares import RetryShare

WINDOW_MS = 10_000.0
RATIO = 0.2
EXTRA = 54.0


@given(
    host_count=st.integers(1, 120),
    requests=st.integers(0, 60),
    attempts=st.integers(0, 200),
)
def test_retries_of_all_hosts_stay_within_the_common_limit(
    host_count, requests, attempts
):
    total = 0
    for _ in range(host_count):
        share = RetryShare(RATIO, EXTRA, WINDOW_MS)
        for _ in range(requests):
            share.record_request(0.0)
        total += sum(share.take(1.0, host_count) for _ in range(attempts))
    assert total <= RATIO * requests * host_count + EXTRA


def test_a_retry_share_recovers_after_the_window():
    share = RetryShare(0.0, 2.0 * MIN_PART_COUNT, WINDOW_MS)
    assert [share.take(0.0, 1) for _ in range(3)] == [True, True, False]
    assert not share.take(WINDOW_MS - 1.0, 1)
    assert share.take(WINDOW_MS + 1.0, 1)


@given(
    rate=st.floats(1.0, 60.0),
    host_count=st.integers(1, 120),
    known_count=st.integers(1, 120),
)
def test_cold_shares_of_all_hosts_stay_within_the_limit(rate, host_count, known_count):
    hosts = max(host_count, known_count)
    bound = cold_bound_per_s(rate, 1.5, 5.0)
    total = sum(cold_share_per_s(bound, hosts, rank) for rank in range(hosts))
    assert total <= rate * 1.5 + 5.0


def test_a_cold_share_allows_a_request_after_a_second():
    share = ColdShare()
    assert share.is_open(0.0, 1)
    share.record_sent(0.0)
    assert not share.is_open(999.0, 1)
    assert share.is_open(1_000.0, 1)
