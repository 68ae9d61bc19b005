"""Settings of one edge host."""

from typing import NamedTuple


class EdgeBounds(NamedTuple):
    """Bounds that the operators promise their callers and servers.

    The defaults hold where an installation states none.

    Attributes:
        stop_limit_ms: Time between the signal to stop and the kill.
        retry_ratio: Repeats a service may get for each request.
        retry_window_ms: Span over which repeats are counted.
        retry_extra: Repeats beyond the ratio, over all hosts and one span.
        cold_factor: Multiple of a cold server's rate that it still bears.
        cold_extra: Requests beyond that in one second.
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
        availability_zone: Zone it stands in.
        caller_address: ``IP:PORT`` for callers.
        readiness_address: ``IP:PORT`` for the balancer's question.
        peer_address: ``IP:PORT`` for pulls of other hosts.
        metrics_address: ``IP:PORT`` for metrics.
        ip: Address of the host.
        news_port: UDP port for peers' news; the same on all hosts.
        seed_ips: Hosts to find the others through; may be stale or down.
        store_address: ``IP:PORT`` of the published store.
        bounds: Bounds that bind this host.
        capacity: What the host can carry beside its calls: the smaller of its
            processor in hundredths of a core and its link in Mbit/s.
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


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of ``IP:PORT``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
