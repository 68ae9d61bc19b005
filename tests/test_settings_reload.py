"""Reload of the settings while a host serves."""

import contextlib
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import pytest

import gypsumfield
from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from gypsumfield.commands.edge import EXIT_BAD_SETTINGS
from gypsumfield.commands.edge import SettingsWatch
from gypsumfield.gateway.settings import EdgeBounds
from test_platform import SETTINGS

PROMPT = "X-Token-Counts: 1000,80\r\nX-Length-Hint: 80\r\nX-Model: m\r\n"


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet({"plain": "idempotent", "engine": "streaming"})
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def reload(fleet, **changes):
    fleet.host.reload(fleet.settings._replace(**changes))
    return fleet.events_named("settings_reloaded")[-1]


def test_a_reload_breaks_no_stream_and_no_connection(fleet):
    is_reloaded = gevent.event.Event()

    def respond(request, sock):
        sock.sendall(stream_head(request) + event(1))
        is_reloaded.wait(10)
        sock.sendall(event(2) + STREAM_END)

    fleet.add_server("engine", "e1", respond)
    fleet.start()
    with contextlib.closing(fleet.send_request("/engine/", headers=PROMPT)) as sock:
        wait_until(lambda: fleet.events_named("first_token"))
        for ratio in (0.1, 0.3):
            reload(fleet, bounds=EdgeBounds(retry_ratio=ratio))
        is_reloaded.set()
        status, _, body = read_answer(sock)
    whole_stream = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
    assert (status, body) == (200, whole_stream)


def test_new_bounds_apply_at_once(fleet):
    for server_id in ("p1", "p2"):
        fleet.add_server("plain", server_id, lambda request, sock: sock.close())
    fleet.start()
    bounds = EdgeBounds(retry_ratio=0.0, retry_extra=0.0)
    reload(fleet, bounds=bounds)
    assert fleet.call("/plain/a", attempt="a1")[0] == 502
    assert not fleet.events_named("request_retried")
    reload(fleet, bounds=EdgeBounds(retry_ratio=2.0))
    fleet.call("/plain/a", attempt="a2")
    assert fleet.events_named("request_retried")


def test_a_changed_time_to_stop_applies_to_a_draining_host(fleet):
    fleet.add_server(
        "plain", "p1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    fleet.start()
    request_tracker = fleet.host.components.request_tracker
    request_tracker.begin_drain(fleet.host._clock.monotonic_ms() - 7_000.0)
    assert fleet.call("/plain/a", attempt="a1")[0] == 503
    reload(fleet, bounds=EdgeBounds(stop_limit_ms=60_000.0))
    assert fleet.call("/plain/a", attempt="a2")[0] == 200


def test_a_changed_address_is_logged_as_deferred_to_the_next_start(fleet):
    fleet.start()
    reloaded = reload(fleet, caller_address="127.0.0.1:1", news_port=9)
    assert (reloaded.is_changed, reloaded.deferred) == (
        False,
        "caller_address,news_port",
    )
    reloaded = reload(fleet, seed_ips=("127.0.0.9",))
    assert (reloaded.is_changed, reloaded.deferred) == (True, "")


class RecordingHost:
    def __init__(self):
        self.adopted = []
        self.keep_reasons = []

    def reload(self, settings):
        self.adopted.append(settings)

    def log_settings_kept(self, reason):
        self.keep_reasons.append(reason)


def test_an_invalid_file_changes_nothing_and_a_corrected_one_is_adopted(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    host = RecordingHost()
    watch = SettingsWatch(path, host, path.read_bytes())
    watch.reload_if_changed()
    assert (host.adopted, host.keep_reasons) == ([], [])
    path.write_text(SETTINGS.replace("grace_s = 8", "grace_s = soon"))
    watch.reload_if_changed()
    watch.reload_if_changed()
    assert host.adopted == [] and len(host.keep_reasons) == 1
    assert "settings.toml" in host.keep_reasons[0]
    path.write_text(SETTINGS.replace("grace_s = 8", "grace_s = 9"))
    watch.reload_if_changed()
    assert [settings.bounds.stop_limit_ms for settings in host.adopted] == [9_000.0]


# Guards against a process that a signal ends before it has set its handlers.
def test_a_signal_during_the_start_does_not_end_the_process():
    program = Path(gypsumfield.__file__).parent.parent / "edge.py"
    process = subprocess.Popen(
        [sys.executable, str(program)], stderr=subprocess.PIPE, env={}
    )
    hang_up_bit = 1 << (signal.SIGHUP - 1)

    def ignores_hang_ups():
        status = Path(f"/proc/{process.pid}/status").read_text()
        ignored = status.partition("SigIgn:")[2].split()[0]
        return bool(int(ignored, 16) & hang_up_bit)

    while process.poll() is None and not ignores_hang_ups():
        continue
    process.send_signal(signal.SIGHUP)
    # Without settings, the program ends by itself.
    assert process.wait(30) == EXIT_BAD_SETTINGS
    process.stderr.close()
