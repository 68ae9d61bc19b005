"""A stream that may run once goes on elsewhere while its first runner still works."""

import json
import sys
import threading
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig as r  # noqa: E402

ENGINES = "huvo11a"
WRITE_UP_PATH = "/lohu930/"
EVENT_COUNT = 60
EVENT_S = 0.03
SPOILED_EVENT = 10
TOLERATED_S = 0.4
# The bench's largest dose of `garble`: half of the runners spoil one answer in 50.
ANSWERS_PER_SPOILED = 50


class Runs:
    """When each engine worked on each request, as the engines themselves say."""

    def __init__(self):
        self.lock = threading.Lock()
        self.spans = {}
        self.counts = {}
        self.copies = {}

    def begin(self, server_id, attempt_id):
        """Record that an engine begins to work on a request."""
        with self.lock:
            span = [server_id, time.monotonic(), None]
            self.spans.setdefault(attempt_id, []).append(span)
            return span

    def double_work_s(self, attempt_id):
        """Return for how long an engine worked on after a later one had begun."""
        spans = self.spans.get(attempt_id, [])
        overlap_s = 0.0
        for earlier, later in zip(spans, spans[1:], strict=False):
            if earlier[0] != later[0]:
                ended_s = earlier[2] or time.monotonic()
                overlap_s = max(overlap_s, ended_s - later[1])
        return overlap_s


class Engine:
    """Runs streams; it works on when the connection of one closes, as some do.

    The faulty one spoils one byte in one answer of 50.
    """

    def __init__(self, runs, is_faulty):
        self.runs = runs
        self.is_faulty = is_faulty
        self.count = 0
        self.spoiled_id = ""
        self.running = set()
        self.stopped = set()
        self._lock = threading.Lock()

    def respond(self, runner, request, sock):
        """Run one request, or answer a call of the host itself."""
        if request.target.startswith("/-/"):
            return self._answer_control(runner, request, sock)
        attempt_id = request.attempt_id
        source = request.headers.get("kv-from", "")
        backup = request.headers.get("x-kv-backup", "")
        with self._lock:
            self.count += not source
            is_spoiled = (
                self.is_faulty and not source and self.count >= ANSWERS_PER_SPOILED
            )
            is_spoiled = is_spoiled and not self.spoiled_id and bool(backup)
            if is_spoiled:
                self.spoiled_id = attempt_id
        if source and attempt_id not in self.runs.copies.get(runner.address, set()):
            sock.sendall(
                r.framed("HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n", b"")
            )
            return True
        if backup:
            self.runs.copies.setdefault(backup, set()).add(attempt_id)
        span = self.runs.begin(runner.server_id, attempt_id)
        first = int(request.headers.get("last-event-id", "0")) + 1
        runner.record.write(
            f"{runner.server_id} begins to run {attempt_id} at event {first}"
            f"{', from the copy ' + source if source else ''}"
            f"{', backup at ' + backup if backup else ''}"
        )
        self.running.add(attempt_id)
        self._run(runner, request, sock, first, is_spoiled)
        self.running.discard(attempt_id)
        span[2] = time.monotonic()
        runner.record.write(f"{runner.server_id} has ended its work on {attempt_id}")
        return True

    def _answer_control(self, runner, request, sock):
        """Answer `kv-move`, which stops a run if it is final, and `DELETE` calls."""
        runner.record.write(
            f"{runner.server_id} gets {request.method} {request.target}"
        )
        status, body = "200 OK", {}
        if request.target == "/-/kv-move":
            move = json.loads(request.body)
            if move["id"] in self.running:
                body = {"handle": f"h-{move['id']}", "created": 0}
                if move.get("final"):
                    self.stopped.add(move["id"])
            else:
                status = "404 Not Found"
        data = json.dumps(body).encode()
        sock.sendall(r.framed(f"HTTP/1.1 {status}\r\n", data))
        return True

    def _run(self, runner, request, sock, first, is_spoiled):
        is_read = self._write(
            sock,
            r.sealed_head(
                request,
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            ).encode()
            + b"\r\n",
        )
        for number in range(first, EVENT_COUNT + 1):
            if request.attempt_id in self.stopped:
                return
            time.sleep(EVENT_S if is_spoiled or first > 1 else EVENT_S / 10)
            data = f"id: {number}\ndata: word {number}\n\n".encode()
            if is_spoiled and number == SPOILED_EVENT:
                data = data.replace(b"data:", b"data;")
                runner.record.write(f"{runner.server_id} spoils one byte of it")
            if is_read:
                is_read = self._write(sock, r.chunk(data))
                if not is_read:
                    runner.record.write(
                        f"{runner.server_id}: the connection of {request.attempt_id} "
                        "is closed; it works on"
                    )
        if is_read:
            self._write(sock, b"0\r\n\r\n")

    @staticmethod
    def _write(sock, data):
        try:
            sock.sendall(data)
        except OSError:
            return False
        return True


def send_write_up(rig, host):
    """Send one stream as a client and record its answer."""
    attempt_id = uuid.uuid4().hex[:16]
    prefix = f"{uuid.uuid4().hex[:8]}:47,{uuid.uuid4().hex[:8]}:31"
    extra = (
        f"X-Model: m\r\nX-Token-Counts: 300,{EVENT_COUNT * 4}\r\n"
        f"X-Length-Hint: {EVENT_COUNT * 4}\r\nX-Prompt-Prefix: {prefix}\r\n"
    )
    answer = r.call(
        host.front,
        "POST",
        f"{WRITE_UP_PATH}2f",
        attempt_id,
        b"p" * 300,
        39000,
        extra,
    )
    rig.record.write(
        f"client: {attempt_id} through {host.name}: status {answer.status}, "
        f"{answer.body.count(b'id:')} events, "
        f"{'complete' if answer.is_complete else answer.error}"
    )
    return answer


def run_case(rig):
    """Spoil one event and apply the rule; return the exit status."""
    rig.publish(
        [r.stream_route("write-up", WRITE_UP_PATH, ENGINES, False)],
        [r.engine_service(ENGINES, has_backups=True)],
    )
    runs = Runs()
    faulty = Engine(runs, rig.has_trouble)
    rig.add_runner(ENGINES, "i-7f3a91c2", r.ZONES[0], faulty.respond)
    for number in range(2):
        zone = r.ZONES[1 - number]
        sound = Engine(runs, False)
        rig.add_runner(ENGINES, f"i-02d9e6b{number}", zone, sound.respond)
    rig.add_hosts(2)
    rig.start_hosts()
    host = rig.hosts[0]
    until_s = time.monotonic() + 70.0
    while not faulty.spoiled_id:
        if time.monotonic() > until_s:
            break
        if not rig.has_trouble and faulty.count > ANSWERS_PER_SPOILED:
            break
        send_write_up(rig, host)
    time.sleep(4.0)
    if rig.has_trouble and not faulty.spoiled_id:
        raise r.CouldNotRunError("the faulty runner got too few streams")
    doubled = {
        attempt_id: runs.double_work_s(attempt_id)
        for attempt_id in runs.spans
        if runs.double_work_s(attempt_id) > TOLERATED_S
    }
    for attempt_id, overlap_s in doubled.items():
        rig.record.write(
            f"{attempt_id}: the runner before worked {overlap_s:.3f} s after the next "
            "one had begun"
        )
    rig.record.write(f"{len(runs.spans)} streams, {len(doubled)} run twice at once")
    return r.BROKEN if doubled else r.HELD


r.main(run_case, FOLDER)
