import pytest

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration import parse_value
from gypsumfield.exceptions import ConfigurationError

DIGEST = "ab" * 32


def account_value(**changes):
    value = {
        "key_digests": [DIGEST],
        "rate_per_s": 5,
        "burst": 10,
        "services": ["assistant"],
    }
    return value | changes


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"rate_per_s": "many"}, "rate_per_s"),
        ({"rate_per_s": 0}, "rate_per_s"),
        ({"burst": -1}, "burst"),
        ({"key_digests": ["short"]}, "key_digests"),
        ({"colour": "red"}, "colour"),
    ],
)
def test_error_for_an_invalid_account_names_key_and_field(changes, field):
    with pytest.raises(ConfigurationError) as error_info:
        parse_value("client_accounts/carts", account_value(**changes))
    assert "client_accounts/carts" in str(error_info.value)
    assert field in str(error_info.value)


def test_error_for_an_invalid_digest_does_not_contain_the_digest():
    with pytest.raises(ConfigurationError) as error_info:
        parse_value("client_accounts/carts", account_value(key_digests=["secret-key"]))
    assert "secret-key" not in str(error_info.value)


def test_an_invalid_value_is_rejected_alone_and_the_last_valid_one_stays():
    store = ConfigurationStore()
    valid_delta = ConfigurationDelta(1, {"client_accounts/carts": account_value()})
    assert store.apply(0, valid_delta)
    invalid_delta = ConfigurationDelta(
        2,
        {
            "client_accounts/carts": account_value(burst=0),
            "availability_zones/manta": {"status": "out"},
        },
    )
    assert store.apply(1, invalid_delta)
    assert store.current.accounts["carts"].burst == 10
    assert store.current.zones["manta"].status == "out"
    assert "burst" in store.current.rejected["client_accounts/carts"]


def test_revision_never_decreases_and_deltas_with_gaps_are_not_applied():
    store = ConfigurationStore()
    zone_in = {"availability_zones/manta": {"status": "in"}}
    zone_out = {"availability_zones/manta": {"status": "out"}}
    assert store.apply(0, ConfigurationDelta(5, zone_out))
    assert not store.apply(0, ConfigurationDelta(4, zone_in))
    assert not store.apply(0, ConfigurationDelta(5, zone_in))
    assert not store.apply(6, ConfigurationDelta(7, zone_in))
    assert store.current.zones["manta"].status == "out"


def test_changes_after_includes_removed_keys():
    store = ConfigurationStore()
    store.apply(0, ConfigurationDelta(1, {"client_accounts/carts": account_value()}))
    store.apply(1, ConfigurationDelta(2, {"client_accounts/carts": None}))
    delta = store.changes_after(1)
    assert delta == ConfigurationDelta(2, {"client_accounts/carts": None})
    other_store = ConfigurationStore()
    assert other_store.apply(0, store.changes_after(0))
    assert other_store.current.accounts == {}
