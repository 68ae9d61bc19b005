"""Settings of one edge host."""

from typing import NamedTuple


class EdgeBounds(NamedTuple):
    """Limits to which the operators have committed towards callers and servers.

    The defaults apply where the settings of an installation have no value.

    Attributes:
        stop_limit_ms: Time between the signal to stop and the kill.
        retry_ratio: Retries that a service may get per request.
        retry_window_ms: Length of the window in which retries are counted.
        retry_extra: Retries allowed beyond the ratio, by all hosts in one window.
        cold_factor: Multiple of a cold server's published rate that it still accepts.
        cold_extra: Requests per second allowed beyond that multiple.
    """

    stop_limit_ms: float = 8_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_extra: float = 50.0
    cold_factor: float = 1.5
    cold_extra: float = 5.0


class EdgeSettings(NamedTuple):
    """Settings of one edge host.

    Attributes:
        host_id: Unique name of this host.
        availability_zone: Zone that the host is in.
        caller_address: ``IP:PORT`` at which callers are served.
        readiness_address: ``IP:PORT`` for the load balancer's readiness probe.
        peer_address: ``IP:PORT`` at which other hosts pull published items.
        metrics_address: ``IP:PORT`` at which metrics are served.
        ip: IP address of the host, at which its peers reach it.
        news_port: UDP port for messages between hosts; the same on all hosts.
        seed_ips: IP addresses of hosts through which the others are found; some
            may be out of date or down.
        store_address: ``IP:PORT`` of the platform's store.
        bounds: Limits that this host keeps.
        capacity: Capacity of the host for work other than serving calls: the smaller
            of its processor in hundredths of a core and its link in Mbit/s.
        availability_zones: All zones of the installation.
        memory_mb: Memory that the process may use.
        hedge_ratio: Second attempts of repeatable calls to plain services that may be
            sent while the first is pending, per first attempt; 0 for none.
        max_fds: Descriptors that the process may have open.
    """

    host_id: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    peer_address: str
    metrics_address: str
    ip: str
    news_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    bounds: EdgeBounds
    capacity: int = 0
    availability_zones: tuple[str, ...] = ()
    memory_mb: float = 128.0
    hedge_ratio: float = 0.0
    max_fds: float = 4_096.0


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:PORT``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
