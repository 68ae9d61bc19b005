"""Composition root: wires one entry host from its settings."""

import random
from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol

from gypsumfield.adapters.backends import BackendPool
from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import WorkGate
from gypsumfield.adapters.callers import build_application
from gypsumfield.adapters.callers import HostPages
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import HostState
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.attempts import AttemptPorts
from gypsumfield.backend_choice import BackendChooser
from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.directory import BackendDirectory
from gypsumfield.dispatch import Dispatcher
from gypsumfield.dispatch import DispatchPorts
from gypsumfield.dispatch import Placement
from gypsumfield.engine_watch import EngineWatch
from gypsumfield.engine_watch import EngineWatchPorts
from gypsumfield.events import HostDrained
from gypsumfield.events import HostDraining
from gypsumfield.events import HostStarted
from gypsumfield.generations import GenerationPorts
from gypsumfield.intake import Intake
from gypsumfield.jobs import Job
from gypsumfield.plain_calls import PlainPorts
from gypsumfield.platform_api import Member
from gypsumfield.platform_watch import PlatformWatch
from gypsumfield.ports import EmitEvent
from gypsumfield.relay import RelayPorts
from gypsumfield.serving import Serving
from gypsumfield.serving import ServingPorts
from gypsumfield.settings import EntrySettings
from gypsumfield.static_limits import static_quotas
from gypsumfield.static_limits import static_slots
from gypsumfield.status_page import render_status
from gypsumfield.status_page import StatusSources

SLOT_LIMIT_PER_HOST = 64
DRAIN_CHECK_INTERVAL_MS = 20.0


class Watch(Protocol):
    """Part of the host that runs in greenlets of its own."""

    def start(self) -> None:
        """Begin to run."""

    def stop(self) -> None:
        """End all greenlets."""


class EntryHost:
    """One entry host: started, drained and stopped as a whole."""

    def __init__(
        self,
        settings: EntrySettings,
        server: CallerServer,
        watches: Sequence[Watch],
        pool: BackendPool,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        self.settings = settings
        self._server = server
        self._watches = watches
        self._pool = pool
        self._clock = clock
        self._emit = emit

    def start(self) -> str:
        """Start to follow the platform and to serve.

        Returns:
            The URL for callers.
        """
        self._server.start()
        for watch in self._watches:
            watch.start()
        url = f"http://{self._server.server_host}:{self._server.server_port}"
        self._emit(HostStarted(address=url))
        return url

    @property
    def in_flight_count(self) -> int:
        """Requests whose answer has not ended."""
        return self._server.gate.in_flight_count

    def begin_drain(self) -> None:
        """Turn the health page, so that the balancer sends nothing more."""
        if not self._server.gate.is_draining:
            self._server.gate.is_draining = True
            self._emit(HostDraining(in_flight_count=self.in_flight_count))

    def drain(self) -> int:
        """Serve until no answer runs, then stop.

        New connections are taken until the balancer has noticed; answers run
        as long as they need, or as the settings allow.

        Returns:
            Number of answers that were cut.
        """
        self.begin_drain()
        self._clock.sleep_ms(self.settings.drain_notice_ms)
        self._server.close()
        started_ms = self._clock.monotonic_ms()
        while self.in_flight_count and not self._is_drain_over(started_ms):
            self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        return self.stop()

    def stop(self) -> int:
        """Stop at once.

        Returns:
            Number of answers that were cut.
        """
        cut_count = self.in_flight_count
        for watch in self._watches:
            watch.stop()
        self._server.stop(timeout=0)
        self._pool.close()
        self._emit(HostDrained(cut_count=cut_count))
        return cut_count

    def _is_drain_over(self, started_ms: float) -> bool:
        limit_ms = self.settings.drain_limit_ms
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        return limit_ms > 0 and elapsed_ms >= limit_ms


def build_entry_host(
    settings: EntrySettings, clock: Clock, log_event: EmitEvent
) -> EntryHost:
    """Return an entry host that is wired but not started.

    Args:
        settings: Checked settings of the host.
        clock: Time of the host.
        log_event: Appends an event to the host's log.
    """
    rng = random.Random(settings.seed)
    store = ConfigurationStore()
    metrics = Metrics(lambda service: _profile_of(store, service))
    emit = emit_to_all(log_event, metrics.observe_event)
    client = PlatformClient(settings.platform_url)
    directory = BackendDirectory(lambda: store.current)
    watch = PlatformWatch(
        store,
        client.fetch_values,
        client.fetch_members,
        directory.update,
        clock,
        emit,
        rng,
    )
    lengths = LengthModel()
    chooser = BackendChooser(
        settings.availability_zone, directory, lengths, clock, rng, emit
    )
    dispatcher = Dispatcher(
        DispatchPorts(
            clock=clock,
            configuration=lambda: store.current,
            chooser=chooser,
            slots=static_slots(settings.host_id, SLOT_LIMIT_PER_HOST),
            expected_tokens=lambda demand: _expected_tokens(lengths, demand),
            record_queue_wait=metrics.record_queue_wait,
            emit=emit,
        )
    )
    engine_watch = EngineWatch(
        settings.availability_zone,
        EngineWatchPorts(
            list_engines=lambda: _engines(store, directory),
            is_close=lambda host_id: chooser.in_flight_count(host_id) > 0,
            observe_load=chooser.observe_load,
            observe_cache=chooser.observe_cache,
            cache_sequence=chooser.cache_sequence,
            emit=emit,
        ),
        clock,
        rng,
    )
    pool = BackendPool()
    attempts = _attempt_ports(store, directory, dispatcher, clock, emit)
    relay = RelayPorts(
        clock=clock,
        configuration=lambda: store.current,
        connect_timeout_ms=settings.connect_timeout_ms,
        record_between_tokens=metrics.record_between_tokens,
        emit=emit,
    )
    serving = Serving(
        ServingPorts(
            intake=Intake(lambda: store.current, clock, lambda: _host_hindrance(store)),
            generations=GenerationPorts(
                attempts=attempts,
                relay=relay,
                find_backend=directory.find,
                record_length=lambda finished: lengths.record(
                    finished, clock.monotonic_ms()
                ),
                record_progress=lengths.record_progress,
            ),
            plain=PlainPorts(attempts, relay, pool),
            quotas=static_quotas(
                lambda: store.current, lambda: len(directory.entry_hosts()), clock
            ),
            emit=emit,
        )
    )
    server = _caller_server(settings, serving, store, metrics, watch, directory, clock)
    return EntryHost(settings, server, [watch, engine_watch], pool, clock, emit)


def _attempt_ports(
    store: ConfigurationStore,
    directory: BackendDirectory,
    dispatcher: Dispatcher,
    clock: Clock,
    emit: EmitEvent,
) -> AttemptPorts:
    budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def find_hindrance(job: Job, placement: Placement) -> str:
        if clock.monotonic_ms() > job.deadline_ms:
            return "the deadline has passed"
        if clock.monotonic_ms() >= placement.lease.send_before_ms:
            return "the lease of its slot has run out"
        return directory.find_hindrance(job.service_name, placement.backend)

    return AttemptPorts(
        clock=clock,
        configuration=lambda: store.current,
        dispatcher=dispatcher,
        find_hindrance=find_hindrance,
        budgets=budgets.__getitem__,
        emit=emit,
    )


def _expected_tokens(lengths: LengthModel, demand: GenerationDemand) -> float:
    if demand.max_tokens == 0:
        return 1.0
    return demand.prompt_tokens + lengths.remaining(demand, 0).mean_tokens


def _engines(store: ConfigurationStore, directory: BackendDirectory) -> list[Member]:
    services = store.current.services
    models = {name for name, service in services.items() if service.kind == "model"}
    members = directory.backend_servers()
    return [member for member in members if models.intersection(member.services)]


def _caller_server(
    settings: EntrySettings,
    serving: Serving,
    store: ConfigurationStore,
    metrics: Metrics,
    watch: PlatformWatch,
    directory: BackendDirectory,
    clock: Clock,
) -> CallerServer:
    sources = StatusSources(settings, store, directory, watch, clock)

    def read_state() -> HostState:
        return HostState(
            configuration_revision=store.revision,
            configuration_age_ms=clock.monotonic_ms() - watch.confirmed_ms,
            rejected_value_count=len(store.current.rejected),
            member_count=len(directory.entry_hosts()),
            in_flight_count=server.gate.in_flight_count,
        )

    metrics.read_state = read_state
    pages = HostPages(
        health=lambda: not server.gate.is_draining,
        readiness=lambda: _host_hindrance(store),
        metrics=metrics.render,
        status=lambda: render_status(sources),
    )
    application = build_application(serving, pages, settings.body_limit_bytes)
    address = (settings.listen_address, settings.listen_port)
    server = CallerServer(address, WorkGate(application))
    return server


def _host_hindrance(store: ConfigurationStore) -> str:
    if store.revision == 0:
        return "no configuration has been read yet"
    return ""


def _profile_of(store: ConfigurationStore, service: str) -> str:
    known = store.current.services.get(service)
    return known.profile if known else ""
