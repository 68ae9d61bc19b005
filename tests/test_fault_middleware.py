"""Tests of what each armed fault does to a TCP connection, and to the request."""

import contextlib
from collections.abc import Callable

import pytest
from gevent import socket

from gypsumfield.standins.faults import Fault
from gypsumfield.standins.plain import PlainStandin

SALE = b'{"cart":"c","amount":1}'
HEAD = b"POST /sales HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(SALE)
READ_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 0.5

# By step: how much of the response arrives, and how often the sale runs.
STEPS = {
    "before-connect": ("none", 0),
    "connected": ("none", 0),
    "headers-sent": ("none", 0),
    "body-sent": ("none", 1),
    "first-byte": ("some", 1),
    "mid-stream": ("some", 1),
    "end-marker": ("some", 1),
    "pool-return": ("all", 1),
}


@pytest.fixture
def ledger():
    standin = PlainStandin()
    standin.start()
    yield standin
    standin.stop()


class RawClient:
    """Client connection that records its outcome.

    The outcome is `refused`, `unreachable`, `closed`, or `silent` when a read times
    out after the fault took effect.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.received = b""
        self.outcome = ""
        self.socket = socket.socket()
        self.socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self.socket.connect((host, int(port)))
        except ConnectionRefusedError:
            self.outcome = "refused"
        except TimeoutError:
            self.outcome = "unreachable"

    def exchange(self, has_fault_hit: Callable[[], object] = lambda: True) -> None:
        if self.outcome:
            return
        self.socket.settimeout(READ_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.socket.sendall(HEAD + SALE)
        self.outcome = "closed"
        while True:
            try:
                chunk = self.socket.recv(65_536)
            except TimeoutError:
                if has_fault_hit():
                    self.outcome = "silent"
                    return
                continue
            except OSError:
                return
            if not chunk:
                return
            self.received += chunk

    def received_part(self) -> str:
        if not self.received:
            return "none"
        return "all" if self.received.endswith(b'"balance":1.0}') else "some"


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("kind", ["crash", "partition", "stall"])
def test_each_fault_at_each_step_of_a_request(ledger, kind, step):
    expected_part, run_count = STEPS[step]
    ledger.server.arm((Fault(kind, step),))
    client = RawClient(ledger.address)
    hits = ledger.server.armed_faults.hits
    # A fault of the listener (`before-connect`) hits no request and counts no hit.
    client.exchange(lambda: kind != "crash" and (hits or step == "before-connect"))
    outcomes = {"crash": "closed", "partition": "silent", "stall": "silent"}
    outcomes_before_connect = {
        "crash": "refused",
        "partition": "unreachable",
        "stall": "silent",
    }
    expected = outcomes_before_connect if step == "before-connect" else outcomes
    assert client.outcome == expected[kind]
    assert client.received_part() == expected_part
    assert sum(ledger.runs.values()) == run_count
    ledger.server.arm(())
    if kind == "stall":
        client.socket.settimeout(5.0)
        while client.received_part() != "all":
            client.received += client.socket.recv(65_536)
        assert sum(ledger.runs.values()) == 1
    next_client = RawClient(ledger.address)
    next_client.exchange()
    assert next_client.received.startswith(b"HTTP/1.1 201")


def test_a_second_request_on_a_partitioned_connection_is_not_run(ledger):
    ledger.server.arm((Fault("partition", "pool-return"),))
    client = RawClient(ledger.address)
    client.exchange()
    client.exchange()
    assert (client.outcome, sum(ledger.runs.values())) == ("silent", 1)


def test_a_crash_at_body_sent_without_has_run_runs_nothing(ledger):
    ledger.server.arm((Fault("crash", "body-sent", has_run=False),))
    client = RawClient(ledger.address)
    client.exchange()
    assert (client.outcome, sum(ledger.runs.values())) == ("closed", 0)


def test_a_fault_hits_its_count_of_requests_and_no_more(ledger):
    ledger.server.arm((Fault("crash", "body-sent", count=2, path_prefix="/sales"),))
    received_parts = []
    for _ in range(3):
        client = RawClient(ledger.address)
        client.exchange()
        received_parts.append(client.received_part())
    assert received_parts == ["none", "none", "some"]
    assert ledger.server.armed_faults.hits == {"crash body-sent": 2}
