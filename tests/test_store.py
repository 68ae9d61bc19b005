"""Listings of the store, with keys of other writers among those of servers."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from fake_platform import FakeStore
from fake_platform import key_bytes
from gypsumfield.gateway.published_items import combine_revision
from gypsumfield.platform.store import StoreClient
from odd_keys import odd_keys
from odd_keys import ODD_NAMES

SOUND_KEYS = [f"servers/{letter}-1" for letter in "bdfhj"]


@pytest.fixture
def store():
    fake_store = FakeStore()
    fake_store.server.start()
    yield fake_store
    fake_store.server.stop(timeout=0)


def list_keys(store):
    """Return the keys of a listing, and the reasons for what it left out."""
    reasons = []
    client = StoreClient(store.address, reasons.append)
    try:
        return [item.key for item in client.list_items("").items], reasons
    finally:
        client.close()


# Guards against hosts that get no view of the store, because the keys of a page are no
# names of servers and the next page is never read.
@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
@pytest.mark.parametrize("writes_ascii", [True, False], ids=["escaped", "plain"])
def test_a_listing_goes_on_after_odd_keys(store, name, writes_ascii):
    store.writes_ascii = writes_ascii
    for count, store.page_size in itertools.product([1, 4], [1, 2, 4]):
        store.items.clear()
        for key in [*SOUND_KEYS, *odd_keys(name, count)]:
            store.put(key, b"{}")
        keys, _ = list_keys(store)
        assert set(SOUND_KEYS) <= set(keys), (count, store.page_size)


@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
@pytest.mark.parametrize("page_size", [1, 2])
def test_a_listing_goes_on_after_a_key_that_is_only_odd(store, name, page_size):
    for key in ["op/config", f"servers/{name}", *SOUND_KEYS]:
        store.put(key, b"{}")
    store.page_size = page_size
    keys, _ = list_keys(store)
    assert {"op/config", *SOUND_KEYS} <= set(keys)


# No more calls than pages, however many keys are left out.
def test_each_page_is_read_once(store):
    for key in [*SOUND_KEYS, *odd_keys("a b", 2)]:
        store.put(key, b"{}")
    store.page_size = 2
    list_keys(store)
    assert store.calls.count("/-/kv-range") == 6


@given(names=st.sets(st.text(max_size=40), max_size=12), page_size=st.integers(1, 4))
@settings(max_examples=50, derandomize=True, deadline=None)
def test_a_listing_goes_on_after_any_keys(names, page_size):
    store = FakeStore()
    store.server.start()
    try:
        store.page_size = page_size
        for key in [*SOUND_KEYS, *(f"servers/{name}" for name in names)]:
            store.put(key, b"{}")
        keys, _ = list_keys(store)
        assert set(SOUND_KEYS) <= set(keys)
    finally:
        store.server.stop(timeout=0)


def test_pages_in_another_order_than_that_of_characters_are_read(store):
    for key in SOUND_KEYS:
        store.put(key, b"{}")
    store.page_size = 1
    store.order = lambda key: [-byte for byte in key_bytes(key)]
    keys, _ = list_keys(store)
    assert keys == SOUND_KEYS[::-1]


def test_a_listing_goes_on_after_a_key_that_is_no_text(store):
    for key in ["servers/a", "servers/e", "servers/z"]:
        store.put(key, b"{}")
    store.items["servers/e"]["key"] = "servers/e\ud800"
    store.page_size = 1
    keys, _ = list_keys(store)
    assert keys == ["servers/a", "servers/z"]


def test_changes_of_odd_keys_are_counted_and_passed_over(store):
    store.put("servers/a b", b"{}")
    client = StoreClient(store.address)
    try:
        changes = client.watch("", combine_revision(store.era, 1), 1)
    finally:
        client.close()
    assert (changes.items, changes.event_count) == ([], 1)
    assert changes.revision == combine_revision(store.era, store.revision)


def test_what_a_listing_leaves_out_is_named(store):
    store.put("servers/a b", b"{}")
    store.put("servers/\udcff", b"{}")
    _, reasons = list_keys(store)
    assert ["servers/a b" in reasons[0], r"servers/\udcff" in reasons[1]] == [True] * 2
