"""Dependencies of the link to the other hosts."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.scheduling import EnginePaces
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.view_pull import ViewPull
from gypsumfield.interfaces import EmitEvent


class PeerDependencies(NamedTuple):
    """Dependencies of `PeerLink`.

    Attributes:
        settings: Settings of the host.
        boot_id: Identifies this start of the process.
        catalogue: The published view.
        ledger: Runs in flight, by server.
        report_cache: Latest reports of engines.
        engine_paces: Time per event of each engine.
        notices: Limits that servers have named.
        part_guard: Evidence on parts of prompts that crash engines.
        pull: Fetches the view of a peer that is ahead of this host.
        is_store_answering: Whether the store answered the last call.
        lost_services: Returns the services whose servers this host does not reach.
        clock: Monotonic clock, also used to sleep.
        emit: Writes an event to the log.
        send: Sends a datagram to an IP; None for the link's own socket.
    """

    settings: EdgeSettings
    boot_id: str
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    engine_paces: EnginePaces
    notices: ServerNotices
    part_guard: PartGuard
    pull: ViewPull
    is_store_answering: Callable[[], bool]
    lost_services: Callable[[], list[str]]
    clock: Clock
    emit: EmitEvent
    send: Callable[[str, bytes], None] | None = None
