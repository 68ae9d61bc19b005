"""Composition root that builds one entry host from its settings."""

import random
import uuid
from collections import defaultdict
from typing import NamedTuple

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import WorkGate
from gypsumfield.adapters.callers import build_application
from gypsumfield.adapters.connections import BackendPool
from gypsumfield.adapters.engines import CONTROL_TIMEOUTS
from gypsumfield.adapters.engines import read_inventory
from gypsumfield.adapters.engines import send_order
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import HostState
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.adapters.pages import HostPages
from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.attempts import AttemptPorts
from gypsumfield.backend_choice import BackendChooser
from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration import Profile
from gypsumfield.control_plane import AdmissionPorts
from gypsumfield.control_plane import build_control_plane
from gypsumfield.control_plane import ControlPlane
from gypsumfield.decisions.admission import make_admission
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.directory import BackendDirectory
from gypsumfield.dispatch import Dispatcher
from gypsumfield.dispatch import DispatchPorts
from gypsumfield.dispatch import Placement
from gypsumfield.engine_api import LoadReport
from gypsumfield.engine_watch import EngineWatch
from gypsumfield.engine_watch import EngineWatchPorts
from gypsumfield.entry_host import EntryHost
from gypsumfield.entry_host import HostIdentity
from gypsumfield.entry_host import PeerNotifications
from gypsumfield.events import Event
from gypsumfield.generations import GenerationPorts
from gypsumfield.intake import Intake
from gypsumfield.intake import IntakePorts
from gypsumfield.jobs import Job
from gypsumfield.limit_views import owner_zone
from gypsumfield.order_service import OrderService
from gypsumfield.order_service import OrderSources
from gypsumfield.plain_calls import PlainPorts
from gypsumfield.platform_api import Member
from gypsumfield.ports import EmitEvent
from gypsumfield.refusal_memory import RefusalMemory
from gypsumfield.relay import RelayPorts
from gypsumfield.serving import Serving
from gypsumfield.serving import ServingPorts
from gypsumfield.settings import EntrySettings
from gypsumfield.status_page import render_status
from gypsumfield.status_page import StatusSources


class _SharedComponents(NamedTuple):
    """Objects that nearly every component of the host uses."""

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    store: ConfigurationStore
    metrics: Metrics
    refusals: RefusalMemory
    emit: EmitEvent


class _RoutingComponents(NamedTuple):
    """Components that select backend servers for requests."""

    plane: ControlPlane
    directory: BackendDirectory
    lengths: LengthModel
    chooser: BackendChooser
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
    shared = _build_shared(settings, clock, log_event)
    routing = _build_routing(shared)
    pool = BackendPool()
    serving = _build_serving(shared, routing, pool)
    server = _build_server(shared, routing, serving)
    identity = HostIdentity(routing.plane.boot_id, routing.plane.transport.address)
    return EntryHost(
        settings,
        identity,
        server,
        [
            routing.plane,
            _build_engine_watch(shared, routing),
            _build_orders(shared, routing),
        ],
        PeerNotifications(routing.plane.retirement.retire, routing.plane.members.leave),
        pool,
        clock,
        shared.emit,
    )


def _build_shared(
    settings: EntrySettings, clock: Clock, log_event: EmitEvent
) -> _SharedComponents:
    store = ConfigurationStore()
    metrics = Metrics(lambda service: _profile_name(store, service))
    refusals = RefusalMemory()

    def record_refusal(event: Event) -> None:
        refusals.observe(event, clock.monotonic_ms())

    emit = emit_to_all(log_event, metrics.observe_event, record_refusal)
    rng = random.Random(settings.seed)
    return _SharedComponents(settings, clock, rng, store, metrics, refusals, emit)


def _build_routing(shared: _SharedComponents) -> _RoutingComponents:
    lengths = LengthModel()
    admission = AdmissionPorts(
        can_admit=make_admission(
            lengths, lambda name: _profile_or_default(shared.store, name)
        ),
        read_target_ms=lambda name: (
            _profile_or_default(shared.store, name).between_tokens_target_ms
        ),
        learn_length=lambda finished: _record_length(shared, lengths, finished),
    )
    plane = build_control_plane(
        shared.settings,
        shared.store,
        PlatformClient(shared.settings.platform_url),
        admission,
        shared.clock,
        shared.emit,
        shared.rng,
    )
    directory = BackendDirectory(
        lambda: shared.store.current, plane.members.membership.backends
    )
    chooser = BackendChooser(
        shared.settings.availability_zone,
        directory,
        lengths,
        shared.clock,
        shared.rng,
        shared.emit,
    )
    dispatcher = Dispatcher(
        DispatchPorts(
            clock=shared.clock,
            configuration=lambda: shared.store.current,
            chooser=chooser,
            slots=plane.slots.port(),
            expected_tokens=lambda demand: _expected_tokens(lengths, demand),
            record_queue_wait=shared.metrics.record_queue_wait,
            emit=shared.emit,
        )
    )
    return _RoutingComponents(plane, directory, lengths, chooser, dispatcher)


def _build_engine_watch(
    shared: _SharedComponents, routing: _RoutingComponents
) -> EngineWatch:
    chooser = routing.chooser
    slots = routing.plane.slots
    backends = routing.plane.members.membership.backends

    def observe_load(host_id: str, report: LoadReport, requested_ms: float) -> None:
        chooser.observe_load(host_id, report, requested_ms)
        slots.observe_load(host_id, report, requested_ms)
        backends.report(host_id, report.boot_id, "live")

    ports = EngineWatchPorts(
        list_engines=lambda: _list_engine_members(shared.store, routing.directory),
        is_owned=slots.is_owner,
        is_in_use=lambda host_id: chooser.in_flight_count(host_id) > 0,
        observe_load=observe_load,
        observe_no_answer=slots.observe_no_answer,
        observe_cache=chooser.observe_cache,
        cache_sequence=chooser.cache_sequence,
        emit=shared.emit,
    )
    return EngineWatch(
        shared.settings.availability_zone, ports, shared.clock, shared.rng
    )


def _build_orders(
    shared: _SharedComponents, routing: _RoutingComponents
) -> OrderService:
    backends = routing.plane.members.membership.backends
    zone = shared.settings.availability_zone

    def list_engines() -> list[Member]:
        engines = _list_engine_members(shared.store, routing.directory)
        return [
            engine
            for engine in engines
            if owner_zone(shared.store.current, engine.availability_zone) == zone
            and not backends.is_leaving(engine)
        ]

    sources = OrderSources(
        read_configuration=lambda: shared.store.current,
        list_engines=list_engines,
        is_owner=routing.plane.slots.may_act_for,
        read_inventory=read_inventory,
        send_order=lambda address, order, check: send_order(
            address, order, uuid.uuid4().hex, CONTROL_TIMEOUTS, check
        ),
    )
    return OrderService(sources, shared.clock, shared.emit)


def _build_serving(
    shared: _SharedComponents, routing: _RoutingComponents, pool: BackendPool
) -> Serving:
    attempts = _build_attempt_ports(shared, routing)
    relay = RelayPorts(
        clock=shared.clock,
        configuration=lambda: shared.store.current,
        connect_timeout_ms=shared.settings.connect_timeout_ms,
        record_between_tokens=shared.metrics.record_between_tokens,
        emit=shared.emit,
    )
    generations = GenerationPorts(
        attempts=attempts,
        relay=relay,
        find_backend=routing.directory.find,
        record_length=lambda finished: _record_length(
            shared, routing.lengths, finished
        ),
        record_progress=lambda progress: routing.lengths.record_progress(
            progress._replace(
                is_within_rate=_is_within_rate(shared, progress.demand.account)
            )
        ),
    )
    intake = Intake(
        IntakePorts(
            configuration=lambda: shared.store.current,
            clock=shared.clock,
            find_host_hindrance=lambda: _missing_configuration_reason(
                shared, routing.plane
            ),
            platform_age_ms=routing.plane.configuration.platform_age_ms,
        )
    )
    ports = ServingPorts(
        intake=intake,
        generations=generations,
        plain=PlainPorts(attempts, relay, pool),
        quotas=routing.plane.quotas.port(),
        emit=shared.emit,
    )
    return Serving(ports)


def _build_attempt_ports(
    shared: _SharedComponents, routing: _RoutingComponents
) -> AttemptPorts:
    budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def find_hindrance(job: Job, placement: Placement) -> str:
        now_ms = shared.clock.monotonic_ms()
        if now_ms > job.deadline_ms:
            return "the deadline has passed"
        if now_ms >= placement.lease.send_before_ms:
            return "the lease has expired"
        return routing.directory.find_hindrance(job.service_name, placement.backend)

    def note_leaving(backend: Member) -> None:
        backends = routing.plane.members.membership.backends
        boot_id = backends.boot_id_of(backend.host_id)
        backends.report(backend.host_id, boot_id, "leaving")

    return AttemptPorts(
        clock=shared.clock,
        configuration=lambda: shared.store.current,
        dispatcher=routing.dispatcher,
        find_hindrance=find_hindrance,
        budgets=budgets.__getitem__,
        note_leaving=note_leaving,
        emit=shared.emit,
    )


def _build_server(
    shared: _SharedComponents, routing: _RoutingComponents, serving: Serving
) -> CallerServer:
    sources = StatusSources(
        shared.settings,
        shared.store,
        routing.directory,
        routing.plane,
        lambda: shared.refusals.last_refusals(shared.clock.monotonic_ms()),
    )

    plane = routing.plane

    def read_state() -> HostState:
        shares = plane.quotas.shares().values()
        backends = routing.directory.backend_servers()
        return HostState(
            configuration_revision=shared.store.revision,
            configuration_age_ms=routing.plane.configuration.platform_age_ms() or 0.0,
            rejected_value_count=len(shared.store.current.rejected),
            member_count=len(routing.plane.members.membership.live_hosts()),
            in_flight_count=server.gate.in_flight_count,
            queue_length=routing.dispatcher.queue_length,
            owned_backend_count=sum(
                plane.slots.may_act_for(backend.host_id) for backend in backends
            ),
            shares_held_count=sum(share > 0.0 for share in shares),
            shares_held_tokens=plane.quotas.held_tokens,
            slots_held_count=plane.slots.held_count,
            slots_granted_count=plane.slots.granted_count,
        )

    shared.metrics.read_state = read_state
    pages = HostPages(
        health=lambda: not server.gate.is_draining,
        readiness=lambda: _not_ready_reason(shared, routing.plane),
        metrics=shared.metrics.render,
        status=lambda: render_status(sources),
    )
    application = build_application(serving, pages, shared.settings.body_limit_bytes)
    address = (shared.settings.listen_address, shared.settings.listen_port)
    server = CallerServer(address, WorkGate(application))
    return server


def _missing_configuration_reason(
    shared: _SharedComponents, plane: ControlPlane
) -> str:
    # A new host may first reach a stale platform. It must not serve with a
    # configuration that its peers have replaced long ago.
    if not plane.configuration.has_asked_peers or shared.store.revision == 0:
        return "no configuration has been received yet"
    return ""


def _not_ready_reason(shared: _SharedComponents, plane: ControlPlane) -> str:
    if plane.members.membership.backends.is_empty:
        return "no member list has been received yet"
    if plane.quotas.zone_share == 0.0:
        return "the hold-down after the start is not over"
    return _missing_configuration_reason(shared, plane)


def _record_length(
    shared: _SharedComponents, lengths: LengthModel, finished: FinishedLength
) -> None:
    is_within_rate = _is_within_rate(shared, finished.demand.account)
    lengths.record(
        finished._replace(is_within_rate=is_within_rate), shared.clock.monotonic_ms()
    )


def _is_within_rate(shared: _SharedComponents, account: str) -> bool:
    # Requests of an account above its rate must not distort the length estimates
    # for other accounts.
    return not shared.refusals.is_over_rate(account, shared.clock.monotonic_ms())


def _expected_tokens(lengths: LengthModel, demand: GenerationDemand) -> float:
    if demand.max_tokens == 0:
        return 1.0
    return demand.prompt_tokens + lengths.remaining(demand, 0).mean_tokens


def _list_engine_members(
    store: ConfigurationStore, directory: BackendDirectory
) -> list[Member]:
    services = store.current.services
    names = {name for name, service in services.items() if service.kind == "model"}
    members = directory.backend_servers()
    return [member for member in members if names.intersection(member.services)]


def _profile_name(store: ConfigurationStore, service: str) -> str:
    definition = store.current.services.get(service)
    return definition.profile if definition else ""


def _profile_or_default(store: ConfigurationStore, name: str) -> Profile:
    # A profile may be withdrawn while requests that started with it still run.
    return store.current.profiles.get(name, Profile())
