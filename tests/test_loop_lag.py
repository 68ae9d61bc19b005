"""The guard that names what holds up the event loop of a host."""

import time

import gevent
import pytest

from gypsumfield.adapters.loop_lag import LoopLag
from gypsumfield.adapters.loop_lag import name_greenlet
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.events import LoopHeld

HOLD_S = 0.3


def hold_up():
    name_greenlet("request a1")
    time.sleep(HOLD_S)


@pytest.fixture
def guard():
    events, durations_ms = [], []
    lag = LoopLag(durations_ms.append, events.append)
    lag.start()
    yield lag, events, durations_ms
    lag.stop()


# Guards against a host that answers nothing while its log and metrics do not say why.
def test_what_holds_up_the_event_loop_is_named_in_the_log(guard):
    _, events, durations_ms = guard
    gevent.spawn(hold_up).join()
    with gevent.Timeout(20.0):
        while not events:
            gevent.sleep(0.05)
    assert isinstance(events[0], LoopHeld)
    assert events[0].holder == "request a1"
    assert events[0].held_ms == max(durations_ms) >= 1000 * HOLD_S


def test_a_loop_that_waits_for_input_is_not_held(guard):
    lag, _, _ = guard
    lag.take_longest()
    gevent.sleep(HOLD_S)
    assert lag.take_longest().held_ms < 1000 * HOLD_S / 2


def test_the_histogram_of_holds_has_no_label():
    metrics = Metrics(lambda service: service)
    metrics.record_loop_held(300.0)
    text = metrics.render().decode()
    assert "gypsumfield_loop_held_ms_count 1.0" in text
    assert 'gypsumfield_loop_held_ms_quantile{quantile="0.99"}' in text
