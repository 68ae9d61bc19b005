"""Order, deletion and expiry of items in the catalogue of published items."""

import json

import pytest

from fake_platform import publication
from gypsumfield.clock import ManualClock
from gypsumfield.gateway.catalogue import LAPSE_GRACE_MS
from gypsumfield.gateway.published_items import StoreItem
from placing_fleet import make_catalogue


@pytest.fixture
def clock():
    return ManualClock(1_000.0)


@pytest.fixture
def catalogue(clock):
    return make_catalogue(clock.as_clock())


def server(server_id, revision, state="ready", born=1):
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "born": born,
    }
    return StoreItem(f"servers/{server_id}", revision, json.dumps(value).encode())


def configuration(version, revision):
    data = json.dumps(publication({"s": "idempotent"}, version=version)).encode()
    return StoreItem("op/config", revision, data)


def ids_accepting_work(catalogue):
    return [
        record.server.server_id
        for record in catalogue.servers_of("s")
        if not catalogue.is_leaving(record)
    ]


def test_an_older_item_does_not_replace_a_newer_one(catalogue):
    catalogue.apply([server("i-1", 9, "draining")], 9, "store")
    catalogue.apply([server("i-1", 5)], 20, "peer")
    assert ids_accepting_work(catalogue) == []


def test_a_configuration_with_an_older_revision_or_version_is_ignored(catalogue):
    catalogue.apply([configuration(7, 10)], 10, "store")
    catalogue.apply([configuration(8, 4)], 10, "peer")
    catalogue.apply([configuration(6, 12)], 12, "store")
    assert catalogue.publication.version == 7


def test_a_listing_deletes_absent_keys_but_not_newer_ones(catalogue):
    catalogue.apply([server("i-1", 3), server("i-2", 8)], 8, "store")
    catalogue.replace([], 5, "listing")
    assert ids_accepting_work(catalogue) == ["i-2"]


def test_a_deletion_is_not_undone_by_an_older_item(catalogue):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.apply([StoreItem("servers/i-1", 6, None)], 6, "store")
    catalogue.apply([server("i-1", 4)], 6, "peer")
    assert ids_accepting_work(catalogue) == []


def test_a_registration_that_expired_in_an_outage_counts_for_a_grace_time(
    catalogue, clock
):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.record_outage_end()
    clock.advance(10.0)
    catalogue.apply([StoreItem("servers/i-1", 6, None)], 6, "store")
    assert ids_accepting_work(catalogue) == ["i-1"]
    clock.advance(LAPSE_GRACE_MS + 1.0)
    assert ids_accepting_work(catalogue) == []


def test_the_log_tells_a_lapse_from_a_deletion(clock):
    events = []
    catalogue = make_catalogue(clock.as_clock(), events.append)
    catalogue.apply([server("i-1", 3), server("i-2", 4)], 4, "store")
    catalogue.apply([StoreItem("servers/i-1", 6, None)], 6, "store")
    catalogue.record_outage_end()
    catalogue.apply([StoreItem("servers/i-2", 7, None)], 7, "store")
    states = {event.backend_server: event.state for event in events}
    assert states == {"i-1": "gone", "i-2": "lapsed"}


def test_a_registration_deleted_without_an_outage_counts_as_leaving(catalogue):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.apply([StoreItem("servers/i-1", 6, None)], 6, "store")
    assert ids_accepting_work(catalogue) == []
    assert len(catalogue.servers_of("s")) == 1


def test_a_restart_under_the_same_id_resets_the_first_seen_time(catalogue, clock):
    catalogue.apply([server("i-1", 3)], 3, "store")
    clock.advance(5_000.0)
    catalogue.apply([server("i-1", 4)], 4, "store")
    assert catalogue.find_server("i-1").first_seen_ms == 1_000.0
    catalogue.apply([server("i-1", 5, born=2)], 5, "store")
    assert catalogue.find_server("i-1").first_seen_ms == 6_000.0


def test_an_evacuation_holds_until_its_key_is_deleted(catalogue):
    catalogue.apply([StoreItem("op/evacuate/z", 3, b"{}")], 3, "store")
    assert catalogue.evacuated_zones == {"z"}
    catalogue.apply([StoreItem("op/evacuate/z", 4, None)], 4, "store")
    assert catalogue.evacuated_zones == frozenset()


def test_a_server_that_announces_to_leave_is_leaving_before_the_store_has_it(catalogue):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.mark_leaving("i-1", "engine report")
    assert ids_accepting_work(catalogue) == []


def test_items_after_a_revision_include_deletions(catalogue):
    catalogue.apply([server("i-1", 3), server("i-2", 4)], 4, "store")
    catalogue.apply([StoreItem("servers/i-1", 6, None)], 6, "store")
    assert {item.key: item.value is None for item in catalogue.items_after(3)} == {
        "servers/i-1": True,
        "servers/i-2": False,
    }


def test_an_announcement_holds_against_later_registrations_of_the_same_start(catalogue):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.mark_leaving("i-1", "answer", 1)
    # A registration written before the announcement, or received late from a peer.
    catalogue.apply([server("i-1", 7)], 7, "store")
    assert ids_accepting_work(catalogue) == []
    catalogue.apply([StoreItem("servers/i-1", 8, None)], 8, "store")
    catalogue.remove_expired(0.0)
    catalogue.apply([server("i-1", 9)], 9, "store")
    assert ids_accepting_work(catalogue) == []


def test_a_restart_under_the_same_id_is_not_leaving(catalogue):
    catalogue.apply([server("i-1", 3)], 3, "store")
    catalogue.mark_leaving("i-1", "answer", 1)
    catalogue.apply([server("i-1", 7, born=2)], 7, "store")
    assert ids_accepting_work(catalogue) == ["i-1"]
    catalogue.mark_leaving("i-1", "peer edge-2", 1)
    assert ids_accepting_work(catalogue) == ["i-1"]


def test_an_announcement_before_the_registration_is_applied_to_it(catalogue):
    catalogue.mark_leaving("i-1", "peer edge-2", 1)
    catalogue.apply([server("i-1", 3)], 3, "store")
    assert ids_accepting_work(catalogue) == []
    assert catalogue.recently_leaving(1_000.0) == [("i-1", 1)]
