"""What each armed fault does to a raw connection, and whether the call ran."""

import contextlib
from collections.abc import Callable

import pytest
from gevent import socket

from gypsumfield.standins.faults import Fault
from gypsumfield.standins.plain import PlainStandin

SALE = b'{"cart":"c","amount":1}'
HEAD = b"POST /sales HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(SALE)
SILENCE_S = 0.25
CONNECT_TIMEOUT_S = 0.5

# Step: bytes of the answer that arrive, and how often the sale runs.
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
    """Connection that tells how it ended: refused, unreachable, closed, silent."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.received = b""
        self.end = ""
        self.socket = socket.socket()
        self.socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self.socket.connect((host, int(port)))
        except ConnectionRefusedError:
            self.end = "refused"
        except TimeoutError:
            self.end = "unreachable"

    def exchange(self, has_hit: Callable[[], object] = lambda: True) -> None:
        if self.end:
            return
        self.socket.settimeout(SILENCE_S)
        with contextlib.suppress(OSError):
            self.socket.sendall(HEAD + SALE)
        self.end = "closed"
        while True:
            try:
                chunk = self.socket.recv(65_536)
            except TimeoutError:
                if has_hit():
                    self.end = "silent"
                    return
                continue
            except OSError:
                return
            if not chunk:
                return
            self.received += chunk

    def amount(self) -> str:
        if not self.received:
            return "none"
        return "all" if self.received.endswith(b'"balance":1.0}') else "some"


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("kind", ["crash", "partition", "stall"])
def test_each_fault_at_each_step(ledger, kind, step):
    amount, run_count = STEPS[step]
    ledger.server.arm((Fault(kind, step),))
    client = RawClient(ledger.address)
    hits = ledger.server.faults.hits
    # A fault of the listener is never met by a request and counts no hit.
    client.exchange(lambda: kind != "crash" and (hits or step == "before-connect"))
    ends = {"crash": "closed", "partition": "silent", "stall": "silent"}
    early = {"crash": "refused", "partition": "unreachable", "stall": "silent"}
    expected = early if step == "before-connect" else ends
    assert client.end == expected[kind]
    assert client.amount() == amount
    assert sum(ledger.runs.values()) == run_count
    ledger.server.arm(())
    if kind == "stall":
        client.socket.settimeout(5.0)
        while client.amount() != "all":
            client.received += client.socket.recv(65_536)
        assert sum(ledger.runs.values()) == 1
    after = RawClient(ledger.address)
    after.exchange()
    assert after.received.startswith(b"HTTP/1.1 201")


def test_a_request_on_a_connection_that_a_fault_holds_is_not_run(ledger):
    ledger.server.arm((Fault("partition", "pool-return"),))
    client = RawClient(ledger.address)
    client.exchange()
    client.exchange()
    assert (client.end, sum(ledger.runs.values())) == ("silent", 1)


def test_a_fault_without_run_at_body_sent_runs_nothing(ledger):
    ledger.server.arm((Fault("crash", "body-sent", has_run=False),))
    client = RawClient(ledger.address)
    client.exchange()
    assert (client.end, sum(ledger.runs.values())) == ("closed", 0)


def test_faults_count_down_and_spare_other_paths(ledger):
    ledger.server.arm((Fault("crash", "body-sent", count=2, path_prefix="/sales"),))
    ends = []
    for _ in range(3):
        client = RawClient(ledger.address)
        client.exchange()
        ends.append(client.amount())
    assert ends == ["none", "none", "some"]
    assert ledger.server.faults.hits == {"crash body-sent": 2}
