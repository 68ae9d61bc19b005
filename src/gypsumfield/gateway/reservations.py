"""Reserves memory at an engine before a stream is sent there."""

from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.stream_queue import Reserve
from gypsumfield.platform.engines import EngineClient


def build_reserve(
    catalogue: Catalogue, notices: ServerNotices, placer: Placer, engines: EngineClient
) -> Reserve:
    """Return the function with which the queue reserves memory."""

    def reserve(server: BackendServer, tokens: int) -> str | None:
        spec = catalogue.engine_spec(server.service)
        # On an engine with a limit, a reservation would need a second permit.
        is_limited = notices.limit_per_s(server) is not None
        if not spec or is_limited or not placer.has_reservations(server.service):
            return ""
        return engines.reserve(server, tokens, spec.reservation_ms)

    return reserve
