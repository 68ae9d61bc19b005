"""Views of membership and configuration for account limits and slots."""

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

    An unresponsive host counts until it is missing from the platform's list: two
    hosts that receive no messages from each other must not both take over.
    """
    hosts = membership.possibly_live_hosts(now_ms, membership.availability_zone)
    return ZoneView(
        hosts | {membership.host_id}, is_confirmed=membership.is_confirmed(now_ms)
    )


def zones_with_entry_hosts(configuration: Configuration) -> frozenset[str]:
    """Return the zones that have entry hosts according to the configuration."""
    zones = configuration.zones.items()
    return frozenset(name for name, zone in zones if zone.has_entry_hosts)


def owner_zone(configuration: Configuration, zone: str) -> str:
    """Return the zone whose entry hosts own the backend servers of ``zone``."""
    zones_with_hosts = zones_with_entry_hosts(configuration)
    if zone in zones_with_hosts:
        return zone
    return owner_of(f"zone/{zone}", zones_with_hosts) or zone


def hosts_by_zone(
    membership: Membership, configuration: Configuration
) -> Mapping[str, frozenset[str]]:
    """Return the live entry hosts of each zone that is configured to have some."""
    return {
        zone: membership.live_hosts(zone)
        for zone in zones_with_entry_hosts(configuration)
    }


def quota_view(
    membership: Membership, configuration: Configuration, now_ms: float
) -> QuotaView:
    """Return the view from which the account shares of this host are computed.

    The zones count as agreed while at least one host of each zone is live: such a
    host receives a new configuration within the hold-down.
    """
    hosts = hosts_by_zone(membership, configuration)
    return QuotaView(
        zone=membership.availability_zone,
        zones=zones_with_entry_hosts(configuration),
        zone_view=zone_view(membership, now_ms),
        are_zones_agreed=all(hosts.values()),
    )


def account_limits(
    read_configuration: ReadConfiguration,
) -> Callable[[], Mapping[str, AccountLimit]]:
    """Return a function that returns rate and burst by account.

    Its result is cached until the configuration changes.
    """
    cached_for: Configuration | None = None
    limits: Mapping[str, AccountLimit] = {}

    def read() -> Mapping[str, AccountLimit]:
        nonlocal cached_for, limits
        configuration = read_configuration()
        if configuration is not cached_for:
            cached_for = configuration
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
