"""Builds the HTTP servers of an edge host."""

from collections.abc import Callable
from typing import Any

from gypsumfield.adapters.caller_connections import CallerConnections
from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import ConnectionLimits
from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.edge_host import EdgeServers
from gypsumfield.gateway.http_endpoints import build_peer_application
from gypsumfield.gateway.http_endpoints import build_readiness_application
from gypsumfield.gateway.model import DEFAULT_CONNECTION_LIMITS
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.settings import split_address


def build_servers(
    settings: EdgeSettings,
    catalogue: Catalogue,
    request_tracker: RequestTracker,
    metrics: Metrics,
    encode_view: Callable[[int], bytes],
    own_start: str,
    connections: CallerConnections,
) -> EdgeServers:
    """Return the servers for callers, readiness checks, peers and metrics.

    Args:
        settings: Addresses of the host.
        catalogue: Configuration in force, with the limits of callers' connections.
        request_tracker: Application for callers, with the drain state of the host.
        metrics: Metrics of the host.
        encode_view: Returns the items that changed after a revision, for a peer.
        own_start: Start of this host, as other hosts know it.
        connections: Bounds the open connections of all servers.
    """

    def is_ready() -> bool:
        return catalogue.publication is not None and not request_tracker.is_draining

    def read_limits() -> ConnectionLimits:
        return (
            catalogue.publication.limits
            if catalogue.publication
            else DEFAULT_CONNECTION_LIMITS
        )

    def page_server(address: str, application: Any) -> CallerServer:
        tracker = RequestTracker(application)
        return CallerServer(split_address(address), tracker, read_limits, connections)

    pages = build_readiness_application(is_ready, metrics.render)
    return EdgeServers(
        callers=CallerServer(
            split_address(settings.caller_address),
            request_tracker,
            read_limits,
            connections,
        ),
        readiness=page_server(settings.readiness_address, pages),
        peers=page_server(
            settings.peer_address,
            build_peer_application(encode_view, request_tracker, own_start),
        ),
        metrics=page_server(settings.metrics_address, pages),
    )
