import pytest
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from fake_fleet import HOLD_DOWN_MS
from fake_fleet import PLATFORM
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.quotas import QuotaLedger
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.token_pools import AccountPool
from gypsumfield.decisions.token_pools import Loan
from gypsumfield.decisions.token_pools import LOAN_LIFETIME_MS
from gypsumfield.decisions.token_pools import LoanRequest
from quota_fleet import ACCOUNT
from quota_fleet import Published
from quota_fleet import QuotaFleet

QUICK = AccountLimit(rate_per_s=100.0, burst=12.0)
SLOW = AccountLimit(rate_per_s=5.0, burst=12.0)
HOSTS = ["a-1", "a-2", "b-1", "b-2"]
NODES = [*HOSTS, "c-1", PLATFORM]
EXACT_TOKENS = 1e-3
WAITS_MS = st.sampled_from([0.0, 300.0, 1_400.0, 2_800.0, 9_000.0])
MACHINE_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class SharedRate(RuleBasedStateMachine):
    """No time window has more admissions than burst plus rate times its length."""

    @initialize(seed=st.integers(0, 1_000), limit=st.sampled_from([QUICK, SLOW]))
    def start(self, seed, limit):
        self.fleet = QuotaFleet("ab", limit, seed)
        for host_id in HOSTS:
            self.fleet.start_host(host_id)
        self.fleet.network.advance(2 * HOLD_DOWN_MS)

    def ask_all(self):
        """Send each host more requests than there are tokens."""
        for host_id in self.fleet.hosts:
            self.fleet.request(host_id, 15)

    def drain(self):
        self.ask_all()
        self.fleet.network.advance(200.0)

    @rule(wait_ms=WAITS_MS)
    def drain_later(self, wait_ms):
        self.fleet.network.advance(wait_ms)
        self.drain()

    @rule(host_id=st.sampled_from(HOSTS), count=st.integers(1, 12))
    def request(self, host_id, count):
        if host_id in self.fleet.hosts:
            self.fleet.request(host_id, count)
            self.fleet.network.advance(20.0)

    @rule(
        host_id=st.sampled_from(HOSTS),
        refund_after_ms=st.sampled_from([1.0, 2_900.0]),
        wait_ms=WAITS_MS,
    )
    def request_and_return(self, host_id, refund_after_ms, wait_ms):
        if host_id in self.fleet.hosts:
            self.fleet.request(host_id, 3, refund_after_ms)
            self.fleet.network.advance(wait_ms)
            self.drain()
            self.drain()

    @rule(
        drop=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.5]),
        delay_ms=st.sampled_from([2.0, 20.0, 400.0]),
    )
    def change_links(self, drop, duplicate, delay_ms):
        self.fleet.network.drop_probability = drop
        self.fleet.network.duplicate_probability = duplicate
        self.fleet.network.delay_limit_ms = delay_ms

    @rule(
        group=st.one_of(
            st.sampled_from([{host_id} for host_id in HOSTS]),
            st.sampled_from([{"a-1", "a-2"}, {"b-1", "b-2"}]),
            st.sets(st.sampled_from(NODES), min_size=1),
        ),
        wait_ms=WAITS_MS,
    )
    def part(self, group, wait_ms):
        self.fleet.network.partition([group])
        self.fleet.network.advance(wait_ms)
        self.drain()

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(host_id=st.sampled_from(HOSTS), wait_ms=WAITS_MS)
    def replace(self, host_id, wait_ms):
        self.drain()
        self.fleet.start_host(host_id)
        self.fleet.network.advance(wait_ms)
        self.drain()

    @rule(host_id=st.sampled_from(HOSTS), is_replaced=st.booleans(), wait_ms=WAITS_MS)
    def retire(self, host_id, is_replaced, wait_ms):
        if host_id in self.fleet.hosts:
            self.fleet.retire_host(host_id)
            self.ask_all()
            self.fleet.network.advance(100.0)
            if is_replaced:
                self.fleet.start_host(host_id)
            else:
                self.fleet.kill_host(host_id)
            self.fleet.network.advance(wait_ms)
            self.drain()

    @rule(host_id=st.sampled_from(HOSTS))
    def kill(self, host_id):
        if host_id in self.fleet.hosts:
            self.fleet.kill_host(host_id)

    @rule(host_id=st.sampled_from(HOSTS), wait_ms=WAITS_MS)
    def pause(self, host_id, wait_ms):
        if host_id in self.fleet.hosts:
            self.fleet.pause_host(host_id)
            self.fleet.network.advance(wait_ms)
            self.ask_all()
            self.fleet.wake_host(host_id)
            self.fleet.network.advance(200.0)

    @rule(limit=st.sampled_from([QUICK, SLOW]))
    def publish_limit(self, limit):
        self.fleet.publish(self.fleet.published._replace(limit=limit))

    @rule(is_parted=st.booleans())
    def publish_third_zone(self, is_parted):
        if is_parted:
            self.fleet.network.partition([{"b-1", "b-2"}])
        self.fleet.publish(Published(frozenset("abc"), self.fleet.published.limit))
        if "c-1" not in self.fleet.hosts:
            self.fleet.start_host("c-1")
        self.fleet.network.advance(2 * HOLD_DOWN_MS)
        self.drain()

    @invariant()
    def no_window_is_above_the_bound(self):
        if hasattr(self, "fleet"):
            assert self.fleet.excess_tokens() <= EXACT_TOKENS

    @invariant()
    def held_and_borrowed_tokens_fit_the_burst(self):
        if hasattr(self, "fleet"):
            burst = max(limit.burst for limit in self.fleet.limits)
            assert self.fleet.available_tokens() <= burst + EXACT_TOKENS


def run(machine):
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


def test_bound_holds_through_faults():
    run(SharedRate)


def _without_hold_down(monkeypatch):
    monkeypatch.setattr(
        Ownership, "_expire_departed", lambda self, now_ms: self._departed_at_ms.clear()
    )


def _without_seen_hosts(monkeypatch):
    real = QuotaFleet.view_of

    def view_of(self, host):
        host.ever_seen.clear()
        return real(self, host)

    monkeypatch.setattr(QuotaFleet, "view_of", view_of)


def _without_retiring(monkeypatch):
    monkeypatch.setattr(QuotaLedger, "retire", lambda self, now_ms: None)


def _without_confirmation(monkeypatch):
    real = QuotaFleet.view_of

    def view_of(self, host):
        view = real(self, host)
        return view._replace(zone_view=view.zone_view._replace(is_confirmed=True))

    monkeypatch.setattr(QuotaFleet, "view_of", view_of)


def _full_at_start(monkeypatch):
    real = AccountPool.__init__

    def start_full(self, now_ms):
        real(self, now_ms)
        self.tokens = SLOW.burst

    monkeypatch.setattr(AccountPool, "__init__", start_full)
    monkeypatch.setattr(QuotaFleet, "hold_down_ms", 0.0)


def _without_subtraction(monkeypatch):
    def lend(self, request, now_ms):
        return Loan(min(request.tokens, self.tokens), self.tokens, 1.0, 1.0)

    monkeypatch.setattr(AccountPool, "lend", lend)


def _without_capacity_for_loans(monkeypatch):
    monkeypatch.setattr(
        AccountPool, "_unlent_capacity", lambda self: self.capacity_tokens
    )


def _with_full_refunds(monkeypatch):
    def refund(self, epoch):
        self.tokens += 1.0

    monkeypatch.setattr(AccountPool, "refund", refund)


def _without_agreement_on_zones(monkeypatch):
    monkeypatch.setattr(QuotaFleet, "_are_zones_agreed", lambda self, host: True)


def _without_pause_check(monkeypatch):
    monkeypatch.setattr(Ownership, "is_paused", lambda self, now_ms: False)


def short_pause(fleet):
    """The others remove a paused host, which resumes before it detects its pause."""
    fleet.available_tokens()
    fleet.pause_host("a-1")
    fleet.network.advance(1_400.0)
    fleet.wake_host("a-1")


def returning_host(fleet):
    """A removed host comes back, unreachable for the host that removed it."""
    fleet.network.partition([{"a-2"}])
    fleet.network.advance(1_600.0)
    # A host of the other zone still reaches the first host and confirms it.
    fleet.network.partition([{"a-1", "b-1"}])
    fleet.network.advance(4_300.0)


def planned_stop(fleet):
    """A host retires; the others take over before the hold-down."""
    fleet.retire_host("a-1")
    fleet.network.advance(1_900.0)


def isolated_host(fleet):
    """A host is partitioned from its zone and the platform."""
    fleet.network.partition([{"a-1"}])
    fleet.network.advance(9_000.0)


def long_pause(fleet):
    """A host resumes with a full burst after others have taken over its share."""
    fleet.pause_host("a-1")
    fleet.network.advance(9_000.0)
    fleet.request("a-1", 15)
    for host_id in HOSTS[1:]:
        fleet.request(host_id, 15)
    fleet.wake_host("a-1")
    fleet.network.advance(200.0)


def third_zone(fleet):
    """A zone is added while another one cannot reach the platform."""
    fleet.network.partition([{"b-1", "b-2"}])
    fleet.publish(Published(frozenset("abc"), fleet.published.limit))
    fleet.start_host("c-1")
    fleet.network.advance(9_000.0)


def replaced_hosts(fleet):
    """All hosts are replaced right after the burst was used."""
    for host_id in HOSTS:
        fleet.request(host_id, 15)
    fleet.network.advance(200.0)
    for host_id in HOSTS:
        fleet.start_host(host_id)
    fleet.network.advance(300.0)
    for host_id in HOSTS:
        fleet.request(host_id, 15)
    fleet.network.advance(200.0)


def burst_on_one_host(fleet):
    """One host uses the whole burst."""
    fleet.request("a-1", 40)
    fleet.network.advance(200.0)


def replay(history):
    machine = SharedRate()
    machine.start(seed=0, limit=SLOW)
    history(machine.fleet)
    machine.no_window_is_above_the_bound()
    machine.held_and_borrowed_tokens_fit_the_burst()


HISTORIES = [
    (short_pause, _without_hold_down),
    (isolated_host, _without_confirmation),
    (planned_stop, _without_retiring),
    (returning_host, _without_seen_hosts),
    (long_pause, _without_pause_check),
    (third_zone, _without_agreement_on_zones),
    (replaced_hosts, _full_at_start),
    (burst_on_one_host, _without_subtraction),
]


@pytest.mark.parametrize("history", [history for history, _ in HISTORIES])
def test_bound_holds_in_history(history):
    replay(history)


@pytest.mark.parametrize(("history", "switch_off"), HISTORIES)
def test_bound_breaks_without_a_mechanism(history, switch_off, monkeypatch):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        replay(history)


def full_pool(rate_per_s=100.0):
    pool = AccountPool(0.0)
    pool.refresh(100.0, 3.0, 0.0, 60_000.0)
    pool.refresh(rate_per_s, 3.0, 60_000.0, 120_000.0)
    return pool


def take_epoch(pool):
    return pool.epoch if pool.take() else None


def lend_and_refill():
    """Lender refills before its loan expires; both never exceed two bursts of 3."""
    lender, borrower = full_pool(), full_pool()
    loan = lender.lend(LoanRequest("borrower", 2.0), 120_000.0)
    lender.refresh(100.0, 3.0, 0.0, 120_050.0)
    assert borrower.borrow("lender", loan, 120_000.0, 120_050.0)
    assert lender.available_tokens() + borrower.available_tokens() <= 6.0


def refund_after_refill():
    """Refund adds nothing when the pool was full since the token was taken."""
    pool = full_pool()
    epoch = take_epoch(pool)
    pool.refresh(100.0, 3.0, 0.0, 121_000.0)
    assert [pool.take() for _ in range(4)] == [True, True, True, False]
    pool.refund(epoch)
    assert not pool.take()


def refund_at_once():
    pool = full_pool(rate_per_s=0.0)
    epochs = [take_epoch(pool) for _ in range(3)]
    assert not pool.take()
    pool.refund(epochs[0])
    pool.refund(epochs[1])
    assert [pool.take() for _ in range(3)] == [True, True, False]


@pytest.mark.parametrize(
    "scenario", [lend_and_refill, refund_after_refill, refund_at_once]
)
def test_pool_keeps_its_bound(scenario):
    scenario()


@pytest.mark.parametrize(
    ("scenario", "switch_off"),
    [
        (lend_and_refill, _without_capacity_for_loans),
        (refund_after_refill, _with_full_refunds),
    ],
)
def test_pool_breaks_its_bound_without_a_mechanism(scenario, switch_off, monkeypatch):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        scenario()


def test_late_loan_is_dropped():
    pool = full_pool()
    late_ms = 120_000.0 + LOAN_LIFETIME_MS
    assert not pool.borrow("lender", Loan(1.0, 0.0, 3.0, 1.0), 120_000.0, late_ms)
    assert pool.available_tokens() == 3.0


def test_plan_requests_from_the_fullest_peer_or_not_at_all():
    pool = full_pool()
    pool.borrow("poor", Loan(0.0, 0.2, 3.0, 0.0), 120_000.0, 120_001.0)
    pool.borrow("rich", Loan(0.0, 2.0, 3.0, 0.0), 120_000.0, 120_001.0)
    plan = pool.plan(1.0, ["poor", "rich"], QUICK, 120_002.0)
    assert plan.loan_requests == (LoanRequest("rich", 1.0, 3.0),)
    plan = pool.plan(4.2, ["poor", "rich"], QUICK, 120_002.0)
    assert plan.loan_requests == ()
    assert plan.retry_after_ms == pytest.approx(20.0)


def settled_fleet(limit, zones="abcd"):
    fleet = QuotaFleet(zones, limit)
    for zone in zones:
        for number in (1, 2):
            fleet.start_host(f"{zone}-{number}")
    fleet.network.advance(6 * HOLD_DOWN_MS)
    return fleet


def test_shares_add_up_to_one_and_one_host_can_use_them_all():
    fleet = settled_fleet(AccountLimit(1.0, 10.0))
    now_ms = fleet.network.now_ms
    shares = [host.ledger.share_of(ACCOUNT, now_ms) for host in fleet.hosts.values()]
    assert sum(shares) == pytest.approx(1.0)
    fleet.request("a-1", 10)
    fleet.network.advance(300.0)
    assert [decision.is_granted for _, decision in fleet.decisions] == [True] * 10
    fleet.request("a-1")
    fleet.network.advance(300.0)
    refusal = fleet.decisions[-1][1]
    assert not refusal.is_granted
    assert 0.0 < refusal.retry_after_ms <= 1_000.0


def test_replaced_host_starts_empty_in_a_partitioned_zone():
    fleet = settled_fleet(AccountLimit(1.0, 8.0))
    fleet.network.partition([["a-1", "a-2"]])
    fleet.start_host("a-1")
    fleet.request("a-1", 8)
    fleet.network.advance(500.0)
    granted = [decision.is_granted for _, decision in fleet.decisions]
    assert granted.count(True) == 1
    share = fleet.hosts["a-1"].ledger.share_of(ACCOUNT, fleet.network.now_ms)
    assert share == 0.0
    fleet.network.advance(30_000.0)
    fleet.decisions.clear()
    fleet.request("a-1", 8)
    fleet.network.advance(500.0)
    granted = [decision.is_granted for _, decision in fleet.decisions]
    assert granted.count(True) == 2


def test_account_configured_again_gets_no_second_burst():
    fleet = settled_fleet(AccountLimit(1.0, 8.0))
    host = fleet.hosts["a-1"]
    assert host.pool().tokens > 0.0
    host.ledger.update(fleet.view_of(host), {}, fleet.network.now_ms)
    assert host.pool().tokens == 0.0
