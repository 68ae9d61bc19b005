from types import SimpleNamespace

from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.clock import ManualClock
from gypsumfield.entry_host import EntryHost
from gypsumfield.entry_host import Farewell
from gypsumfield.settings import EntrySettings


def test_host_retires_and_leaves_before_its_answers_are_drained():
    calls = []
    clock = ManualClock()
    request_tracker = RequestTracker(lambda environ, start_response: [])
    request_tracker.in_flight_count = 1

    def sleep_ms(duration_ms):
        clock.advance(duration_ms)
        if "drained" not in calls and clock.now_ms > 10_000.0:
            calls.append("drained")
            request_tracker.in_flight_count = 0

    host = EntryHost(
        EntrySettings("entry-1", "manta", "http://127.0.0.1:1"),
        SimpleNamespace(),
        SimpleNamespace(
            request_tracker=request_tracker,
            close=lambda: None,
            stop=lambda timeout: None,
        ),
        [SimpleNamespace(stop=lambda: calls.append("stop"))],
        Farewell(lambda: calls.append("retire"), lambda: calls.append("leave")),
        SimpleNamespace(close=lambda: None),
        clock.as_clock()._replace(sleep_ms=sleep_ms),
        lambda event: None,
    )
    assert host.drain() == 0
    assert calls[:3] == ["retire", "leave", "drained"]
    assert calls[-1] == "stop"
