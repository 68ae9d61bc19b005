"""Keeps a copy of every run that may not be repeated, and notices dead engines."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.protection import ASSUMED_NOTICE_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import CopyResult
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import EngineLeaves
from gypsumfield.gateway.events import EngineUnreachable
from gypsumfield.gateway.events import RunCopied
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.run_copies import Standby
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.stream_registry import StreamRegistry
from gypsumfield.gateway.streams import Stream
from gypsumfield.ports import EmitEvent

# One copy takes a few hundred ms on its link, behind those of other hosts.
COPY_TIMEOUT_MS = 2_000.0
DESTINATION_TRIES = 2
ROUND_MS = 100.0
# Events come every 30 to 60 ms; a preempted stream pauses longer, so that silence
# alone proves nothing and the engine is asked for a connection.
SILENCE_MS = 400.0
PROBE_INTERVAL_MS = 300.0


class ProtectionDependencies(NamedTuple):
    """What protection uses.

    Attributes:
        copy_run: Copies a run's memory: engine, request id, target, time limit.
        can_connect: Whether a server accepts a connection.
        can_move: Whether engines of a service can copy runs.
    """

    registry: StreamRegistry
    catalogue: Catalogue
    placer: Placer
    ledger: Ledger
    notices: ServerNotices
    copy_run: Callable[[BackendServer, str, str, float], CopyResult]
    can_connect: Callable[[str], bool]
    can_move: Callable[[str], bool]
    clock: Clock
    emit: EmitEvent


class Protector:
    """Watches this host's streams and the engines under them."""

    def __init__(self, ports: ProtectionDependencies) -> None:
        self._ports = ports
        self._noticed: set[str] = set()
        self._copying: set[str] = set()
        self._probed_ms: dict[str, float] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the rounds."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    @property
    def is_idle(self) -> bool:
        """Whether no copy is under way."""
        return not self._copying

    def check_leaving_engines(self) -> None:
        """Copy the exposed runs of every engine that leaves."""
        for server_id in self._ports.registry.server_ids():
            belief = self._ports.catalogue.find_server(server_id)
            if belief is None or server_id in self._copying:
                continue
            if not self._ports.can_move(belief.server.service):
                continue
            if not self._ports.catalogue.is_leaving(belief):
                continue
            if server_id not in self._noticed:
                self._note_leaving(belief.server)
            if self._ports.notices.quiet_ms(belief.server):
                continue
            step_ms = self._ports.placer.pace(belief.server.service).step_ms
            order = order_copies(self._exposed(server_id), step_ms=step_ms)
            if order:
                self._copying.add(server_id)
                gevent.spawn(self._copy_all, belief.server, order)

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_MS / MS_PER_S)
            self.check_leaving_engines()
            self._probe_unresponsive()

    def _exposed(self, server_id: str) -> list[ExposedRun]:
        now_ms = self._ports.clock.monotonic_ms()
        exposed = []
        for stream in self._ports.registry.on_server(server_id):
            # An engine knows a run only from its first token on.
            if not stream.event_count or stream.is_safe:
                continue
            standby = stream.copies.standby
            if standby is not None and self._ports.placer.exclusion_reason(
                standby.server
            ):
                standby = None
            exposed.append(
                ExposedRun(
                    stream.job.request_id,
                    stream.generated_tokens,
                    stream.job.expected_tokens,
                    now_ms - standby.made_ms if standby else None,
                    now_ms - stream.copies.refused_ms
                    if stream.copies.refused_ms
                    else None,
                )
            )
        return exposed

    def _copy_all(self, source: BackendServer, order: list[str]) -> None:
        try:
            for request_id in order:
                stream = self._find(source, request_id)
                if stream is not None:
                    self._copy(stream, source)
        finally:
            self._copying.discard(source.server_id)

    def _find(self, source: BackendServer, request_id: str) -> Stream | None:
        for stream in self._ports.registry.on_server(source.server_id):
            if stream.job.request_id == request_id:
                return stream
        return None

    def _copy(self, stream: Stream, source: BackendServer) -> None:
        standby = stream.copies.standby
        if standby and not self._ports.placer.exclusion_reason(standby.server):
            self._copy_to(stream, source, standby.server)
            return
        tried = [source.server_id]
        for _ in range(DESTINATION_TRIES):
            target = self._ports.placer.place_copy(stream.run, source, tried)
            if target is None:
                break
            tried.append(target.server_id)
            if self._copy_to(stream, source, target):
                return
        if not stream.copies.refused_ms:
            self._log(stream, source, "", 0.0, "no engine has room")
        stream.copies.refused_ms = self._ports.clock.monotonic_ms()

    def _copy_to(
        self, stream: Stream, source: BackendServer, target: BackendServer
    ) -> bool:
        """Copy one run; return whether no other target needs to be tried."""
        started_ms = self._ports.clock.monotonic_ms()
        # The target's room is taken from the first call on, so that no other
        # host picks the same hole.
        run = Run(
            target.server_id, stream.run.prompt_tokens, stream.job.expected_tokens, True
        )
        run.generated_tokens = stream.generated_tokens
        self._ports.ledger.begin(run)
        reason = ""
        result = None
        try:
            result = self._ports.copy_run(
                source, stream.job.request_id, target.address, COPY_TIMEOUT_MS
            )
            if not result.is_complete:
                reason = f"the engine answered {result.status}"
        except BackendError as error:
            reason = str(error)
        elapsed_ms = self._ports.clock.monotonic_ms() - started_ms
        self._log(stream, source, target.server_id, elapsed_ms, reason)
        is_complete = result is not None and result.is_complete
        if (
            result is None
            or not is_complete
            or stream.server.server_id != source.server_id
        ):
            self._ports.ledger.end(run)
            # 404: the run has ended; 409: a copy of it is under way.
            return is_complete or (result is not None and result.status != 503)
        resume = ResumePoint("", source.address, result.copy_name)
        stream.copies.take_standby(Standby(target, resume, started_ms, run))
        return True

    def _probe_unresponsive(self) -> None:
        """Break off the streams of engines that are silent and out of reach."""
        now_ms = self._ports.clock.monotonic_ms()
        silent = {
            stream.server
            for stream in self._ports.registry.streams()
            if now_ms - stream.heard_ms > SILENCE_MS
        }
        for server in silent:
            probed_ms = self._probed_ms.get(server.server_id, 0.0)
            if now_ms - probed_ms >= PROBE_INTERVAL_MS:
                self._probed_ms[server.server_id] = now_ms
                gevent.spawn(self._probe, server, now_ms)

    def _probe(self, server: BackendServer, since_ms: float) -> None:
        if self._ports.can_connect(server.address):
            return
        streams = [
            stream
            for stream in self._ports.registry.on_server(server.server_id)
            if stream.heard_ms < since_ms
        ]
        self._ports.placer.note_failure(server, True)
        self._ports.emit(
            EngineUnreachable(
                service=server.service,
                backend_server=server.server_id,
                run_count=len(streams),
            )
        )
        for stream in streams:
            stream.break_off()

    def _note_leaving(self, server: BackendServer) -> None:
        self._noticed.add(server.server_id)
        self._ports.emit(
            EngineLeaves(
                service=server.service,
                backend_server=server.server_id,
                leaves_in_ms=ASSUMED_NOTICE_MS,
                run_count=len(self._ports.registry.on_server(server.server_id)),
                source="store",
                step_ms=self._ports.placer.pace(server.service).step_ms,
            )
        )

    def _log(
        self,
        stream: Stream,
        source: BackendServer,
        target: str,
        elapsed_ms: float,
        reason: str,
    ) -> None:
        job = stream.job
        self._ports.emit(
            RunCopied(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=source.server_id,
                target=target,
                event_count=stream.event_count,
                elapsed_ms=elapsed_ms,
                reason=reason,
            )
        )
