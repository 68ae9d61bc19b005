import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gypsumfield.decisions.fairness import EARLY_REFUSAL_FACTOR
from gypsumfield.decisions.fairness import FairQueue
from gypsumfield.decisions.fairness import MIN_RETRY_AFTER_MS
from gypsumfield.decisions.fairness import QueueEntry
from gypsumfield.decisions.workload import GenerationDemand


def entry(name, account="a", tokens=100.0, now_ms=0.0, wait_ms=1e9, priority=0, **more):
    demand = GenerationDemand(name, "assistant", "dawn", account, 10, 500, priority)
    return QueueEntry(demand, tokens, now_ms, now_ms + wait_ms, **more)


def drain(queue, count, now_ms=0.0):
    taken = [queue.next(now_ms) for _ in range(count)]
    return [served.demand.account for served in taken if served is not None]


@pytest.mark.parametrize(("weight_b", "expected_b"), [(1.0, 15), (2.0, 20), (0.5, 10)])
def test_backlogged_accounts_share_by_weight_whatever_their_rate(weight_b, expected_b):
    queue = FairQueue(1_000)
    for number in range(150):
        queue.offer(0.0, entry(f"a{number}", "a"))
    for number in range(30):
        queue.offer(0.0, entry(f"b{number}", "b", weight=weight_b))
    assert drain(queue, 30).count("b") == pytest.approx(expected_b, abs=1)


def test_shares_go_by_tokens_and_not_by_requests():
    queue = FairQueue(1_000)
    for number in range(40):
        queue.offer(0.0, entry(f"a{number}", "a", tokens=300.0))
        queue.offer(0.0, entry(f"b{number}", "b", tokens=100.0))
    assert drain(queue, 40).count("b") == pytest.approx(30, abs=1)


def test_an_idle_account_earns_no_credit():
    queue = FairQueue(1_000)
    queue.offer(0.0, entry("b", "b"))
    for number in range(100):
        queue.offer(0.0, entry(f"a{number}", "a"))
    drain(queue, 60)
    for number in range(20):
        queue.offer(0.0, entry(f"b{number}", "b"))
    assert drain(queue, 20).count("b") == pytest.approx(10, abs=1)


def test_charge_corrects_a_wrong_expectation():
    queue = FairQueue(1_000)
    for number in range(20):
        queue.offer(0.0, entry(f"a{number}", "a"))
        queue.offer(0.0, entry(f"b{number}", "b"))
    queue.charge("a", 500.0)
    assert drain(queue, 5) == ["b"] * 5


def test_higher_priority_first_without_starving_the_rest():
    queue = FairQueue(1_000)
    for number in range(40):
        queue.offer(0.0, entry(f"w{number}", "write-up"))
        queue.offer(0.0, entry(f"t{number}", "tag", priority=5))
    accounts = drain(queue, 32)
    assert accounts[:7] == ["tag"] * 7
    assert accounts.count("write-up") == 4


def test_skipped_accounts_keep_their_position():
    queue = FairQueue(10)
    for account in "abc":
        queue.offer(0.0, entry(account, account))
    second = queue.next(0.0, {"a"})
    assert second is not None
    assert second.demand.account == "b"
    assert queue.peek(0.0, {"a", "c"}) is None
    assert drain(queue, 2) == ["a", "c"]


def test_full_queue_displaces_an_entry_of_the_largest_backlog():
    queue = FairQueue(10)
    for number in range(10):
        assert queue.offer(number, entry(f"a{number}", "a", now_ms=number)).is_accepted
    outcome = queue.offer(20.0, entry("b0", "b"))
    assert outcome.is_accepted
    assert [refusal.entry.demand.request_id for refusal in outcome.refused] == ["a9"]
    refused = queue.offer(20.0, entry("a10", "a"))
    assert not refused.is_accepted
    assert refused.refused[0].code == "queue_full"
    assert refused.refused[0].retry_after_ms >= MIN_RETRY_AFTER_MS
    assert len(queue) == 10


def served_queue(ms_per_entry=50.0):
    """Return a queue that has served 100 tokens per ``ms_per_entry``, and the time."""
    queue = FairQueue(1_000)
    for number in range(60):
        queue.offer(0.0, entry(f"x{number}", "x"))
    for number in range(60):
        queue.next((number + 1) * ms_per_entry)
    return queue, 60 * ms_per_entry


def test_a_wait_beyond_the_target_is_refused_with_a_reliable_retry_time():
    queue, now_ms = served_queue()
    outcomes = [
        queue.offer(now_ms, entry(f"a{number}", "a", now_ms=now_ms, wait_ms=1_000.0))
        for number in range(60)
    ]
    accepted = sum(outcome.is_accepted for outcome in outcomes)
    assert accepted == pytest.approx(EARLY_REFUSAL_FACTOR * 20 + 1, abs=1)
    refusal = outcomes[-1].refused[0]
    assert refusal.code == "wait_too_long"
    # The backlog of this account does not delay another account.
    assert queue.offer(
        now_ms, entry("b", "b", now_ms=now_ms, wait_ms=200.0)
    ).is_accepted
    # A caller that retries after the given time is accepted.
    later_ms = now_ms
    while len(queue) and later_ms < now_ms + refusal.retry_after_ms:
        later_ms += 50.0
        queue.next(later_ms)
    retry = entry("again", "a", now_ms=later_ms, wait_ms=1_000.0)
    assert queue.offer(later_ms, retry).is_accepted


def test_a_stalled_server_lengthens_the_estimate():
    queue, now_ms = served_queue()
    for number in range(5):
        queue.offer(now_ms, entry(f"a{number}", "a"))
    probe = entry("p", "a")
    wait_ms = queue.estimated_wait_ms(probe, now_ms)
    assert queue.estimated_wait_ms(probe, now_ms + 60_000.0) > 5 * wait_ms


def test_expired_entries_are_refused_and_never_served():
    queue = FairQueue(10)
    queue.offer(0.0, entry("late", wait_ms=100.0))
    queue.offer(0.0, entry("fine", wait_ms=500.0))
    assert queue.next_expiry_ms() == 100.0
    taken = queue.next(100.0)
    assert taken is not None
    assert taken.demand.request_id == "fine"
    [refusal] = queue.expire(100.0)
    assert (refusal.entry.demand.request_id, refusal.code) == ("late", "wait_expired")
    assert refusal.retry_after_ms > 0.0
    assert queue.expire(100.0) == []
    assert len(queue) == 0


class QueueMachine(RuleBasedStateMachine):
    """Each entry has one outcome: it is served, refused or cancelled."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(6)
        self.now_ms = 0.0
        self.waiting = set()
        self.names = 0

    def leave(self, name):
        assert name in self.waiting
        self.waiting.remove(name)

    @rule(
        account=st.sampled_from("abc"),
        tokens=st.integers(1, 500),
        wait_ms=st.integers(1, 400),
        priority=st.integers(0, 2),
    )
    def offer(self, account, tokens, wait_ms, priority):
        self.names += 1
        name = str(self.names)
        new = entry(name, account, float(tokens), self.now_ms, wait_ms, priority)
        self.waiting.add(name)
        outcome = self.queue.offer(self.now_ms, new)
        for refusal in outcome.refused:
            assert refusal.retry_after_ms >= MIN_RETRY_AFTER_MS
            self.leave(refusal.entry.demand.request_id)
        assert outcome.is_accepted is (name in self.waiting)

    @rule()
    def take(self):
        taken = self.queue.next(self.now_ms)
        if taken is not None:
            assert taken.start_deadline_ms > self.now_ms
            self.leave(taken.demand.request_id)

    @rule(elapsed_ms=st.integers(1, 300))
    def wait(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @rule()
    def expire(self):
        for refusal in self.queue.expire(self.now_ms):
            assert refusal.entry.start_deadline_ms <= self.now_ms
            self.leave(refusal.entry.demand.request_id)

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            assert self.queue.cancel(name)
            self.leave(name)

    @rule(account=st.sampled_from("abc"), tokens=st.integers(-100, 100))
    def charge(self, account, tokens):
        self.queue.charge(account, tokens)

    @invariant()
    def holds_unanswered_entries(self):
        names = sorted(each.demand.request_id for each in self.queue)
        assert names == sorted(self.waiting)
        assert len(self.queue) == len(names) <= 6


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60
)
TestQueueMachine = QueueMachine.TestCase
