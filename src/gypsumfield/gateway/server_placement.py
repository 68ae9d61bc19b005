"""Dependencies and results of the selection of a server."""

import random
from collections.abc import Callable
from typing import NamedTuple
from typing import TYPE_CHECKING

from gypsumfield.clock import Clock
from gypsumfield.decisions.brittle_servers import HostPosition
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.path_watch import PathWatch
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.interfaces import EmitEvent

if TYPE_CHECKING:
    from gypsumfield.gateway.scheduling import EnginePaces


class PlacementDependencies(NamedTuple):
    """Dependencies of `Placer`.

    Attributes:
        availability_zone: Zone of this host.
        catalogue: Records of servers and zones.
        ledger: Runs in flight.
        report_cache: Load reports of engines.
        engine_paces: Time per event of each engine.
        notices: Announcements of servers that they are leaving or full.
        permit_wait_ms: Returns the time for which a server's limit is used up.
        cold_rate_limit: Returns this host's limit for a cold server, in requests/s.
        is_large_fleet: Returns whether load updates are too old to rely on alone.
        host_position: Returns the rank of this host among those that may send to a
            server, which is given by its id.
        paths: Paths of this host to the servers.
        clock: Monotonic clock.
        rng: Samples candidates and breaks ties.
        emit: Writes an event to the log.
    """

    availability_zone: str
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    engine_paces: "EnginePaces"
    notices: ServerNotices
    permit_wait_ms: Callable[[BackendServer], float]
    cold_rate_limit: Callable[[BackendServer], int]
    is_large_fleet: Callable[[], bool]
    host_position: Callable[[str], HostPosition]
    paths: PathWatch
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class ServerPlacement(NamedTuple):
    """A selected server and the data that the selection was based on.

    Attributes:
        server: The server.
        candidate_count: Servers that the selection considered.
        stream_count: Runs on the server, by this host's records.
        committed_tokens: Memory planned on the server, by this host's records.
        reservation: Name of the engine's memory reservation, or empty.
        is_advised: Whether the zone's first delegate advised this server.
        is_pace_sample: Whether the time to the first event shows the engine's speed.
        predicted_gap_ms: Longest gap that its streams will have while a prompt is
            read, or 0 if unknown.
        avoided_count: Servers that were avoided, because the prompt would make streams
            exceed their longest gap.
    """

    server: BackendServer
    candidate_count: int
    stream_count: int
    committed_tokens: int
    reservation: str = ""
    is_advised: bool = False
    is_pace_sample: bool = False
    predicted_gap_ms: float = 0.0
    avoided_count: int = 0
