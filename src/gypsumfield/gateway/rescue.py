"""Moves this host's runs off engines that are about to be gone."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from gypsumfield.clock import Clock
from gypsumfield.decisions.rescue import ASSUMED_NOTICE_MS
from gypsumfield.decisions.rescue import order_moves
from gypsumfield.decisions.rescue import ThreatenedRun
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.calls import MoveResult
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import EngineLeaves
from gypsumfield.gateway.events import RunMoved
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.streams import Handover
from gypsumfield.gateway.streams import Stream
from gypsumfield.gateway.streams import StreamRegistry
from gypsumfield.ports import EmitEvent

# One copy takes a few hundred ms on its link, behind those of other hosts.
COPY_TIMEOUT_MS = 2_000.0
DESTINATION_TRIES = 2


class RescuePorts(NamedTuple):
    """What moving uses.

    Attributes:
        read_state: Asks an engine for its end.
        move_run: Copies a run's memory: address, request id, target, whether
            the run stops first, time limit.
        can_move: Whether engines of a service can move runs.
    """

    registry: StreamRegistry
    catalogue: Catalogue
    placer: Placer
    ledger: Ledger
    read_state: Callable[[str], EngineState]
    move_run: Callable[[str, str, str, bool, float], MoveResult]
    can_move: Callable[[str], bool]
    clock: Clock
    emit: EmitEvent


class Rescuer:
    """Watches for engines that leave under runs of this host."""

    def __init__(self, ports: RescuePorts) -> None:
        self._ports = ports
        self._noticed: set[str] = set()

    def look(self) -> None:
        """Start to move the runs of every engine that leaves from now on."""
        catalogue = self._ports.catalogue
        for server_id in self._ports.registry.server_ids():
            belief = catalogue.find_server(server_id)
            if server_id in self._noticed or belief is None:
                continue
            if catalogue.is_leaving(belief) and self._ports.can_move(
                belief.server.service
            ):
                self._noticed.add(server_id)
                gevent.spawn(self._empty, belief.server)

    def _empty(self, server: BackendServer) -> None:
        leaves_in_ms, source = self._ask_end(server)
        streams = {
            stream.job.request_id: stream
            for stream in self._ports.registry.on_server(server.server_id)
        }
        self._ports.emit(
            EngineLeaves(
                service=server.service,
                backend_server=server.server_id,
                leaves_in_ms=leaves_in_ms,
                run_count=len(streams),
                source=source,
            )
        )
        runs = [
            _threatened(stream) for stream in streams.values() if not stream.has_backup
        ]
        moves = []
        for request_id in order_moves(runs, leaves_in_ms):
            moves.append(gevent.spawn(self._move, streams[request_id], server))
        gevent.joinall(moves)

    def _ask_end(self, server: BackendServer) -> tuple[float, str]:
        try:
            state = self._ports.read_state(server.address)
        except BackendError:
            return ASSUMED_NOTICE_MS, "assumed: the engine gave no report"
        if state.leaves_in_ms is None:
            return ASSUMED_NOTICE_MS, "assumed: the report names no end"
        return state.leaves_in_ms, "report"

    def _move(self, stream: Stream, source: BackendServer) -> None:
        tried = [source.server_id]
        for _ in range(DESTINATION_TRIES):
            place = self._ports.placer.place_stream(
                source.service,
                stream.run.prompt_tokens + stream.expected_tokens,
                tried,
            )
            if place is None:
                self._log(stream, "", None, 0.0, "no engine has room")
                return
            tried.append(place.server.server_id)
            if self._move_to(stream, source, place.server):
                return

    def _move_to(
        self, stream: Stream, source: BackendServer, target: BackendServer
    ) -> bool:
        """Move one run; return whether no other target needs to be tried."""
        started_ms = self._ports.clock.monotonic_ms()
        # The target's room is taken from the first call on, so that no other
        # host picks the same hole.
        run = Run(target.server_id, stream.run.prompt_tokens, stream.expected_tokens)
        run.generated_tokens = stream.generated_tokens
        run.is_reading = False
        self._ports.ledger.begin(run)
        result = None
        try:
            result = self._copy(stream, source, target, False)
            if result is not None and result.is_complete:
                result = self._hand_over(stream, source, target, run)
        finally:
            elapsed_ms = self._ports.clock.monotonic_ms() - started_ms
            reason = "" if result else "the engine did not answer"
            if result and not result.is_complete:
                reason = f"the engine answered {result.status}"
            self._log(stream, target.server_id, result, elapsed_ms, reason)
            if stream.run is not run and (result is None or not result.is_complete):
                self._ports.ledger.end(run)
        return result is not None and (result.is_complete or result.status == 404)

    def _hand_over(
        self, stream: Stream, source: BackendServer, target: BackendServer, run: Run
    ) -> MoveResult | None:
        """Stop the run, copy the rest and tell the stream where it goes on."""
        waiting = AsyncResult()
        stream.handover = waiting
        result = self._copy(stream, source, target, True)
        if result is None or not result.copy_name:
            waiting.set(None)
            return result
        resume = ResumePoint("", source.address, result.copy_name)
        # A stopped run that could not be copied goes on where it was.
        server = target if result.is_complete else source
        waiting.set(Handover(server, resume, run))
        return result

    def _copy(
        self, stream: Stream, source: BackendServer, target: BackendServer, final: bool
    ) -> MoveResult | None:
        try:
            return self._ports.move_run(
                source.address,
                stream.job.request_id,
                target.address,
                final,
                COPY_TIMEOUT_MS,
            )
        except BackendError as error:
            self._log(stream, target.server_id, None, 0.0, str(error))
            return None

    def _log(
        self,
        stream: Stream,
        target: str,
        result: MoveResult | None,
        elapsed_ms: float,
        reason: str,
    ) -> None:
        job = stream.job
        self._ports.emit(
            RunMoved(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=stream.server.server_id,
                target=target,
                is_complete=bool(result and result.is_complete),
                event_count=result.event_count if result else 0,
                elapsed_ms=elapsed_ms,
                reason=reason,
            )
        )


def _threatened(stream: Stream) -> ThreatenedRun:
    return ThreatenedRun(
        stream.job.request_id,
        stream.run.prompt_tokens,
        stream.generated_tokens,
        stream.expected_tokens,
        stream.job.route.is_resumable,
    )
