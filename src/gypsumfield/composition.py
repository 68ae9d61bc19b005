"""Composition root: wires one entry host from its settings."""

import random
import uuid
from collections import defaultdict
from typing import NamedTuple

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.adapters.callers import build_application
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.engines import CONTROL_TIMEOUTS
from gypsumfield.adapters.engines import read_inventory
from gypsumfield.adapters.engines import send_order
from gypsumfield.adapters.http_endpoints import EndpointDependencies
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import HostState
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.attempts import AttemptDependencies
from gypsumfield.backend_selection import BackendSelector
from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration import Profile
from gypsumfield.control_plane import AdmissionDependencies
from gypsumfield.control_plane import build_control_plane
from gypsumfield.control_plane import ControlPlane
from gypsumfield.decisions.admission import make_admission
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.directory import BackendDirectory
from gypsumfield.dispatch import DispatchDependencies
from gypsumfield.dispatch import Dispatcher
from gypsumfield.dispatch import Placement
from gypsumfield.engine_api import LoadReport
from gypsumfield.engine_watch import EngineWatch
from gypsumfield.engine_watch import EngineWatchDependencies
from gypsumfield.entry_host import EntryHost
from gypsumfield.entry_host import Farewell
from gypsumfield.entry_host import HostIdentity
from gypsumfield.events import Event
from gypsumfield.generations import GenerationDependencies
from gypsumfield.interfaces import EmitEvent
from gypsumfield.jobs import Job
from gypsumfield.limit_views import owner_zone
from gypsumfield.order_service import OrderDependencies
from gypsumfield.order_service import OrderService
from gypsumfield.plain_calls import PlainCallDependencies
from gypsumfield.platform_api import Member
from gypsumfield.refusal_history import RefusalHistory
from gypsumfield.relay import RelayDependencies
from gypsumfield.request_validation import RequestValidator
from gypsumfield.request_validation import RequestValidatorDependencies
from gypsumfield.serving import Serving
from gypsumfield.serving import ServingDependencies
from gypsumfield.settings import EntrySettings
from gypsumfield.status_page import render_status
from gypsumfield.status_page import StatusSources


class _Base(NamedTuple):
    """What nearly every part of the host needs."""

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    store: ConfigurationStore
    metrics: Metrics
    refusals: RefusalHistory
    emit: EmitEvent


class _Choice(NamedTuple):
    """What places requests on backend servers."""

    plane: ControlPlane
    directory: BackendDirectory
    lengths: LengthModel
    selector: BackendSelector
    dispatcher: Dispatcher


def build_entry_host(
    settings: EntrySettings, clock: Clock, log_event: EmitEvent
) -> EntryHost:
    """Return an entry host that is wired but not started.

    Args:
        settings: Checked settings of the host.
        clock: Time of the host.
        log_event: Appends an event to the host's log.

    Raises:
        SettingsError: The control socket cannot be opened as set.
    """
    base = _build_base(settings, clock, log_event)
    choice = _build_choice(base)
    pool = ConnectionPool()
    serving = _build_serving(base, choice, pool)
    server = _build_server(base, choice, serving)
    identity = HostIdentity(choice.plane.boot_id, choice.plane.transport.address)
    return EntryHost(
        settings,
        identity,
        server,
        [choice.plane, _build_engine_watch(base, choice), _build_orders(base, choice)],
        Farewell(choice.plane.retirement.retire, choice.plane.members.leave),
        pool,
        clock,
        base.emit,
    )


def _build_base(settings: EntrySettings, clock: Clock, log_event: EmitEvent) -> _Base:
    store = ConfigurationStore()
    metrics = Metrics(lambda service: _profile_name(store, service))
    refusals = RefusalHistory()

    def remember_refusal(event: Event) -> None:
        refusals.observe(event, clock.monotonic_ms())

    emit = emit_to_all(log_event, metrics.observe_event, remember_refusal)
    rng = random.Random(settings.seed)
    return _Base(settings, clock, rng, store, metrics, refusals, emit)


def _build_choice(base: _Base) -> _Choice:
    lengths = LengthModel()
    admission = AdmissionDependencies(
        can_admit=make_admission(lengths, lambda name: _profile(base.store, name)),
        read_target_ms=lambda name: _profile(base.store, name).between_tokens_target_ms,
        record_output_length=lambda finished: _record_length(base, lengths, finished),
    )
    plane = build_control_plane(
        base.settings,
        base.store,
        PlatformClient(base.settings.platform_url),
        admission,
        base.clock,
        base.emit,
        base.rng,
    )
    directory = BackendDirectory(
        lambda: base.store.current, plane.members.membership.backends
    )
    selector = BackendSelector(
        base.settings.availability_zone,
        directory,
        lengths,
        base.clock,
        base.rng,
        base.emit,
    )
    dispatcher = Dispatcher(
        DispatchDependencies(
            clock=base.clock,
            configuration=lambda: base.store.current,
            selector=selector,
            slots=plane.slots.port(),
            expected_tokens=lambda demand: _expected_tokens(lengths, demand),
            record_queue_wait=base.metrics.record_queue_wait,
            emit=base.emit,
        )
    )
    return _Choice(plane, directory, lengths, selector, dispatcher)


def _build_engine_watch(base: _Base, choice: _Choice) -> EngineWatch:
    selector = choice.selector
    slots = choice.plane.slots
    backends = choice.plane.members.membership.backends

    def observe_load(host_id: str, report: LoadReport, requested_ms: float) -> None:
        selector.observe_load(host_id, report, requested_ms)
        slots.observe_load(host_id, report, requested_ms)
        backends.report(host_id, report.boot_id, "live")

    ports = EngineWatchDependencies(
        list_engines=lambda: _engines(base.store, choice.directory),
        is_owned=slots.is_owner,
        is_in_use=lambda host_id: selector.in_flight_count(host_id) > 0,
        observe_load=observe_load,
        observe_no_answer=slots.observe_no_answer,
        observe_cache=selector.observe_cache,
        cache_sequence=selector.cache_sequence,
        emit=base.emit,
    )
    return EngineWatch(base.settings.availability_zone, ports, base.clock, base.rng)


def _build_orders(base: _Base, choice: _Choice) -> OrderService:
    backends = choice.plane.members.membership.backends
    zone = base.settings.availability_zone

    def list_engines() -> list[Member]:
        engines = _engines(base.store, choice.directory)
        return [
            engine
            for engine in engines
            if owner_zone(base.store.current, engine.availability_zone) == zone
            and not backends.is_leaving(engine)
        ]

    sources = OrderDependencies(
        read_configuration=lambda: base.store.current,
        list_engines=list_engines,
        is_owner=choice.plane.slots.is_active_owner,
        read_inventory=read_inventory,
        send_order=lambda address, order, check: send_order(
            address, order, uuid.uuid4().hex, CONTROL_TIMEOUTS, check
        ),
    )
    return OrderService(sources, base.clock, base.emit)


def _build_serving(base: _Base, choice: _Choice, pool: ConnectionPool) -> Serving:
    attempts = _attempt_ports(base, choice)
    relay = RelayDependencies(
        clock=base.clock,
        configuration=lambda: base.store.current,
        connect_timeout_ms=base.settings.connect_timeout_ms,
        record_between_tokens=base.metrics.record_between_tokens,
        emit=base.emit,
    )
    generations = GenerationDependencies(
        attempts=attempts,
        relay=relay,
        find_backend=choice.directory.find,
        record_length=lambda finished: _record_length(base, choice.lengths, finished),
        record_progress=lambda progress: choice.lengths.record_progress(
            progress._replace(
                is_within_rate=_is_within_rate(base, progress.demand.account)
            )
        ),
    )
    validator = RequestValidator(
        RequestValidatorDependencies(
            configuration=lambda: base.store.current,
            clock=base.clock,
            find_not_ready_reason=lambda: _configuration_hindrance(base, choice.plane),
            platform_age_ms=choice.plane.configuration.platform_age_ms,
        )
    )
    ports = ServingDependencies(
        validator=validator,
        generations=generations,
        plain=PlainCallDependencies(attempts, relay, pool),
        quotas=choice.plane.quotas.port(),
        emit=base.emit,
    )
    return Serving(ports)


def _attempt_ports(base: _Base, choice: _Choice) -> AttemptDependencies:
    budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def find_exclusion_reason(job: Job, placement: Placement) -> str:
        now_ms = base.clock.monotonic_ms()
        if now_ms > job.deadline_ms:
            return "the deadline has passed"
        if now_ms >= placement.lease.send_before_ms:
            return "the lease has run out"
        return choice.directory.find_exclusion_reason(
            job.service_name, placement.backend
        )

    def mark_leaving(backend: Member) -> None:
        backends = choice.plane.members.membership.backends
        boot_id = backends.boot_id_of(backend.host_id)
        backends.report(backend.host_id, boot_id, "leaving")

    return AttemptDependencies(
        clock=base.clock,
        configuration=lambda: base.store.current,
        dispatcher=choice.dispatcher,
        find_exclusion_reason=find_exclusion_reason,
        budgets=budgets.__getitem__,
        mark_leaving=mark_leaving,
        emit=base.emit,
    )


def _build_server(base: _Base, choice: _Choice, serving: Serving) -> CallerServer:
    sources = StatusSources(
        base.settings,
        base.store,
        choice.directory,
        choice.plane,
        lambda: base.refusals.last_refusals(base.clock.monotonic_ms()),
    )

    plane = choice.plane

    def read_state() -> HostState:
        shares = plane.quotas.shares().values()
        backends = choice.directory.backend_servers()
        return HostState(
            configuration_revision=base.store.revision,
            configuration_age_ms=choice.plane.configuration.platform_age_ms() or 0.0,
            rejected_value_count=len(base.store.current.rejected),
            member_count=len(choice.plane.members.membership.live_hosts()),
            in_flight_count=server.request_tracker.in_flight_count,
            queue_length=choice.dispatcher.queue_length,
            owned_backend_count=sum(
                plane.slots.is_active_owner(backend.host_id) for backend in backends
            ),
            shares_held_count=sum(share > 0.0 for share in shares),
            shares_held_tokens=plane.quotas.held_tokens,
            slots_held_count=plane.slots.held_count,
            slots_granted_count=plane.slots.granted_count,
        )

    base.metrics.read_state = read_state
    endpoint_deps = EndpointDependencies(
        health=lambda: not server.request_tracker.is_draining,
        readiness=lambda: _readiness_hindrance(base, choice.plane),
        metrics=base.metrics.render,
        status=lambda: render_status(sources),
    )
    application = build_application(
        serving, endpoint_deps, base.settings.body_limit_bytes
    )
    address = (base.settings.listen_address, base.settings.listen_port)
    server = CallerServer(address, RequestTracker(application))
    return server


def _configuration_hindrance(base: _Base, plane: ControlPlane) -> str:
    # A new host that reaches a stale platform first must not serve with what
    # its peers have long left behind.
    if not plane.configuration.has_queried_peers or base.store.revision == 0:
        return "no configuration has been read yet"
    return ""


def _readiness_hindrance(base: _Base, plane: ControlPlane) -> str:
    if plane.members.membership.backends.is_empty:
        return "no member list has been read yet"
    if plane.quotas.zone_share == 0.0:
        return "this host waits before it takes its part of the limits"
    return _configuration_hindrance(base, plane)


def _record_length(base: _Base, lengths: LengthModel, finished: FinishedLength) -> None:
    is_within_rate = _is_within_rate(base, finished.demand.account)
    lengths.record(
        finished._replace(is_within_rate=is_within_rate), base.clock.monotonic_ms()
    )


def _is_within_rate(base: _Base, account: str) -> bool:
    # An account above its rate does not bend the estimates of the others.
    return not base.refusals.is_over_rate(account, base.clock.monotonic_ms())


def _expected_tokens(lengths: LengthModel, demand: GenerationDemand) -> float:
    if demand.max_tokens == 0:
        return 1.0
    return demand.prompt_tokens + lengths.remaining(demand, 0).mean_tokens


def _engines(store: ConfigurationStore, directory: BackendDirectory) -> list[Member]:
    services = store.current.services
    models = {name for name, service in services.items() if service.kind == "model"}
    members = directory.backend_servers()
    return [member for member in members if models.intersection(member.services)]


def _profile_name(store: ConfigurationStore, service: str) -> str:
    known = store.current.services.get(service)
    return known.profile if known else ""


def _profile(store: ConfigurationStore, name: str) -> Profile:
    # A profile may be withdrawn while requests that began under it still run.
    return store.current.profiles.get(name, Profile())
