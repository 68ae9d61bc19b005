"""Plain calls through one entry host, and the rule CONFIG on late answers."""

import threading
import time
import uuid

import rig as r

DESK = "wuno96b"
LOG_PATH = "/pule252/"
TIMEOUT_MS = 800
# "more than half have no answer half a second later"
LATER_MS = 500
# A few calls may be late for a reason of this machine.
MIN_LATE_CALLS = 8


def log_route():
    """Return the route of the plain calls."""
    return r.plain_route("log", LOG_PATH, DESK, "non_idempotent", TIMEOUT_MS)


def add_desks(rig):
    """Add a runner of the plain service in each zone."""
    for number, zone in enumerate(r.ZONES):
        rig.add_runner(DESK, f"i-desk{number}", zone, _log_donation, 6)


def watch(rig, host, watched_s):
    """Send plain calls and status checks to a host for a while and apply the rule.

    Returns:
        The exit status of the case.
    """
    before_ms = host.processor_ms()
    answers, checks, threads = [], [], []
    until_s = time.monotonic() + watched_s
    while time.monotonic() < until_s:
        thread = threading.Thread(target=_send_log, args=(rig, host, answers))
        thread.start()
        threads.append(thread)
        checks.append(host.is_ready(0.3))
        time.sleep(0.2)
    used_ms = host.processor_ms() - before_ms
    for thread in threads:
        thread.join()
    late = [a for a in answers if _is_open(a, TIMEOUT_MS)]
    later = [a for a in late if _is_open(a, TIMEOUT_MS + LATER_MS)]
    rig.record.write(
        f"{len(answers)} plain calls; {len(late)} without an answer at timeout_ms, "
        f"{len(later)} of them half a second later; {sum(checks)} of {len(checks)} "
        f"status checks answered; the host used {used_ms:.0f} ms of processor time in "
        f"{watched_s:.0f} s"
    )
    is_broken = len(late) >= MIN_LATE_CALLS and 2 * len(later) > len(late)
    return r.BROKEN if is_broken else r.HELD


def _is_open(answer, at_ms):
    return answer.answered_ms is None or answer.answered_ms > at_ms


def _log_donation(runner, request, sock):
    runner.record.write(f"{runner.server_id} runs {request.attempt_id}")
    time.sleep(0.0225)
    sock.sendall(r.framed(r.sealed_head(request), b"d" * 800))
    return True


def _send_log(rig, host, answers):
    attempt_id = uuid.uuid4().hex[:16]
    answer = r.call(host.front, "POST", f"{LOG_PATH}2f", attempt_id, b"l" * 600, 1500)
    answers.append(answer)
    result = (
        f"status {answer.status}, {answer.answered_ms:.0f} ms"
        if answer.answered_ms
        else f"no answer: {answer.error}"
    )
    rig.record.write(f"client: {attempt_id} through {host.name}: {result}")
