"""What a host holds of callers and servers is bounded for all requests together."""

import contextlib

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import publication
from fake_platform import read_request
from fake_platform import registration
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.exceptions import HeldMemoryError
from gypsumfield.gateway.bodies import BODY_CHUNK_BYTES
from gypsumfield.gateway.composition import build_edge_host
from gypsumfield.held_memory import BYTES_PER_MB
from gypsumfield.held_memory import HELD_SHARE
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import HeldPart

LIMIT_BYTES = 1_000
MEMORY_MB = 16.0
HELD_BYTES = int(MEMORY_MB * BYTES_PER_MB * HELD_SHARE)
CALL_COUNT = 40
HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Seal: s\r\n"
JUNK = b"x" * 16_384
ENDLESS = {
    "huge length": ("Content-Length: 99999999999\r\n\r\n", JUNK),
    "chunks": ("Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n%s\r\n" % JUNK),
    "no length": ("\r\n", JUNK),
    "head": ("X-Long: ", JUNK),
    "one event": (
        "Transfer-Encoding: chunked\r\n\r\n",
        b"4006\r\ndata:%s\n\r\n" % JUNK,
    ),
}


class HeldMemoryMachine(RuleBasedStateMachine):
    """Requests that grow, are dropped and end in any order."""

    def __init__(self):
        super().__init__()
        self.memory = HeldMemory(LIMIT_BYTES)
        self.holds = []
        self.dropped = set()

    @rule(has_length=st.booleans())
    def begin(self, has_length):
        hold = self.memory.open()
        hold.begin_answer(lambda: self.dropped.add(hold))
        if has_length:
            hold.record_length()
        self.holds.append(hold)

    @rule(
        data=st.data(), part=st.sampled_from(HeldPart), size=st.integers(0, LIMIT_BYTES)
    )
    def resize(self, data, part, size):
        if self.holds:
            hold = data.draw(st.sampled_from(self.holds))
            with contextlib.suppress(HeldMemoryError):
                hold.resize(part, size)

    @rule(data=st.data())
    def end(self, data):
        if self.holds:
            hold = data.draw(st.sampled_from(self.holds))
            self.holds.remove(hold)
            hold.release()

    @invariant()
    def the_sum_is_within_its_limit(self):
        assert 0 <= self.memory.held_bytes <= LIMIT_BYTES

    @invariant()
    def dropped_answers_know_it(self):
        assert all(hold.is_dropped for hold in self.dropped)

    def teardown(self):
        for hold in self.holds:
            hold.release()
        assert self.memory.held_bytes == 0


TestHeldMemory = HeldMemoryMachine.TestCase


def test_the_largest_answer_is_dropped_not_the_next_caller():
    memory = HeldMemory(LIMIT_BYTES)
    dropped = []
    large, small, caller = (memory.open() for _ in range(3))
    large.begin_answer(lambda: dropped.append("large"))
    small.begin_answer(lambda: dropped.append("small"))
    large.resize(HeldPart.ANSWER, 700)
    small.resize(HeldPart.ANSWER, 200)
    caller.resize(HeldPart.REQUEST, 400)
    assert dropped == ["large"]
    assert memory.held_bytes == 600
    with pytest.raises(HeldMemoryError):
        large.resize(HeldPart.ANSWER, 701)


def test_an_answer_that_states_its_length_outlives_larger_ones_that_do_not():
    memory = HeldMemory(LIMIT_BYTES)
    dropped = []
    sound, endless = memory.open(), memory.open()
    sound.begin_answer(lambda: dropped.append("sound"))
    sound.record_length()
    endless.begin_answer(lambda: dropped.append("endless"))
    sound.resize(HeldPart.ANSWER, 600)
    endless.resize(HeldPart.ANSWER, 300)
    sound.resize(HeldPart.ANSWER, 800)
    assert dropped == ["endless"]


def test_an_answer_that_waits_for_its_caller_is_not_dropped():
    memory = HeldMemory(LIMIT_BYTES)
    ready, next_one = memory.open(), memory.open()
    ready.begin_answer(lambda: pytest.fail("a ready answer was dropped"))
    ready.resize(HeldPart.ANSWER, 900)
    ready.end_reading()
    with pytest.raises(HeldMemoryError):
        next_one.resize(HeldPart.REQUEST, 200)
    ready.release()
    next_one.resize(HeldPart.REQUEST, 200)


class EndlessFleet(EdgeFleet):
    """Three servers whose answers never end, and a sound one.

    Attributes:
        peak_bytes: Most bytes that the host has held.
    """

    def __init__(self, head, repeated, kind):
        super().__init__({"endless": kind, "plain": "idempotent"})
        self.head, self.repeated = head, repeated
        self.endless = []
        self.peak_bytes = 0
        self.sizes = []
        for number in range(3):
            server = StreamServer(("127.0.0.1", 0), self.send_endless)
            server.start()
            server.address = f"127.0.0.1:{server.server_port}"
            self.endless.append(server)
            self.store.put(f"servers/x{number}", registration("endless", server))
        self.add_server("plain", "s1", self.send_large)
        document = publication(self.services)
        document["limits"]["max_body_bytes"] = HELD_BYTES
        self.store.put("op/config", document)
        self.start_with_memory()

    def start_with_memory(self):
        self.settings = self.host_settings("edge-1", "127.0.0.1", "z1")._replace(
            memory_mb=MEMORY_MB
        )
        self.host = build_edge_host(self.settings, system_clock(), self.events.append)
        self.host.start()
        wait_until(lambda: self.is_ready() and self.has_servers(4))
        self.watch = gevent.spawn(self.watch_peak)

    def watch_peak(self):
        memory = self.host.components.held_memory
        while True:
            self.peak_bytes = max(self.peak_bytes, memory.held_bytes)
            gevent.sleep(0)

    def send_endless(self, sock, _address):
        with contextlib.suppress(OSError):
            request = read_request(sock)
            head = HEAD.format(request["headers"].get("x-attempt-id", ""))
            sock.sendall((head + self.head).encode())
            while True:
                sock.sendall(self.repeated)
                gevent.sleep(0.001)

    def send_large(self, request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        size_bytes = int(request["target"].rpartition("/")[2])
        sock.sendall(complete_answer(request, b"y" * size_bytes))
        return None

    def stop(self):
        self.watch.kill()
        super().stop()
        for server in self.endless:
            server.stop(timeout=0)


# Guards against answers without end that use up the memory of their host together.
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answers_are_bounded_in_sum_and_others_are_served(name):
    kind = "streaming" if name == "one event" else "idempotent"
    fleet = EndlessFleet(*ENDLESS[name], kind)
    try:
        calls = [
            gevent.spawn(fleet.call, "/endless/a", attempt=f"e{number}", limit_ms=2_500)
            for number in range(CALL_COUNT)
        ]
        gevent.sleep(0.1)
        size_bytes = HELD_BYTES // 2
        for number in range(3):
            status, _, body = fleet.call(f"/plain/{size_bytes}", attempt=f"p{number}")
            assert (status, len(body)) == (200, size_bytes)
        answers = [call.get(timeout=30.0) for call in calls]
        assert all(status in (502, 504) for status, _, _ in answers)
        assert fleet.peak_bytes <= HELD_BYTES
        wait_until(lambda: not fleet.host.components.held_memory.held_bytes)
        failed = fleet.events_named("attempt_failed")
        assert {event.verdict for event in failed} == {"may-have-run"}
    finally:
        fleet.stop()


def test_callers_bodies_are_bounded_in_sum_and_the_refusal_is_true():
    fleet = EndlessFleet(*ENDLESS["no length"], "idempotent")
    body = b"z" * (HELD_BYTES // 3)
    head = (
        "POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n"
        "Authorization: Token key-a\r\nX-Deadline-Ms: 4000\r\n"
        f"Content-Length: {len(body) + 1}\r\n\r\n"
    )
    try:
        # The last byte of these bodies never comes.
        waiting = [fleet.connect() for _ in range(2)]
        for number, sock in enumerate(waiting):
            sock.sendall(head.format(f"w{number}").encode() + body)
        memory = fleet.host.components.held_memory
        wait_until(lambda: memory.held_bytes >= 2 * (len(body) - BODY_CHUNK_BYTES))
        status, headers, answer = fleet.call(
            "/plain/1", body=b"z" * (HELD_BYTES // 2), attempt="a9"
        )
        assert status == 503
        assert b"memory_full" in answer
        assert float(headers["retry-after"]) > 0.0
        assert not fleet.servers["s1"].calls("/plain/")
        assert fleet.peak_bytes <= HELD_BYTES
        for sock in waiting:
            sock.close()
        wait_until(lambda: not memory.held_bytes)
        assert fleet.call("/plain/1", body=body, attempt="a10")[0] == 200
    finally:
        fleet.stop()
