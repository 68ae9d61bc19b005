"""Hedged calls: which answer wins, and what happens to the other attempt."""

import contextlib

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import publication
from fake_platform import refused_answer
from fake_platform import wait_until
from gypsumfield.decisions.hedging import MIN_SAMPLE_COUNT
from gypsumfield.gateway.scheduling import hedged_calls
from gypsumfield.gateway.settings import EdgeBounds

KINDS = {"plain": "idempotent", "once": "non_idempotent"}
# Far longer than the hedge delay, which is at most half of the target of 1 s.
SLOW_S = 1.5
CALL_LIMIT_MS = 3_900


class HedgeFleet(EdgeFleet):
    """Two servers that answer at once, except to the call ``slow``.

    Attributes:
        ratio: The operator's share of hedges.
        bounds: Retry budget of the host.
        answers: What the servers do with the attempts of the call ``slow``, in order.
            Each function takes the request and the socket.
        attempts: Sockets of these attempts, in order.
        closed: Those of them that the host has closed.
    """

    def __init__(self):
        super().__init__(KINDS)
        self.ratio = 1.0
        self.bounds = EdgeBounds()
        self.answers = []
        self.attempts = []
        self.closed = []

    def host_settings(self, *args, **kwargs):
        settings = super().host_settings(*args, **kwargs)
        return settings._replace(hedge_ratio=self.ratio, bounds=self.bounds)

    def start_and_warm_up(self, service="plain", servers=("s1", "s2")):
        document = publication(KINDS)
        for route in document["routes"]:
            # Calls that may run once are sent again after refusals.
            route["max_attempts"] = 2
        self.publish(routes=document["routes"])
        for server_id in servers:
            self.add_server(service, server_id, self.respond)
        self.start()
        for number in range(MIN_SAMPLE_COUNT):
            assert self.call(f"/{service}/", attempt=f"w{number}")[0] == 200

    def respond(self, request, sock):
        if request["headers"]["x-attempt-id"] != "slow":
            sock.sendall(complete_answer(request))
            return None
        self.attempts.append(sock)
        return self.answers[len(self.attempts) - 1](request, sock)

    def wait_for_close(self, _request, sock):
        """Never answer; note when the host closes the connection."""
        assert not sock.recv(1)
        self.closed.append(sock)
        return "close"

    def call_slow(self, service="plain"):
        return self.call(f"/{service}/", attempt="slow", limit_ms=CALL_LIMIT_MS)


def answer_after(delay_s, body=b"late", status="200 OK"):
    def respond(request, sock):
        gevent.sleep(delay_s)
        sock.sendall(complete_answer(request, body, status))

    return respond


def close_after(delay_s):
    def respond(_request, _sock):
        gevent.sleep(delay_s)
        return "close"

    return respond


def refuse(_request, sock):
    # Without its id, a refusal on a reused connection would not be believed.
    head, _, rest = refused_answer().partition(b"\r\n")
    sock.sendall(head + b"\r\nX-Attempt-Id: slow\r\n" + rest)


@pytest.fixture
def fleet():
    hedge_fleet = HedgeFleet()
    yield hedge_fleet
    hedge_fleet.stop()


def assert_nothing_is_held(fleet):
    memory = fleet.host.components.held_memory
    wait_until(lambda: not memory.held_bytes and not memory._holds)


def winners(fleet):
    return [event.winner for event in fleet.events_named("hedge_ended")]


def test_a_hedge_wins_and_the_connection_of_the_loser_is_closed(fleet):
    """Guards against attempts that go on for nobody."""
    fleet.start_and_warm_up()
    fleet.answers = [fleet.wait_for_close, answer_after(0.0, b"hedge")]
    status, _, body = fleet.call_slow()
    assert (status, body) == (200, b"hedge")
    wait_until(lambda: fleet.closed == fleet.attempts[:1])
    assert len(fleet.attempts) == 2
    (sent,) = fleet.events_named("hedge_sent")
    assert sent.first_server != sent.backend_server
    assert sent.delay_ms <= 500.0
    assert winners(fleet) == ["hedge"]
    assert_nothing_is_held(fleet)
    # The health of a server does not suffer from attempts that the host has ended.
    (failed,) = fleet.events_named("attempt_failed")
    assert failed.stage == "aborted"


def test_an_attempt_counts_as_a_run_before_it_is_sent(fleet, monkeypatch):
    """Guards against calls that are placed at the same moment on one server."""
    fleet.start_and_warm_up()
    fleet.answers = [fleet.wait_for_close, answer_after(0.0)]
    ledger = fleet.host.components.placer._deps.ledger
    counts = []

    def count_and_start(race, planned):
        counts.append(ledger.own_load(planned.server.server_id).run_count)
        start(race, planned)

    start = hedged_calls._Race.start
    monkeypatch.setattr(hedged_calls._Race, "start", count_and_start)
    assert fleet.call_slow()[0] == 200
    assert counts == [1, 1]
    wait_until(lambda: not ledger.own_loads())


def test_the_first_attempt_wins_if_it_answers_before_the_hedge(fleet):
    fleet.start_and_warm_up()
    fleet.answers = [answer_after(0.8, b"first"), fleet.wait_for_close]
    status, _, body = fleet.call_slow()
    assert (status, body) == (200, b"first")
    wait_until(lambda: fleet.closed == fleet.attempts[1:])
    assert winners(fleet) == ["first"]
    assert_nothing_is_held(fleet)


@pytest.mark.parametrize("failure", ["closed", "status", "refused hedge"])
def test_the_other_attempt_goes_on_if_one_fails(fleet, failure):
    """Guards against a failure that is reported while an answer is still coming."""
    fleet.start_and_warm_up()
    late = answer_after(SLOW_S, b"late")
    fleet.answers = {
        "closed": [close_after(0.7), late],
        "status": [answer_after(0.7, b"", "500 Broken"), late],
        "refused hedge": [late, refuse],
    }[failure]
    status, _, body = fleet.call_slow()
    assert (status, body) == (200, b"late")
    assert len(fleet.attempts) == 2
    assert_nothing_is_held(fleet)


def test_a_failure_status_is_returned_if_no_other_answer_comes(fleet):
    fleet.start_and_warm_up()
    broken = answer_after(0.7, b"broken", "500 Broken")
    fleet.answers = [broken, close_after(1.0)]
    status, _, body = fleet.call_slow()
    assert (status, body) == (500, b"broken")
    assert_nothing_is_held(fleet)


def test_a_call_runs_again_after_a_failure_status_and_a_refused_hedge(fleet):
    """Guards against a failure that is returned only because the call was hedged."""
    fleet.start_and_warm_up(servers=("s1", "s2", "s3"))

    def refuse_late(request, sock):
        gevent.sleep(0.6)
        refuse(request, sock)

    broken = answer_after(0.6, b"broken", "500 Broken")
    fleet.answers = [broken, refuse_late, answer_after(0.0, b"third")]
    status, _, body = fleet.call_slow()
    assert (status, body) == (200, b"third")
    assert len(fleet.attempts) == 3
    assert_nothing_is_held(fleet)


@pytest.mark.parametrize("second", [close_after(0.1), refuse])
def test_a_call_of_which_both_attempts_fail_may_have_run(fleet, second):
    """Guards against a refusal of the hedge that is taken for one of the call."""
    fleet.start_and_warm_up()
    fleet.answers = [close_after(1.2), second, close_after(0.0)]
    status, _, body = fleet.call_slow()
    assert status == 502
    assert b"may-have-run" in body
    assert len(fleet.attempts) == 2
    assert winners(fleet) == ["none"]
    assert_nothing_is_held(fleet)


def test_a_caller_that_leaves_ends_both_attempts(fleet):
    fleet.start_and_warm_up()
    fleet.answers = [fleet.wait_for_close, fleet.wait_for_close]
    with contextlib.closing(
        fleet.send_request("/plain/", attempt="slow", limit_ms=CALL_LIMIT_MS)
    ):
        wait_until(lambda: len(fleet.attempts) == 2)
    # The attempts would go on for seconds otherwise; half a second is the limit.
    wait_until(lambda: len(fleet.closed) == 2, timeout_s=0.5)
    assert_nothing_is_held(fleet)
    assert len(fleet.attempts) == 2


def test_a_call_that_may_run_once_is_not_hedged(fleet):
    fleet.start_and_warm_up("once")
    fleet.answers = [answer_after(SLOW_S)]
    assert fleet.call_slow("once")[0] == 200
    assert len(fleet.attempts) == 1
    assert not fleet.events_named("hedge_sent")


def without_ratio(fleet):
    fleet.ratio = 0.0


def without_retries(fleet):
    fleet.bounds = EdgeBounds(retry_ratio=0.0, retry_extra=0.0)


@pytest.mark.parametrize("limit", [without_ratio, without_retries])
def test_there_is_no_hedge_beyond_the_limits(fleet, limit):
    """Guards against hedges without the operator or beyond the fleet's budget."""
    limit(fleet)
    fleet.start_and_warm_up()
    fleet.answers = [answer_after(0.9)]
    assert fleet.call_slow()[0] == 200
    assert len(fleet.attempts) == 1
    assert not fleet.events_named("hedge_sent")


def test_a_stopping_host_sends_no_hedges(fleet):
    fleet.start_and_warm_up()
    fleet.answers = [answer_after(0.9)]
    tracker = fleet.host.components.request_tracker
    tracker.begin_drain(fleet.host._clock.monotonic_ms())
    assert fleet.call_slow()[0] == 200
    assert len(fleet.attempts) == 1


def test_the_retry_budget_counts_hedges(fleet):
    """Guards against hedges that add to the retries of a fleet in trouble."""
    fleet.bounds = EdgeBounds(retry_ratio=0.1, retry_extra=0.0, retry_window_ms=60_000)
    fleet.start_and_warm_up()
    fleet.answers = [answer_after(0.9), answer_after(0.0)] * 6
    for _ in range(6):
        assert fleet.call_slow()[0] == 200
    request_count = MIN_SAMPLE_COUNT + 6
    assert 1 <= len(fleet.events_named("hedge_sent")) <= 0.1 * request_count
