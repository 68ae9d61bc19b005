"""Polls engines for load reports and cache events."""

import random
import uuid
from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

import gevent
from gevent.pool import Pool

from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.engines import fetch_json
from gypsumfield.clock import Clock
from gypsumfield.engine_api import CacheEvents
from gypsumfield.engine_api import LoadReport
from gypsumfield.events import EnginePreempted
from gypsumfield.exceptions import BackendError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever
from gypsumfield.platform_api import Member

POLL_INTERVAL_MS = 250.0
CACHE_POLL_ROUNDS = 4
OTHER_ENGINES_LIMIT = 16
POLL_TIMEOUT_MS = 1_000.0
POLL_CONCURRENCY = 64

AnswerT = TypeVar("AnswerT")
ObserveLoad = Callable[[str, LoadReport, float], None]


class EngineWatchDependencies(NamedTuple):
    """Functions that the engine watch calls.

    Attributes:
        list_engines: Returns all model engines of the fleet.
        is_owned: Whether this host owns an engine; owned engines are polled in
            every round.
        is_in_use: Whether this host has requests on an engine; such an engine is
            polled before others that are not owned.
        observe_load: Called with host id, report and monotonic time of the request
            in milliseconds.
        observe_no_answer: Called with the host id of an engine that did not answer.
        observe_cache: Called with host id and published cache events.
        cache_sequence: Returns the sequence number after which to request cache
            events of an engine.
        emit: Writes an event to the log.
    """

    list_engines: Callable[[], list[Member]]
    is_owned: Callable[[str], bool]
    is_in_use: Callable[[str], bool]
    observe_load: ObserveLoad
    observe_no_answer: Callable[[str], None]
    observe_cache: Callable[[str, CacheEvents], None]
    cache_sequence: Callable[[str], int]
    emit: EmitEvent


class EngineWatch:
    """Polls the engines that this host owns, and a few others.

    If every entry host polled every engine, the number of polls would grow with
    the square of the fleet size. The number of engines that are not owned is
    therefore bounded: those in use come first, then those of the local zone, in
    random order.
    """

    def __init__(
        self,
        local_zone: str,
        deps: EngineWatchDependencies,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._local_zone = local_zone
        self._deps = deps
        self._clock = clock
        self._rng = rng
        self._round = 0
        self._preemption_counts: dict[str, tuple[str, int]] = {}
        self._pool = Pool(POLL_CONCURRENCY)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start a greenlet that polls periodically."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling, including the polls in progress."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._pool.kill()

    def poll_once(self) -> None:
        """Poll one round of engines and wait for their answers."""
        self._round += 1
        for member in self._select_engines():
            self._pool.spawn(self._poll, member)
        self._pool.join()

    def _run(self) -> None:
        run_forever("engine watch", self._run_round, self._clock, self._deps.emit)

    def _run_round(self) -> None:
        self.poll_once()
        self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _select_engines(self) -> list[Member]:
        owned: list[Member] = []
        others: list[Member] = []
        for engine in self._deps.list_engines():
            is_owned = self._deps.is_owned(engine.host_id)
            (owned if is_owned else others).append(engine)
        self._rng.shuffle(others)
        others.sort(key=self._poll_priority)
        return [*owned, *others[:OTHER_ENGINES_LIMIT]]

    def _poll_priority(self, engine: Member) -> tuple[bool, bool]:
        is_unused = not self._deps.is_in_use(engine.host_id)
        return is_unused, engine.availability_zone != self._local_zone

    def _poll(self, member: Member) -> None:
        try:
            self._poll_load(member)
            if self._round % CACHE_POLL_ROUNDS == 0:
                self._poll_cache(member)
        except BackendError:
            # The age of its latest report grows as well, so routing relies on it less.
            self._deps.observe_no_answer(member.host_id)

    def _poll_load(self, member: Member) -> None:
        requested_ms = self._clock.monotonic_ms()
        report = self._fetch(member, "/v1/load", LoadReport)
        self._deps.observe_load(member.host_id, report, requested_ms)
        boot_id, previous_count = self._preemption_counts.get(member.host_id, ("", 0))
        new_count = report.preemption_count
        if boot_id == report.boot_id:
            new_count -= previous_count
        self._preemption_counts[member.host_id] = (
            report.boot_id,
            report.preemption_count,
        )
        if boot_id and new_count > 0:
            self._deps.emit(
                EnginePreempted(
                    backend_server=member.host_id, preemption_count=new_count
                )
            )

    def _poll_cache(self, member: Member) -> None:
        after = self._deps.cache_sequence(member.host_id)
        target = f"/v1/cache-events?after={after}"
        events = self._fetch(member, target, CacheEvents)
        self._deps.observe_cache(member.host_id, events)

    def _fetch(
        self, member: Member, target: str, answer_type: type[AnswerT]
    ) -> AnswerT:
        timeouts = ExchangeTimeouts(POLL_TIMEOUT_MS, POLL_TIMEOUT_MS, POLL_TIMEOUT_MS)
        return fetch_json(
            member.address, target, answer_type, uuid.uuid4().hex, timeouts
        )
