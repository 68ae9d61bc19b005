"""One wrong byte in an event of a stream stops an entry host."""

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
TAG_PATH = "/pufi791/"
# The bench's largest dose of `garble`: half of the runners spoil one answer in 50.
ANSWERS_PER_SPOILED = 50
WATCHED_S = 20.0
EVENT_COUNT = 4


def event(number):
    """Return an event with one field a line, lines ended by CR LF, 30 lines long."""
    fields = [
        "{",
        f' "id": "tag-{number}",',
        ' "object": "text_completion.chunk",',
        ' "model": "m",',
        ' "choices": [',
        "  {",
        '   "index": 0,',
        f'   "text": "bin {number}",',
        '   "logprobs": [',
        *(f"    [{token}, -0.{token}1]," for token in range(10, 22)),
        "    [22, -0.1]",
        "   ],",
        '   "finish_reason": null',
        "  }",
        " ],",
        ' "usage": null',
        "}",
    ]
    lines = [f"id: {number}", *(f"data: {field}" for field in fields)]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def spoiled(data):
    """Return the event with one wrong byte: the colon of its last line."""
    position = data.rindex(b"data: }") + len(b"data")
    return data[:position] + b";" + data[position + 1 :]


class Engine:
    """Answers streams; the faulty one spoils one answer in 50."""

    def __init__(self, is_faulty):
        self.is_faulty = is_faulty
        self.count = 0
        self.spoiled_count = 0
        self._lock = threading.Lock()

    def respond(self, runner, request, sock):
        """Answer one stream."""
        with self._lock:
            self.count += 1
            is_spoiled = self.is_faulty and self.count == ANSWERS_PER_SPOILED
            self.spoiled_count += is_spoiled
        runner.record.write(f"{runner.server_id} runs {request.attempt_id}")
        head = r.sealed_head(
            request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        )
        sock.sendall(head.encode() + b"\r\n")
        for number in range(1, EVENT_COUNT + 1):
            data = event(number)
            if is_spoiled and number == 2:
                data = spoiled(data)
                runner.record.write(
                    f"{runner.server_id} spoils one byte of event 2 of "
                    f"{request.attempt_id}"
                )
            sock.sendall(r.chunk(data))
            time.sleep(0.005)
        sock.sendall(b"0\r\n\r\n")
        return True


def send_tag(rig, host):
    """Send one stream as a client and record its answer."""
    attempt_id = uuid.uuid4().hex[:16]
    prefix = f"{uuid.uuid4().hex[:8]}:210,{uuid.uuid4().hex[:8]}:140"
    extra = (
        "X-Model: m\r\nX-Token-Counts: 350,16\r\nX-Length-Hint: 16\r\n"
        f"X-Prompt-Prefix: {prefix}\r\n"
    )
    answer = r.call(
        host.front, "POST", f"{TAG_PATH}2f", attempt_id, b"p" * 700, 6000, extra
    )
    rig.record.write(
        f"client: {attempt_id} through {host.name}: status {answer.status}, "
        f"{'complete' if answer.is_complete else answer.error}"
    )
    return answer


def run_case(rig):
    """Spoil one event and apply the rule; return the exit status."""
    rig.publish(
        [
            r.stream_route("tag", TAG_PATH, ENGINES, True, 6000, 2),
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
        if not send_tag(rig, host).is_complete:
            raise r.CouldNotRunError("a stream failed before the disruption")
    last = threading.Thread(target=send_until_spoiled, args=(rig, host, faulty))
    last.start()
    time.sleep(1.0)
    status = late_calls.watch(rig, host, WATCHED_S)
    last.join()
    return status


def send_until_spoiled(rig, host, faulty):
    """Send streams until the faulty runner has spoiled one."""
    for _ in range(40):
        if faulty.count >= ANSWERS_PER_SPOILED:
            return
        send_tag(rig, host)


r.main(run_case, FOLDER)
