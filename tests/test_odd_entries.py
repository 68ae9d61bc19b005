"""Odd entries of another writer among those of the servers."""

import json
import random

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import HostGroup
from fake_platform import complete_answer
from fake_platform import registration
from fake_platform import wait_until
from gypsumfield.exceptions import ConfigurationError
from gypsumfield.gateway.composition import build_edge_host
from gypsumfield.gateway.peers import HEARTBEAT_INTERVAL_MS
from gypsumfield.gateway.rejections import MAX_LOGGED_REJECTIONS
from gypsumfield.platform.documents import decode_publication
from gypsumfield.platform.documents import decode_server
from gypsumfield.platform.store import ANSWER_LIMIT_BYTES
from odd_keys import odd_keys
from odd_keys import ODD_NAMES

NESTED = b"[" * 100_000 + b"]" * 100_000
SOUND = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "slot_count": 8,
    "cold_remaining_ms": 0,
    "born": 7,
}


def entry(**changes):
    return json.dumps({**SOUND, **changes}).encode()


def raw_entry(name, text):
    """Return an entry whose field has a value that Python's JSON would not write."""
    return entry(**{name: "@"}).replace(b'"@"', text)


ODD_ENTRIES = {
    "port-99999": entry(address="127.0.0.1:99999"),
    "port-negative": entry(address="127.0.0.1:-1"),
    "port-0": entry(address="127.0.0.1:0"),
    "port-underscore": entry(address="127.0.0.1:8_0"),
    "port-digits-of-another-script": entry(address="127.0.0.1:٨٠"),
    "no-port": entry(address="127.0.0.1"),
    "no-ip": entry(address="engine.example:80"),
    "line-end": entry(address="127.0.0.1\r\nX-A: 1:80"),
    "slots-negative": entry(slot_count=-5),
    "slots-none": entry(slot_count=0),
    "slots-huge": raw_entry("slot_count", b"1" + b"0" * 400),
    "cold-negative": entry(cold_remaining_ms=-1e308),
    "cold-infinite": raw_entry("cold_remaining_ms", b"1e999"),
    "born-above-64-bits": entry(born=2**70),
    "born-negative": entry(born=-1),
    "nested": raw_entry("service", NESTED),
    "nested-unknown-field": entry()[:-1] + b',"x":' + NESTED + b"}",
    "nested-whole": NESTED,
    "no-json": b"\xff\x00",
    "state-unknown": entry(state="odd"),
    "service-empty": entry(service=""),
    "zone-line-end": entry(zone="z\n1"),
    "zone-last-line-end": entry(zone="z1\n"),
    "service-last-line-end": entry(service="plain\n"),
    "address-last-line-end": entry(address="127.0.0.1:80\n"),
}


@pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_registration_is_rejected(data):
    with pytest.raises(ConfigurationError, match=r"servers/s9"):
        decode_server("servers/s9", data, 3)


@pytest.mark.parametrize(
    "key",
    [
        "servers/",
        "servers/a\n",
        "servers/a\r\nX-B: 1",
        "servers/" + "x" * 300,
        *(f"servers/{name}" for name in ODD_NAMES.values()),
    ],
)
def test_a_registration_with_an_odd_key_is_rejected(key):
    with pytest.raises(ConfigurationError):
        decode_server(key, entry(), 3)


def test_a_sound_registration_is_accepted():
    assert decode_server("servers/s9", entry(), 3).address == "127.0.0.1:9"
    assert decode_server("servers/s9", entry(born=2**60), 3).started_wall_ms == 2**60


@pytest.mark.parametrize("data", [NESTED, b'{"version":' + NESTED + b"}", b"\xff"])
def test_an_odd_configuration_is_rejected(data):
    with pytest.raises(ConfigurationError):
        decode_publication(data)


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet({"plain": "idempotent"})
    edge_fleet.publish()
    edge_fleet.add_server(
        "plain", "s1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    yield edge_fleet
    edge_fleet.stop()


def put_odd_entries(fleet):
    for name, data in ODD_ENTRIES.items():
        fleet.store.put(f"servers/odd-{name}", data)


def is_following(fleet):
    """Return whether a host still learns of new servers and versions."""
    publication = fleet.host.components.catalogue.publication
    version = publication.version + 1
    fleet.publish(version=version)
    wait_until(
        lambda: fleet.host.components.catalogue.publication.version == version, 5.0
    )
    return fleet.call("/plain/")[0] == 200


def test_a_host_that_lists_odd_entries_serves_and_follows_the_store(fleet):
    put_odd_entries(fleet)
    fleet.start()
    assert is_following(fleet)
    assert len(fleet.host.components.catalogue.servers_of("plain")) == 1


def test_a_host_that_watches_odd_entries_serves_and_follows_the_store(fleet):
    fleet.start()
    put_odd_entries(fleet)
    assert is_following(fleet)
    listings = fleet.store.calls.count("/-/kv-range")
    assert is_following(fleet)
    assert fleet.store.calls.count("/-/kv-range") == listings == 1


def test_an_entry_that_stays_odd_is_logged_once(fleet):
    fleet.start()
    for _ in range(5):
        fleet.store.put("servers/odd", entry(address="127.0.0.1:99999"))
        assert is_following(fleet)
    rejected = fleet.events_named("publication_rejected")
    assert len([event for event in rejected if "servers/odd" in event.reason]) == 1


ODD_ENVELOPES = [
    {"key": 7, "value": "", "revision": 3},
    {"key": "servers/x", "value": "", "revision": "new"},
    {"key": "servers/x", "value": "", "revision": -4},
    {"key": "servers/x", "value": "", "revision": 10**40},
    {"key": "servers/x", "value": {"a": []}, "revision": 3},
    {"key": "k" * 5_000, "value": "", "revision": 3},
    ["no", "item"],
    None,
]


@pytest.mark.parametrize("item", ODD_ENVELOPES, ids=range(len(ODD_ENVELOPES)))
@pytest.mark.parametrize("is_watched", [False, True])
def test_an_odd_item_of_the_store_is_left_out_and_the_others_hold(
    fleet, item, is_watched
):
    if is_watched:
        fleet.start()
    fleet.store.items["odd"] = item
    fleet.store.odd_events = [item]
    if not is_watched:
        fleet.start()
    assert is_following(fleet)
    assert is_following(fleet)
    assert fleet.store.calls.count("/-/kv-range") == 1


@pytest.mark.parametrize("era", ["9" * 5_000, "-1", "1_0", "²"])
def test_an_odd_era_of_the_store_ends_no_loop(fleet, era):
    fleet.store.era = era
    fleet.start()
    assert is_following(fleet)


def test_an_odd_registration_changes_no_record_of_a_server(fleet):
    fleet.start()
    server = fleet.servers["s1"]
    fleet.store.put("servers/s2", registration("plain", server))
    wait_until(lambda: fleet.has_servers(2))
    records = fleet.host.components.catalogue.servers_of("plain")
    for data in ODD_ENTRIES.values():
        fleet.store.put("servers/s2", data)
    assert is_following(fleet)
    assert fleet.host.components.catalogue.servers_of("plain") == records


UNREADABLE = b"\xff\x00"
with_each_value = pytest.mark.parametrize(
    "value", [UNREADABLE, entry()], ids=["unreadable", "readable"]
)
PAGE_SIZE = 2
LARGE_VALUE_BYTES = 1_048_576


def put_keys(fleet, names, value):
    """Write entries under odd names, in each place of a listing and whole pages."""
    for name in names:
        for key in odd_keys(name, PAGE_SIZE):
            fleet.store.put(key, value)


@pytest.fixture
def group():
    host_group = HostGroup("plain", "idempotent", host_count=3)
    host_group.store.page_size = PAGE_SIZE
    host_group.publish()
    for server_id in ("b1", "f1"):
        add_answering_server(host_group, server_id)
    yield host_group
    host_group.stop()


def add_answering_server(fleet, server_id):
    fleet.add_server(
        "plain", server_id, lambda request, sock: sock.sendall(complete_answer(request))
    )


def call_each_host(group):
    """Return the status of a call to each host."""
    statuses = []
    for settings, _ in group.hosts:
        group.settings = settings
        statuses.append(group.call("/plain/")[0])
    return statuses


def restart_together(group):
    """End all hosts at once and start them again."""
    for _, host in group.hosts:
        host.stop()
    group.hosts = [
        (settings, build_edge_host(settings, group.clock, group.events.append))
        for settings, _ in group.hosts
    ]
    for _, host in group.hosts:
        host.start()
    for _, host in group.hosts:
        wait_until(lambda host=host: group.knows_all(host))


@with_each_value
@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
def test_a_host_that_starts_while_an_entry_has_an_odd_name_serves(fleet, name, value):
    fleet.store.page_size = 1
    put_keys(fleet, [name], value)
    fleet.start()
    assert is_following(fleet)
    assert len(fleet.host.components.catalogue.servers()) == 1


@with_each_value
@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
def test_a_host_that_watches_an_entry_with_an_odd_name_serves(fleet, name, value):
    fleet.start()
    put_keys(fleet, [name], value)
    assert is_following(fleet)
    assert len(fleet.host.components.catalogue.servers()) == 1
    for key in odd_keys(name, PAGE_SIZE):
        fleet.store.delete(key)
    assert is_following(fleet)
    assert fleet.store.calls.count("/-/kv-range") == 1


@with_each_value
@pytest.mark.parametrize("writes_ascii", [True, False], ids=["escaped", "plain"])
def test_hosts_that_start_together_among_entries_with_odd_names_serve(
    group, writes_ascii, value
):
    group.store.writes_ascii = writes_ascii
    group.start_hosts()
    put_keys(group, ODD_NAMES.values(), value)
    assert call_each_host(group) == [200] * 3
    restart_together(group)
    assert call_each_host(group) == [200] * 3


@with_each_value
def test_servers_that_come_and_leave_among_entries_with_odd_names_are_noticed(
    group, value
):
    put_keys(group, ODD_NAMES.values(), value)
    group.start_hosts()
    restart_together(group)
    add_answering_server(group, "h1")
    for _, host in group.hosts:
        wait_until(lambda host=host: group.knows_all(host), 2.0)
    group.servers.pop("b1").crash()
    group.store.delete("servers/b1")
    for _, host in group.hosts:
        catalogue = host.components.catalogue
        wait_until(lambda c=catalogue: c.is_leaving(c.find_server("b1")), 2.0)
    put_keys(group, ODD_NAMES.values(), value)
    assert call_each_host(group) == [200] * 3


@pytest.mark.parametrize("key", ["servers/x/s1", "other/s1", "op/evacuate/x/s1"])
def test_the_deletion_of_an_odd_entry_ends_the_use_of_no_server(fleet, key):
    fleet.start()
    fleet.store.put(key, UNREADABLE)
    assert is_following(fleet)
    fleet.store.delete(key)
    assert is_following(fleet)
    catalogue = fleet.host.components.catalogue
    assert not catalogue.is_leaving(catalogue.find_server("s1"))


def test_a_configuration_is_named_in_the_log_among_many_odd_entries(fleet):
    fleet.start()
    for number in range(2 * MAX_LOGGED_REJECTIONS):
        fleet.store.put(f"servers/a&{number}", UNREADABLE)
    fleet.store.put("op/config", UNREADABLE)
    assert is_following(fleet)
    reasons = [event.reason for event in fleet.events_named("publication_rejected")]
    assert len(reasons) == MAX_LOGGED_REJECTIONS + 1
    assert "op/config" in reasons[-1]


def put_large_entries(fleet, prefix="servers/c&"):
    """Write more than fits into an answer, in the largest entries of a store."""
    rng = random.Random(0)
    for number in range(ANSWER_LIMIT_BYTES // LARGE_VALUE_BYTES + 1):
        fleet.store.put(f"{prefix}{number}", rng.randbytes(LARGE_VALUE_BYTES))


def test_a_server_is_noticed_after_more_changes_than_fit_into_an_answer(group):
    group.start_hosts()
    put_large_entries(group)
    add_answering_server(group, "h1")
    for _, host in group.hosts:
        wait_until(lambda host=host: group.knows_all(host), 5.0)


@pytest.mark.parametrize("prefix", ["servers/c&", "op/evacuate/", "other/"])
def test_views_of_hosts_among_large_odd_entries_reach_their_peers(group, prefix):
    put_large_entries(group, prefix)
    group.start_hosts()
    restart_together(group)
    gevent.sleep(2 * HEARTBEAT_INTERVAL_MS / 1_000.0)
    assert not group.events_named("pull_failed")
    for _, host in group.hosts:
        items = host.components.catalogue.items_after(0)
        assert sum(len(item.value or b"") for item in items) < LARGE_VALUE_BYTES
