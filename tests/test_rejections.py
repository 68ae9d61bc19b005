"""The log of published items that cannot be used."""

from gypsumfield.clock import ManualClock
from gypsumfield.gateway.rejections import LOG_INTERVAL_MS
from gypsumfield.gateway.rejections import MAX_LOGGED_REJECTIONS
from gypsumfield.gateway.rejections import MAX_REJECTIONS
from gypsumfield.gateway.rejections import Rejections


def record_flood(rejections):
    for number in range(2 * MAX_REJECTIONS):
        rejections.record(f"servers/{number}", "no id of a server", "store")


def test_a_flood_of_odd_items_is_logged_in_part_and_counted():
    clock, events = ManualClock(1_000.0), []
    rejections = Rejections(clock.as_clock(), events.append)
    for _ in range(3):
        record_flood(rejections)
    assert len(events) == MAX_LOGGED_REJECTIONS
    clock.advance(LOG_INTERVAL_MS)
    record_flood(rejections)
    assert len(events) == 2 * MAX_LOGGED_REJECTIONS
    unlogged_count = 3 * 2 * MAX_REJECTIONS - MAX_LOGGED_REJECTIONS
    assert events[MAX_LOGGED_REJECTIONS].unlogged_count == unlogged_count
