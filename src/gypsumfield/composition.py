"""Composition root that builds one entry host from its settings."""

import random
import uuid
from collections import defaultdict
from typing import NamedTuple

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import ConnectionLimits
from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.adapters.callers import build_application
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.engines import CONTROL_TIMEOUTS
from gypsumfield.adapters.engines import read_boot_id
from gypsumfield.adapters.engines import read_inventory
from gypsumfield.adapters.engines import send_order
from gypsumfield.adapters.http_endpoints import EndpointDependencies
from gypsumfield.adapters.metric_specs import HostState
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.attempts import AttemptDependencies
from gypsumfield.backend_selection import BackendSelector
from gypsumfield.caller_limits import build_caller_limits
from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration_events import log_invalid_hosts
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
from gypsumfield.entry_host import HostIdentity
from gypsumfield.entry_host import PeerNotifications
from gypsumfield.events import Event
from gypsumfield.generations import GenerationDependencies
from gypsumfield.interfaces import EmitEvent
from gypsumfield.jobs import Job
from gypsumfield.limit_views import owner_zone
from gypsumfield.messages import PromptAnswer
from gypsumfield.messages import PromptCrash
from gypsumfield.order_service import OrderDependencies
from gypsumfield.order_service import OrderService
from gypsumfield.plain_calls import PlainCallDependencies
from gypsumfield.platform_api import Member
from gypsumfield.prompt_guard import GuardDependencies
from gypsumfield.prompt_guard import PromptGuard
from gypsumfield.refusal_history import RefusalHistory
from gypsumfield.relay import RelayDependencies
from gypsumfield.request_validation import RequestValidator
from gypsumfield.request_validation import RequestValidatorDependencies
from gypsumfield.serving import Serving
from gypsumfield.serving import ServingDependencies
from gypsumfield.settings import EntrySettings
from gypsumfield.status_page import render_status
from gypsumfield.status_page import StatusSources


class _Core(NamedTuple):
    """Core objects, which nearly every component of the host uses."""

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    store: ConfigurationStore
    metrics: Metrics
    refusals: RefusalHistory
    emit: EmitEvent


class _Routing(NamedTuple):
    """Components that select backend servers for requests."""

    plane: ControlPlane
    directory: BackendDirectory
    lengths: LengthModel
    selector: BackendSelector
    dispatcher: Dispatcher


def build_entry_host(
    settings: EntrySettings, clock: Clock, log_event: EmitEvent
) -> EntryHost:
    """Return an entry host that is complete but not started.

    Args:
        settings: Validated settings of the host.
        clock: Clock of the host.
        log_event: Writes an event to the log of the host.

    Raises:
        SettingsError: The control socket cannot be opened with these settings.
    """
    core = _build_core(settings, clock, log_event)
    routing = _build_routing(core)
    pool = ConnectionPool()
    serving = _build_serving(core, routing, pool)
    server = _build_server(core, routing, serving)
    identity = HostIdentity(routing.plane.boot_id, routing.plane.transport.address)
    return EntryHost(
        settings,
        identity,
        server,
        [
            routing.plane,
            _build_engine_watch(core, routing),
            _build_orders(core, routing),
        ],
        PeerNotifications(routing.plane.retirement.retire, routing.plane.members.leave),
        pool,
        clock,
        core.emit,
    )


def _build_core(settings: EntrySettings, clock: Clock, log_event: EmitEvent) -> _Core:
    store = ConfigurationStore()
    metrics = Metrics(store.profile_name)
    refusals = RefusalHistory()

    def record_refusal(event: Event) -> None:
        refusals.observe(event, clock.monotonic_ms())

    emit = emit_to_all(log_event, metrics.observe_event, record_refusal)
    rng = random.Random(settings.seed)
    return _Core(settings, clock, rng, store, metrics, refusals, emit)


def _build_routing(core: _Core) -> _Routing:
    lengths = LengthModel()
    admission = AdmissionDependencies(
        can_admit=make_admission(lengths, core.store.profile),
        read_target_ms=lambda name: core.store.profile(name).between_tokens_target_ms,
        record_output_length=lambda finished: _record_length(core, lengths, finished),
    )
    plane = build_control_plane(
        core.settings,
        core.store,
        PlatformClient(core.settings.platform_url, log_invalid_hosts(core.emit)),
        admission,
        core.clock,
        core.emit,
        core.rng,
    )
    directory = BackendDirectory(
        lambda: core.store.current, plane.members.membership.backends
    )
    selector = BackendSelector(
        core.settings.availability_zone,
        directory,
        lengths,
        core.clock,
        core.rng,
        core.emit,
    )
    dispatcher = Dispatcher(
        DispatchDependencies(
            clock=core.clock,
            configuration=lambda: core.store.current,
            selector=selector,
            slots=plane.slots.allocator(),
            expected_tokens=lambda demand: _expected_tokens(lengths, demand),
            record_queue_wait=core.metrics.record_queue_wait,
            emit=core.emit,
        )
    )
    return _Routing(plane, directory, lengths, selector, dispatcher)


def _build_engine_watch(core: _Core, routing: _Routing) -> EngineWatch:
    selector = routing.selector
    slots = routing.plane.slots
    backends = routing.plane.members.membership.backends

    def observe_load(host_id: str, report: LoadReport, requested_ms: float) -> None:
        selector.observe_load(host_id, report, requested_ms)
        slots.observe_load(host_id, report, requested_ms)
        backends.report(host_id, report.boot_id, "live")

    deps = EngineWatchDependencies(
        list_engines=lambda: _list_engines(core.store, routing.directory),
        is_owned=slots.is_owner,
        is_in_use=lambda host_id: selector.in_flight_count(host_id) > 0,
        observe_load=observe_load,
        observe_no_answer=slots.observe_no_answer,
        observe_cache=selector.observe_cache,
        cache_sequence=selector.cache_sequence,
        emit=core.emit,
    )
    return EngineWatch(core.settings.availability_zone, deps, core.clock, core.rng)


def _build_orders(core: _Core, routing: _Routing) -> OrderService:
    backends = routing.plane.members.membership.backends
    zone = core.settings.availability_zone

    def list_engines() -> list[Member]:
        engines = _list_engines(core.store, routing.directory)
        return [
            engine
            for engine in engines
            if owner_zone(core.store.current, engine.availability_zone) == zone
            and not backends.is_leaving(engine)
        ]

    deps = OrderDependencies(
        read_configuration=lambda: core.store.current,
        list_engines=list_engines,
        is_owner=routing.plane.slots.is_active_owner,
        read_inventory=read_inventory,
        send_order=lambda address, order, check: send_order(
            address, order, uuid.uuid4().hex, CONTROL_TIMEOUTS, check
        ),
    )
    return OrderService(deps, core.clock, core.emit)


def _build_serving(core: _Core, routing: _Routing, pool: ConnectionPool) -> Serving:
    attempts = _build_attempt_dependencies(core, routing)
    relay = RelayDependencies(
        clock=core.clock,
        configuration=lambda: core.store.current,
        connect_timeout_ms=core.settings.connect_timeout_ms,
        record_between_tokens=core.metrics.record_between_tokens,
        emit=core.emit,
    )
    generations = GenerationDependencies(
        attempts=attempts,
        relay=relay,
        find_backend=routing.directory.find,
        record_length=lambda finished: _record_length(core, routing.lengths, finished),
        record_progress=lambda progress: routing.lengths.record_progress(
            progress._replace(
                is_within_rate=_is_within_rate(core, progress.demand.account)
            )
        ),
        guard=_build_prompt_guard(core, routing.plane),
    )
    validator = RequestValidator(
        RequestValidatorDependencies(
            configuration=lambda: core.store.current,
            clock=core.clock,
            find_not_ready_reason=lambda: _configuration_problem(core, routing.plane),
            platform_age_ms=routing.plane.configuration.platform_age_ms,
        )
    )
    deps = ServingDependencies(
        validator=validator,
        generations=generations,
        plain=PlainCallDependencies(attempts, relay, pool),
        quotas=routing.plane.quotas.limiter(),
        emit=core.emit,
    )
    return Serving(deps)


def _build_prompt_guard(core: _Core, plane: ControlPlane) -> PromptGuard:
    guard = PromptGuard(
        GuardDependencies(read_boot_id, plane.send_to_all, core.clock, core.emit)
    )
    plane.loop.register(PromptCrash, guard.receive_crash)
    plane.loop.register(PromptAnswer, guard.receive_answer)
    return guard


def _build_attempt_dependencies(core: _Core, routing: _Routing) -> AttemptDependencies:
    budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def find_exclusion_reason(job: Job, placement: Placement) -> str:
        now_ms = core.clock.monotonic_ms()
        if now_ms > job.deadline_ms:
            return "the deadline has passed"
        if now_ms >= placement.lease.send_before_ms:
            return "the lease has run out"
        return routing.directory.find_exclusion_reason(
            job.service_name, placement.backend
        )

    def mark_leaving(backend: Member) -> None:
        backends = routing.plane.members.membership.backends
        boot_id = backends.boot_id_of(backend.host_id)
        backends.report(backend.host_id, boot_id, "leaving")

    return AttemptDependencies(
        clock=core.clock,
        configuration=lambda: core.store.current,
        dispatcher=routing.dispatcher,
        find_exclusion_reason=find_exclusion_reason,
        budgets=budgets.__getitem__,
        mark_leaving=mark_leaving,
        emit=core.emit,
    )


def _build_server(core: _Core, routing: _Routing, serving: Serving) -> CallerServer:
    sources = StatusSources(
        core.settings,
        core.store,
        routing.directory,
        routing.plane,
        lambda: core.refusals.last_refusals(core.clock.monotonic_ms()),
    )

    plane = routing.plane

    def read_state() -> HostState:
        shares = plane.quotas.shares().values()
        backends = routing.directory.backend_servers()
        return HostState(
            configuration_revision=core.store.revision,
            configuration_age_ms=routing.plane.configuration.platform_age_ms() or 0.0,
            rejected_value_count=len(core.store.current.rejected),
            member_count=len(routing.plane.members.membership.live_hosts()),
            in_flight_count=server.request_tracker.in_flight_count,
            queue_length=routing.dispatcher.queue_length,
            owned_backend_count=sum(
                plane.slots.is_active_owner(backend.host_id) for backend in backends
            ),
            shares_held_count=sum(share > 0.0 for share in shares),
            shares_held_tokens=plane.quotas.held_tokens,
            slots_held_count=plane.slots.held_count,
            slots_granted_count=plane.slots.granted_count,
            held_bytes=memory.held_bytes,
            open_connection_count=connections.open_count,
        )

    core.metrics.read_state = read_state
    endpoint_deps = EndpointDependencies(
        health=lambda: not server.request_tracker.is_draining,
        readiness=lambda: _readiness_problem(core, routing.plane),
        metrics=core.metrics.render,
        status=lambda: render_status(sources),
    )
    settings = core.settings
    memory, connections = build_caller_limits(
        settings.max_fds, settings.memory_mb, core.clock, core.emit
    )
    application = build_application(
        serving, endpoint_deps, settings.body_limit_bytes, memory
    )
    address = (settings.listen_address, settings.listen_port)
    server = CallerServer(
        address, RequestTracker(application), ConnectionLimits, connections
    )
    return server


def _configuration_problem(core: _Core, plane: ControlPlane) -> str:
    # A new host may first reach a stale platform. It must not serve with a
    # configuration that its peers have replaced long ago.
    if not plane.configuration.has_queried_peers or core.store.revision == 0:
        return "no configuration has been read yet"
    return ""


def _readiness_problem(core: _Core, plane: ControlPlane) -> str:
    if plane.members.membership.backends.is_empty:
        return "no member list has been read yet"
    if plane.quotas.zone_share == 0.0:
        return "this host waits before it takes its part of the limits"
    return _configuration_problem(core, plane)


def _record_length(core: _Core, lengths: LengthModel, finished: FinishedLength) -> None:
    is_within_rate = _is_within_rate(core, finished.demand.account)
    lengths.record(
        finished._replace(is_within_rate=is_within_rate), core.clock.monotonic_ms()
    )


def _is_within_rate(core: _Core, account: str) -> bool:
    # Requests of an account above its rate must not distort the length estimates
    # for other accounts.
    return not core.refusals.is_over_rate(account, core.clock.monotonic_ms())


def _expected_tokens(lengths: LengthModel, demand: GenerationDemand) -> float:
    if demand.max_tokens == 0:
        return 1.0
    return demand.prompt_tokens + lengths.remaining(demand, 0).mean_tokens


def _list_engines(
    store: ConfigurationStore, directory: BackendDirectory
) -> list[Member]:
    services = store.current.services
    names = {name for name, service in services.items() if service.kind == "model"}
    members = directory.backend_servers()
    return [member for member in members if names.intersection(member.services)]
