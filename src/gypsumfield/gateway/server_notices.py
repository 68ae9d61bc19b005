"""What backend servers say of themselves in their answers: leaving, or full."""

from http import HTTPStatus
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.decisions.server_pauses import MAX_PAUSE_MS
from gypsumfield.decisions.server_pauses import ServerPauses
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import OddNotice
from gypsumfield.gateway.events import ServerQuiet
from gypsumfield.gateway.model import BackendServer
from gypsumfield.ports import EmitEvent

# Starts of servers whose odd notices were logged; older ones may be logged again.
ODD_MEMORY = 256


class NoticeDependencies(NamedTuple):
    """What taking notices uses."""

    catalogue: Catalogue
    clock: Clock
    emit: EmitEvent


class ServerNotices:
    """Takes servers at their word, for this host."""

    def __init__(self, ports: NoticeDependencies) -> None:
        self._ports = ports
        self._quiet = ServerPauses()
        # A dict keeps the order in which they came.
        self._odd: dict[tuple[str, int], None] = {}

    def record_answer(
        self, server: BackendServer, status: int, marks: AnswerMetadata
    ) -> None:
        """Take what the head of an answer says of its server.

        Args:
            server: The server that was asked.
            status: Status of its answer.
            marks: What the head says.
        """
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another server answers at this address now.
            return
        if marks.is_leaving:
            self._ports.catalogue.mark_leaving(
                server.server_id, "answer", server.started_wall_ms
            )
        if marks.invalid_header:
            self._note_odd(server, marks.invalid_header)
        if status == HTTPStatus.SERVICE_UNAVAILABLE and marks.quiet_ms:
            self._note_quiet(server, marks.quiet_ms)

    def quiet_ms(self, server: BackendServer) -> float:
        """Return how much longer a server wants no requests; 0 for not."""
        return self._quiet.remaining_pause_ms(
            server.server_id, server.started_wall_ms, self._ports.clock.monotonic_ms()
        )

    def service_quiet_ms(self, service: str) -> float:
        """Return when the first server of a service takes requests again.

        Returns:
            The time, or 0 when not all servers that are there want quiet.
        """
        catalogue = self._ports.catalogue
        times_ms = []
        for belief in catalogue.servers_of(service):
            zone = belief.server.availability_zone
            if catalogue.is_leaving(belief) or zone in catalogue.evacuated_zones:
                continue
            left_ms = self.quiet_ms(belief.server)
            if left_ms <= 0.0:
                return 0.0
            times_ms.append(left_ms)
        return min(times_ms, default=0.0)

    def can_resume(self, server: BackendServer) -> bool:
        """Return whether a server that wants quiet may get a run's only way on."""
        return self._quiet.can_resume(server.server_id)

    def note_sent(self, server: BackendServer) -> None:
        """Note a request that leaves for a server."""
        self._quiet.note_sent(server.server_id, self._ports.clock.monotonic_ms())

    def _note_quiet(self, server: BackendServer, asked_ms: float) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        kept_ms = self._quiet.record_pause(
            server.server_id, server.started_wall_ms, asked_ms, now_ms
        )
        if asked_ms > MAX_PAUSE_MS:
            self._note_odd(server, f"quiet for {asked_ms:.0f} ms")
        self._ports.emit(
            ServerQuiet(
                service=server.service,
                backend_server=server.server_id,
                asked_ms=asked_ms,
                kept_ms=kept_ms,
            )
        )

    def _note_odd(self, server: BackendServer, text: str) -> None:
        start = (server.server_id, server.started_wall_ms)
        if start in self._odd:
            return
        self._odd[start] = None
        if len(self._odd) > ODD_MEMORY:
            del self._odd[next(iter(self._odd))]
        self._ports.emit(
            OddNotice(
                service=server.service, backend_server=server.server_id, text=text
            )
        )
