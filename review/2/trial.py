"""Bytes without end in the body of one stream keep an entry host from all others."""

import sys
import threading
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import late_calls  # noqa: E402
import rig as r  # noqa: E402

ENGINES = "huvo11a"
WRITE_UP_PATH = "/lohu930/"
# The bench's largest dose of `garble`: half of the runners spoil one answer in 50.
ANSWERS_PER_SPOILED = 50
WATCHED_S = 10.0
EVENT_COUNT = 4
# Clients abandon a stream after a gap of four times the objective.
GAP_LIMIT_S = 7.2
ENDLESS = b"\n" * 16_384


class Engine:
    """Answers streams; the faulty one sends bytes without end in one answer of 50."""

    def __init__(self, is_faulty):
        self.is_faulty = is_faulty
        self.count = 0
        self.sent_bytes = 0
        self._lock = threading.Lock()

    def respond(self, runner, request, sock):
        """Answer one stream."""
        with self._lock:
            self.count += 1
            is_spoiled = self.is_faulty and self.count == ANSWERS_PER_SPOILED
        runner.record.write(f"{runner.server_id} runs {request.attempt_id}")
        head = r.sealed_head(
            request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        )
        sock.sendall(head.encode() + b"\r\n")
        for number in range(1, EVENT_COUNT + 1):
            sock.sendall(r.chunk(f"id: {number}\ndata: word {number}\n\n".encode()))
            time.sleep(0.005)
            if is_spoiled and number == 2:
                self._send_endless(runner, request, sock)
        sock.sendall(b"0\r\n\r\n")
        return True

    def _send_endless(self, runner, request, sock):
        text = f"{runner.server_id}: endless bytes in {request.attempt_id}"
        runner.record.write(f"{text} begin")
        started_s = time.monotonic()
        data = r.chunk(ENDLESS)
        try:
            while True:
                sock.sendall(data)
                self.sent_bytes += len(ENDLESS)
        finally:
            rate = self.sent_bytes / (time.monotonic() - started_s) / 1e6
            runner.record.write(f"{text} end: the caller closed; {rate:.2f} MB/s")


class GapLimit:
    """Abandons a stream that has brought no event for too long."""

    def __init__(self):
        self._buffer = b""
        self._event_s = time.monotonic()

    def feed(self, data):
        """Take received data; raise OSError when it is time to leave."""
        self._buffer = (self._buffer + data.lstrip(b"\n"))[-4096:]
        if b"data:" in data:
            self._event_s = time.monotonic()
        if time.monotonic() - self._event_s > GAP_LIMIT_S:
            raise OSError("the client has abandoned the stream: no event came")


def send_write_up(rig, host):
    """Send one stream as a client and record its answer."""
    attempt_id = uuid.uuid4().hex[:16]
    prefix = f"{uuid.uuid4().hex[:8]}:47,{uuid.uuid4().hex[:8]}:31"
    extra = (
        "X-Model: m\r\nX-Token-Counts: 300,16\r\nX-Length-Hint: 16\r\n"
        f"X-Prompt-Prefix: {prefix}\r\n"
    )
    answer = r.call(
        host.front,
        "POST",
        f"{WRITE_UP_PATH}2f",
        attempt_id,
        b"p" * 300,
        39000,
        extra,
        GapLimit().feed,
    )
    rig.record.write(
        f"client: {attempt_id} through {host.name}: status {answer.status}, "
        f"{'complete' if answer.is_complete else answer.error}"
    )
    return answer


def run_case(rig):
    """Let one answer be without end and apply the rule; return the exit status."""
    rig.publish(
        [
            r.stream_route("write-up", WRITE_UP_PATH, ENGINES, False),
            late_calls.log_route(),
        ],
        [r.engine_service(ENGINES), r.plain_service(late_calls.DESK)],
    )
    faulty, sound = Engine(rig.has_trouble), Engine(False)
    rig.add_runner(ENGINES, "i-7f3a91c2", r.ZONES[0], faulty.respond)
    rig.add_runner(ENGINES, "i-02d9e6b4", r.ZONES[1], sound.respond)
    late_calls.add_desks(rig)
    rig.add_hosts(2)
    rig.start_hosts()
    host = rig.hosts[0]
    until_s = time.monotonic() + 60.0
    while faulty.count < ANSWERS_PER_SPOILED - 1:
        if time.monotonic() > until_s:
            raise r.CouldNotRunError("the faulty runner got too few streams")
        if not send_write_up(rig, host).is_complete:
            raise r.CouldNotRunError("a stream failed before the disruption")
    last = threading.Thread(target=send_until_spoiled, args=(rig, host, faulty))
    last.start()
    time.sleep(0.5)
    status = late_calls.watch(rig, host, WATCHED_S)
    last.join()
    return status


def send_until_spoiled(rig, host, faulty):
    """Send streams until the faulty runner has sent endless bytes."""
    for _ in range(40):
        if faulty.count >= ANSWERS_PER_SPOILED:
            return
        send_write_up(rig, host)


r.main(run_case, FOLDER)
