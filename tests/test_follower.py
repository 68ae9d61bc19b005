"""Which failures of the store let a deleted registration count as lapsed."""

import json
import random

import pytest

from fake_platform import publication
from gypsumfield.clock import ManualClock
from gypsumfield.exceptions import PlatformError
from gypsumfield.gateway.follower import CHANGE_BATCH_MS
from gypsumfield.gateway.follower import FollowerDependencies
from gypsumfield.gateway.follower import MIN_EXPIRY_OUTAGE_MS
from gypsumfield.gateway.follower import StoreFollower
from gypsumfield.gateway.follower import WATCH_WAIT_MS
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.published_items import WatchedChanges
from placing_fleet import make_catalogue

SERVER = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}


class ScriptedStore:
    """Store whose watches take some time and end as the script says."""

    era = 0

    def __init__(self, clock):
        self.clock = clock
        self.revision = 2
        self.script = []

    def list_items(self, _prefix):
        raise AssertionError("the view of a peer is complete")

    def watch(self, _prefix, _after, _wait_ms):
        duration_ms, result = self.script.pop(0)
        self.clock.advance(duration_ms)
        if result == "failure":
            raise PlatformError("store: no answer")
        self.revision += 1
        is_deletion = result == "deletion"
        items = [StoreItem("servers/i-1", self.revision, None)] if is_deletion else []
        return WatchedChanges(items, self.revision, len(items) + (result == "odd"))


def start_follower(clock, catalogue, script):
    """Return a follower of a scripted store, on a host that has a peer's view."""
    configuration = json.dumps(publication({"s": "idempotent"})).encode()
    server = json.dumps({**SERVER, "born": 1}).encode()
    items = [
        StoreItem("op/config", 1, configuration),
        StoreItem("servers/i-1", 2, server),
    ]
    catalogue.replace(items, 2, "peer")
    store = ScriptedStore(clock)
    store.script = list(script)
    return StoreFollower(
        "",
        FollowerDependencies(
            source=store,
            catalogue=catalogue,
            should_watch=lambda: True,
            can_list=lambda: True,
            clock=clock.as_clock(),
            rng=random.Random(0),
            emit=lambda _event: None,
        ),
    )


def is_server_used(*script):
    """Return whether a server whose registration was deleted still gets requests."""
    clock = ManualClock(1_000.0)
    catalogue = make_catalogue(clock.as_clock())
    follower = start_follower(clock, catalogue, script)
    for _ in script:
        follower._run_round()
    return not catalogue.is_leaving(catalogue.servers_of("s")[0])


# Guards against requests to a server that is gone, because the host takes its own start
# or one broken call for an outage of the store.
@pytest.mark.parametrize(
    "script",
    [
        [(5.0, "nothing"), (500.0, "deletion")],
        [(5.0, "deletion")],
        [(5.0, "nothing"), (800.0, "failure"), (5.0, "nothing"), (500.0, "deletion")],
        [(5.0, "nothing"), (800.0, "failure"), (5.0, "failure"), (5.0, "deletion")],
    ],
)
def test_a_deletion_without_an_outage_of_the_store_ends_the_use_of_a_server(script):
    assert not is_server_used(*script)


@pytest.mark.parametrize(
    "script",
    [
        # The store refuses calls for longer than a registration lives.
        [
            (5.0, "nothing"),
            (5.0, "failure"),
            (MIN_EXPIRY_OUTAGE_MS, "failure"),
            (5.0, "nothing"),
        ],
        # It is silent; nobody knows since when.
        [(5.0, "nothing"), (WATCH_WAIT_MS + 1_500.0, "failure"), (5.0, "nothing")],
        # The host starts near the end of the outage.
        [(5.0, "failure"), (5.0, "nothing")],
    ],
)
def test_a_deletion_after_an_outage_may_be_a_lapse(script):
    assert is_server_used(*script, (500.0, "deletion"))


# Guards against a call for each write of another writer, which uses up the calls that
# the store permits.
@pytest.mark.parametrize(
    ("result", "pause_ms"),
    [("odd", CHANGE_BATCH_MS), ("deletion", CHANGE_BATCH_MS), ("nothing", 0.0)],
)
def test_the_next_watch_waits_for_more_changes(result, pause_ms):
    clock = ManualClock(1_000.0)
    catalogue = make_catalogue(clock.as_clock())
    follower = start_follower(clock, catalogue, [(5.0, result)])
    follower._run_round()
    assert clock.now_ms == 1_005.0 + pause_ms
