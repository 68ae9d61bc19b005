"""Copies non-resumable runs off leaving engines and detects unreachable engines."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.pool import Pool

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.protection import ASSUMED_NOTICE_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.decisions.rescue_targets import should_try_target
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
from gypsumfield.gateway.permits import NO_PERMIT_REASON
from gypsumfield.gateway.permits import Permits
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.run_copies import OnDemandCopy
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.stream_registry import StreamRegistry
from gypsumfield.gateway.streams import Stream
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever

# One copy takes a few hundred milliseconds and waits on the engine's link for the
# copies of other hosts.
COPY_TIMEOUT_MS = 2_000.0
# Copies queue on the engine's link. A second one asks for memory meanwhile, so that the
# link is not idle while a target refuses.
MAX_PARALLEL_COPIES = 2
# The target of a copy lacks free memory.
MEMORY_REFUSED_STATUS = 503
# The other runs of a leaving engine wait behind the one that waits for a permit.
COPY_PERMIT_WAIT_MS = 300.0
CHECK_INTERVAL_MS = 100.0
# Events arrive every 30 to 60 ms, but a preempted stream pauses longer. Missing
# events alone therefore don't prove a failure, and the engine is probed by opening
# a connection.
PROBE_AFTER_MS = 400.0
PROBE_INTERVAL_MS = 300.0
# A sound engine may be silent for a second; callers wait for two at least.
TOLERATED_SILENCE_MS = 1_200.0


class ProtectionDependencies(NamedTuple):
    """Dependencies of `Protector`.

    Attributes:
        registry: Streams that run on this host.
        catalogue: Records of servers.
        placer: Selects engines for copies and counts failures.
        ledger: Runs and copies in flight.
        notices: Announcements of servers that they are leaving or full.
        permits: Permits for calls to engines that have named a limit.
        copy_run: Copies a run's key-value cache; takes the source engine, the
            request id, the target's address and the timeout in milliseconds.
        can_connect: Returns whether a server's address accepts a connection.
        refuses_connections: Returns whether an address actively refuses connections.
        can_move: Returns whether the engines of a service can copy runs.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    registry: StreamRegistry
    catalogue: Catalogue
    placer: Placer
    ledger: Ledger
    notices: ServerNotices
    permits: Permits
    copy_run: Callable[[BackendServer, str, str, float], CopyResult]
    can_connect: Callable[[str], bool]
    refuses_connections: Callable[[str], bool]
    can_move: Callable[[str], bool]
    clock: Clock
    emit: EmitEvent


class Protector:
    """Monitors this host's streams and the engines that run them."""

    def __init__(self, deps: ProtectionDependencies) -> None:
        self._deps = deps
        # Start of each leaving engine, and when this host learned that it leaves.
        self._leaving: dict[str, tuple[int, float]] = {}
        self._copying: set[str] = set()
        self._last_probe_ms: dict[str, float] = {}
        self._unreachable_since_ms: dict[str, float] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the periodic checks in a greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    @property
    def is_idle(self) -> bool:
        """Whether no copy is in progress."""
        return not self._copying

    def check_leaving_engines(self) -> None:
        """Copy the unprotected runs of every leaving engine."""
        self._forget_removed_engines()
        for server_id in self._deps.registry.server_ids():
            record = self._deps.catalogue.find_server(server_id)
            if record is None or server_id in self._copying:
                continue
            if not self._deps.can_move(record.server.service):
                continue
            if not self._deps.catalogue.is_leaving(record):
                continue
            self._record_leaving(record.server)
            if self._deps.notices.pause_ms(record.server):
                continue
            step_ms = self._deps.placer.pace(record.server.service).step_ms
            order = order_copies(self._exposed_runs(server_id), step_ms=step_ms)
            if order:
                self._copying.add(server_id)
                gevent.spawn(self._copy_runs, record.server, order)

    def _run(self) -> None:
        deps = self._deps
        run_forever("run protection", self._run_round, deps.clock, deps.emit)

    def _run_round(self) -> None:
        gevent.sleep(CHECK_INTERVAL_MS / MS_PER_S)
        self.check_leaving_engines()
        self._probe_unresponsive()

    def _exposed_runs(self, server_id: str) -> list[ExposedRun]:
        now_ms = self._deps.clock.monotonic_ms()
        exposed = []
        for stream in self._deps.registry.on_server(server_id):
            # An engine can copy a run only after its first token.
            if not stream.event_count or stream.can_resume_elsewhere:
                continue
            on_demand_copy = stream.copies.on_demand_copy
            if on_demand_copy is not None and self._deps.placer.exclusion_reason(
                on_demand_copy.server, stream.version.requirement
            ):
                on_demand_copy = None
            exposed.append(
                ExposedRun(
                    stream.job.request_id,
                    stream.generated_tokens,
                    stream.job.expected_tokens,
                    now_ms - on_demand_copy.started_ms if on_demand_copy else None,
                    now_ms - stream.copies.refused_at_ms
                    if stream.copies.refused_at_ms
                    else None,
                )
            )
        return exposed

    def _copy_runs(self, source: BackendServer, order: list[str]) -> None:
        def copy(request_id: str) -> None:
            stream = self._find_stream(source, request_id)
            if stream is not None:
                self._copy_run(stream, source)

        pool = Pool(MAX_PARALLEL_COPIES)
        try:
            for request_id in order:
                pool.spawn(copy, request_id)
            pool.join()
        finally:
            self._copying.discard(source.server_id)

    def _find_stream(self, source: BackendServer, request_id: str) -> Stream | None:
        for stream in self._deps.registry.on_server(source.server_id):
            if stream.job.request_id == request_id:
                return stream
        return None

    def _copy_run(self, stream: Stream, source: BackendServer) -> None:
        on_demand_copy = stream.copies.on_demand_copy
        if on_demand_copy and not self._deps.placer.exclusion_reason(
            on_demand_copy.server, stream.version.requirement
        ):
            self._copy_to(stream, source, on_demand_copy.server)
            return
        tried = [source.server_id]
        while should_try_target(len(tried) - 1, self._notice_left_ms(source)):
            target = self._deps.placer.place_copy(stream.run, source, tried)
            if target is None:
                break
            tried.append(target.server_id)
            if self._copy_to(stream, source, target):
                return
            # The stream may have moved to another engine during a refused copy.
            if stream.server.server_id != source.server_id:
                return
        if not stream.copies.refused_at_ms:
            self._log_copy(stream, source, "", 0.0, "no engine has enough free memory")
        stream.copies.refused_at_ms = self._deps.clock.monotonic_ms()

    def _notice_left_ms(self, source: BackendServer) -> float:
        now_ms = self._deps.clock.monotonic_ms()
        _, since_ms = self._leaving.get(source.server_id, (0, now_ms))
        return since_ms + ASSUMED_NOTICE_MS - now_ms

    def _copy_to(
        self, stream: Stream, source: BackendServer, target: BackendServer
    ) -> bool:
        """Copy one run and return whether no other target needs to be tried."""
        if not self._deps.permits.acquire(
            source, COPY_PERMIT_WAIT_MS, AbortHandle(), stream.job.request_id
        ):
            self._log_copy(stream, source, target.server_id, 0.0, NO_PERMIT_REASON)
            stream.copies.refused_at_ms = self._deps.clock.monotonic_ms()
            return True
        started_ms = self._deps.clock.monotonic_ms()
        # The ledger counts the copy's memory before the first call, so that no other
        # host selects the same free memory.
        run = Run(
            target.server_id, stream.run.prompt_tokens, stream.job.expected_tokens, True
        )
        run.generated_tokens = stream.generated_tokens
        self._deps.ledger.begin(run)
        self._deps.placer.rescues.record_copy(target.server_id)
        reason = ""
        result = None
        try:
            result = self._deps.copy_run(
                source, stream.job.request_id, target.address, COPY_TIMEOUT_MS
            )
            if not result.is_complete:
                reason = f"the engine answered with status {result.status}"
        except BackendError as error:
            reason = str(error)
        elapsed_ms = self._deps.clock.monotonic_ms() - started_ms
        self._log_copy(stream, source, target.server_id, elapsed_ms, reason)
        is_complete = result is not None and result.is_complete
        if (
            result is None
            or not is_complete
            or stream.server.server_id != source.server_id
        ):
            self._deps.ledger.end(run)
            if result is not None and result.status == MEMORY_REFUSED_STATUS:
                self._deps.placer.rescues.record_refusal(target.server_id)
            # 404: the run has ended. 409: another copy of it is in progress.
            return is_complete or (
                result is not None and result.status != MEMORY_REFUSED_STATUS
            )
        resume = ResumePoint("", source.address, result.copy_name)
        stream.copies.replace_on_demand_copy(
            OnDemandCopy(target, resume, started_ms, run)
        )
        return True

    def _probe_unresponsive(self) -> None:
        """Probe the engines of streams that have received nothing for a while."""
        now_ms = self._deps.clock.monotonic_ms()
        unresponsive = {
            stream.server
            for stream in self._deps.registry.streams()
            if now_ms - stream.last_received_ms > PROBE_AFTER_MS
        }
        for server in unresponsive:
            last_probe_ms = self._last_probe_ms.get(server.server_id, 0.0)
            if now_ms - last_probe_ms >= PROBE_INTERVAL_MS:
                self._last_probe_ms[server.server_id] = now_ms
                gevent.spawn(self._probe, server, now_ms)

    def _probe(self, server: BackendServer, probe_started_ms: float) -> None:
        """Abandon the streams of an engine that has ended or stays unreachable."""
        if self._deps.can_connect(server.address):
            self._unreachable_since_ms.pop(server.server_id, None)
            return
        since_ms = self._unreachable_since_ms.setdefault(
            server.server_id, probe_started_ms
        )
        silent_ms = self._deps.clock.monotonic_ms() - since_ms
        if silent_ms < TOLERATED_SILENCE_MS and not self._deps.refuses_connections(
            server.address
        ):
            return
        self._unreachable_since_ms.pop(server.server_id, None)
        streams = [
            stream
            for stream in self._deps.registry.on_server(server.server_id)
            if stream.last_received_ms < probe_started_ms
        ]
        self._deps.placer.record_failure(server, True)
        self._deps.emit(
            EngineUnreachable(
                service=server.service,
                backend_server=server.server_id,
                run_count=len(streams),
            )
        )
        for stream in streams:
            stream.abandon_engine()

    def _forget_removed_engines(self) -> None:
        for server_id in list(self._leaving):
            # Copies in progress still need the time of the announcement.
            if server_id in self._copying:
                continue
            if self._deps.catalogue.find_server(server_id) is None:
                del self._leaving[server_id]

    def _record_leaving(self, server: BackendServer) -> None:
        start_wall_ms, _ = self._leaving.get(server.server_id, (None, 0.0))
        if start_wall_ms == server.started_wall_ms:
            return
        now_ms = self._deps.clock.monotonic_ms()
        self._leaving[server.server_id] = (server.started_wall_ms, now_ms)
        self._deps.emit(
            EngineLeaves(
                service=server.service,
                backend_server=server.server_id,
                leaves_in_ms=ASSUMED_NOTICE_MS,
                run_count=len(self._deps.registry.on_server(server.server_id)),
                source="store",
                step_ms=self._deps.placer.pace(server.service).step_ms,
            )
        )

    def _log_copy(
        self,
        stream: Stream,
        source: BackendServer,
        target: str,
        elapsed_ms: float,
        reason: str,
    ) -> None:
        job = stream.job
        self._deps.emit(
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
