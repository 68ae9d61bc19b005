"""What the account and slot limits read of membership and configuration."""

from collections.abc import Callable
from collections.abc import Mapping

from gypsumfield.configuration import Configuration
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.quota_service import QuotaSources

ReadConfiguration = Callable[[], Configuration]
ReadTime = Callable[[], float]


def zone_view(membership: Membership, now_ms: float) -> ZoneView:
    """Return the entry hosts of this host's zone that may own something.

    A silent host counts until the platform's list lacks it: two hosts that
    cannot hear each other must not both take over.
    """
    hosts = membership.possibly_live_hosts(now_ms, membership.availability_zone)
    return ZoneView(
        hosts | {membership.host_id}, is_confirmed=membership.is_confirmed(now_ms)
    )


def staffed_zones(configuration: Configuration) -> frozenset[str]:
    """Return the zones that have entry hosts, by the operators' statement."""
    zones = configuration.zones.items()
    return frozenset(name for name, zone in zones if zone.has_entry_hosts)


def owner_zone(configuration: Configuration, zone: str) -> str:
    """Return the zone whose entry hosts own the backend servers of ``zone``."""
    staffed = staffed_zones(configuration)
    if zone in staffed:
        return zone
    return owner_of(f"zone/{zone}", staffed) or zone


def hosts_by_zone(
    membership: Membership, configuration: Configuration
) -> Mapping[str, frozenset[str]]:
    """Return the live entry hosts of each zone that has some."""
    return {zone: membership.live_hosts(zone) for zone in staffed_zones(configuration)}


def quota_view(
    membership: Membership, configuration: Configuration, now_ms: float
) -> QuotaView:
    """Return what the account shares of this host follow from.

    The zones count as agreed while a host of each is heard: whoever is heard
    learns of a new configuration within the hold-down.
    """
    hosts = hosts_by_zone(membership, configuration)
    return QuotaView(
        zone=membership.availability_zone,
        zones=staffed_zones(configuration),
        zone_view=zone_view(membership, now_ms),
        are_zones_agreed=all(hosts.values()),
    )


def account_limits(
    read_configuration: ReadConfiguration,
) -> Callable[[], Mapping[str, AccountLimit]]:
    """Return a reader of rate and burst by account, built once a revision."""
    built_from: Configuration | None = None
    limits: Mapping[str, AccountLimit] = {}

    def read() -> Mapping[str, AccountLimit]:
        nonlocal built_from, limits
        configuration = read_configuration()
        if configuration is not built_from:
            built_from = configuration
            limits = {
                name: AccountLimit(account.rate_per_s, account.burst)
                for name, account in configuration.accounts.items()
            }
        return limits

    return read


def quota_sources(
    membership: Membership, read_configuration: ReadConfiguration, now_ms: ReadTime
) -> QuotaSources:
    """Return the sources of a `gypsumfield.quota_service.QuotaService`."""
    return QuotaSources(
        read_view=lambda: quota_view(membership, read_configuration(), now_ms()),
        read_limits=account_limits(read_configuration),
        read_hosts=lambda: hosts_by_zone(membership, read_configuration()),
    )
