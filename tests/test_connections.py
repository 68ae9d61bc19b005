"""Reused connections to servers: lifetimes, bounds, and calls that may run once."""

from urllib.request import urlopen

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import registration
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from gypsumfield.adapters import connections
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import DEFAULT_IDLE_LIMIT_S
from gypsumfield.adapters.connections import FRESH_LIMIT_S
from gypsumfield.adapters.connections import IDLE_CONNECTIONS_PER_SERVER
from gypsumfield.adapters.connections import idle_limit_s
from gypsumfield.gateway import attempt

KINDS = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
PROMPT = "X-Token-Counts: 1000,8\r\nX-Length-Hint: 8\r\nX-Model: m\r\n"
KEEP_ALIVE = "Keep-Alive: timeout=60\r\n"
# Longer than the test waits for an answer on a silent connection.
SILENT_S = 5.0


class StandInSocket:
    """Socket that only records whether it was closed; it never has input."""

    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


@pytest.fixture
def now_s(monkeypatch):
    """Let a test set the time that the pool sees."""
    now = [1_000.0]
    monkeypatch.setattr(connections.time, "monotonic", lambda: now[0])
    monkeypatch.setattr(connections, "_has_no_input", lambda _sock: True)
    return now


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet(KINDS)
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


@pytest.mark.parametrize(
    ("header", "limit_s"),
    [
        ("", DEFAULT_IDLE_LIMIT_S),
        ("timeout=5", 4.0),
        ("timeout=5, max=100", 4.0),
        ("max=100, Timeout = 30", 29.0),
        ("timeout=5, timeout=3", 2.0),
        ("timeout=1", 0.0),
        ("timeout=0", 0.0),
        ("timeout=soon", DEFAULT_IDLE_LIMIT_S),
        ("x-timeout=9", DEFAULT_IDLE_LIMIT_S),
    ],
)
def test_the_server_states_how_long_a_connection_may_be_idle(header, limit_s):
    assert idle_limit_s(header) == limit_s


def test_a_connection_expires_at_its_own_limit(now_s):
    pool = ConnectionPool()
    short, long = StandInSocket(), StandInSocket()
    pool.release("a:1", long, 9.0)
    pool.release("a:1", short, 1.0)
    now_s[0] += 1.0
    assert pool.acquire("a:1") is long
    assert short.is_closed
    pool.release("a:1", long, 9.0)
    now_s[0] += 9.0
    assert pool.acquire("a:1") is None
    assert long.is_closed


def test_a_call_that_may_run_once_takes_only_a_fresh_connection(now_s):
    pool = ConnectionPool()
    sock = StandInSocket()
    pool.release("a:1", sock, 9.0)
    now_s[0] += FRESH_LIMIT_S - 0.01
    assert pool.acquire("a:1", FRESH_LIMIT_S) is sock
    pool.release("a:1", sock, 9.0)
    now_s[0] += FRESH_LIMIT_S
    assert pool.acquire("a:1", FRESH_LIMIT_S) is None
    assert pool.acquire("a:1", 0.0) is None
    assert pool.acquire("a:1") is sock


def test_idle_connections_are_bounded_for_each_server_and_in_total(now_s, monkeypatch):
    """Guards against descriptors that run out on hosts with many engines."""
    monkeypatch.setattr(connections, "IDLE_CONNECTIONS_TOTAL", 20)
    pool = ConnectionPool()
    socks = []
    for number in range(50):
        now_s[0] += 0.01
        socks.append(StandInSocket())
        pool.release(f"a:{number % 5}", socks[-1], 9.0)
        assert pool.idle_count <= 20
    assert [sock.is_closed for sock in socks] == [True] * 30 + [False] * 20
    pool = ConnectionPool()
    for _ in range(IDLE_CONNECTIONS_PER_SERVER + 3):
        pool.release("a:1", StandInSocket(), 9.0)
    assert pool.idle_count == IDLE_CONNECTIONS_PER_SERVER


def test_idle_connections_of_all_hosts_leave_a_server_some_for_requests():
    """Guards against servers that accept none: 76 hosts share 520 connections."""
    assert 76 * IDLE_CONNECTIONS_PER_SERVER <= 520


def test_connections_to_servers_that_left_are_closed(now_s):
    pool = ConnectionPool()
    kept, left, expired = StandInSocket(), StandInSocket(), StandInSocket()
    pool.release("a:1", kept, 9.0)
    pool.release("a:2", left, 9.0)
    pool.release("a:1", expired, 0.5)
    now_s[0] += 0.5
    pool.close_unused({"a:1"})
    assert (kept.is_closed, left.is_closed, expired.is_closed) == (False, True, True)
    assert pool.idle_count == 1


def test_a_host_closes_idle_connections_to_a_server_that_leaves(fleet):
    server = fleet.add_server(
        "plain",
        "s1",
        lambda request, sock: sock.sendall(complete_answer(request, extra=KEEP_ALIVE)),
    )
    fleet.start()
    assert fleet.call("/plain/")[0] == 200
    pool = fleet.host.components.connections
    assert pool.idle_count == len(server.sockets) == 1
    entry = registration("plain", server, state="draining")
    fleet.store.put("servers/s1", entry)
    wait_until(lambda: not pool.idle_count and not server.sockets)


def test_a_call_that_may_run_once_reuses_a_connection_that_has_just_worked(
    fleet, monkeypatch
):
    used = []

    def respond(request, sock):
        used.append(sock)
        sock.sendall(complete_answer(request, extra=KEEP_ALIVE))

    fleet.add_server("once", "s1", respond)
    fleet.start()
    assert attempt.FRESH_LIMIT_S <= 1.0
    # A busy machine may take longer than the limit between two calls.
    monkeypatch.setattr(attempt, "FRESH_LIMIT_S", 30.0)
    for number in range(3):
        assert fleet.call("/once/", attempt=f"a{number}")[0] == 200
    assert len(set(used)) == 1
    monkeypatch.setattr(attempt, "FRESH_LIMIT_S", 0.05)
    gevent.sleep(0.1)
    assert fleet.call("/once/", attempt="late")[0] == 200
    assert used[-1] not in used[:-1]


def read_metrics(fleet):
    url = f"http://{fleet.settings.metrics_address}/metrics"
    return gevent.get_hub().threadpool.apply(lambda: urlopen(url).read().decode())


def test_a_metric_counts_new_and_reused_connections(fleet):
    fleet.add_server(
        "plain",
        "s1",
        lambda request, sock: sock.sendall(complete_answer(request, extra=KEEP_ALIVE)),
    )
    fleet.start()
    for number in range(3):
        assert fleet.call("/plain/", attempt=f"a{number}")[0] == 200
    page = read_metrics(fleet)
    assert 'gypsumfield_server_connections_total{kind="new"} 1.0' in page
    assert 'gypsumfield_server_connections_total{kind="reused"} 2.0' in page


def test_a_server_that_omits_ids_gets_calls_that_may_run_once_on_new_connections(fleet):
    """On a reused connection, its answer may be one to an earlier call."""
    used = []
    answer = (
        b"HTTP/1.1 404 Not Found\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n"
    )

    def respond(_request, sock):
        used.append(sock)
        sock.sendall(answer + b"\r\n")

    fleet.add_server("once", "s1", respond)
    fleet.start()
    for number in range(3):
        assert fleet.call("/once/", attempt=f"a{number}")[0] == 404
    assert fleet.host.components.connections.idle_count
    assert len(set(used)) == 3


@pytest.mark.parametrize("failure", ["silent", "closes after reading"])
def test_a_call_that_may_run_once_is_not_repeated_after_a_reused_connection_fails(
    fleet, monkeypatch, failure
):
    """The server may have run it; the other server and a new connection would work."""
    runs, used = [], set()

    def respond(request, sock):
        request_id = request["headers"]["x-attempt-id"]
        if request_id != "a2":
            used.add(sock)
            sock.sendall(complete_answer(request, extra=KEEP_ALIVE))
            return None
        runs.append(sock)
        if failure == "silent":
            gevent.sleep(SILENT_S)
        return "close"

    monkeypatch.setattr(attempt, "FRESH_LIMIT_S", 30.0)
    for server_id in ("s1", "s2"):
        fleet.add_server("once", server_id, respond)
    fleet.start()
    number = 0
    while not all(server.requests for server in fleet.servers.values()):
        number += 1
        assert fleet.call("/once/", attempt=f"w{number}")[0] == 200
    status, _, body = fleet.call("/once/", attempt="a2", limit_ms=600)
    assert status in (502, 504)
    assert b"may-have-run" in body
    gevent.sleep(0.2)
    assert len(runs) == 1
    assert runs[0] in used


def test_a_connection_that_the_server_closed_meanwhile_costs_no_call(fleet):
    """A call that may run once must not be lost to a close before it was sent."""
    runs = []

    def respond(request, sock):
        runs.append(request["headers"]["x-attempt-id"])
        sock.sendall(complete_answer(request))
        return "close"

    server = fleet.add_server("once", "s1", respond)
    fleet.start()
    for number in range(3):
        assert fleet.call("/once/", attempt=f"a{number}")[0] == 200
        wait_until(lambda: not server.sockets)
    assert runs == ["a0", "a1", "a2"]


def test_a_stream_that_may_run_once_opens_a_new_connection(fleet):
    """A silent connection would cost a whole stream, a new one a millisecond."""
    used = []

    def respond(request, sock):
        if "x-token-counts" not in request["headers"]:
            fleet.answer_own_call("s1", sock)
            return
        used.append(sock)
        sock.sendall(stream_head(request) + event(1) + STREAM_END)

    fleet.add_server("engine", "s1", respond)
    fleet.start()
    for number in range(3):
        path = "/engine/"
        assert fleet.call(path, attempt=f"a{number}", headers=PROMPT)[0] == 200
    assert len(set(used)) == 3
