"""Gives the engines that this host owns the orders that follow from configuration."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

import gevent
from gevent.pool import Pool

from gypsumfield import events
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import Configuration
from gypsumfield.decisions.orders import desired_models
from gypsumfield.decisions.orders import has_converged
from gypsumfield.decisions.orders import next_order
from gypsumfield.decisions.orders import ObservedEngine
from gypsumfield.engine_api import Inventory
from gypsumfield.engine_api import Order
from gypsumfield.engine_api import OrderOutcome
from gypsumfield.exceptions import BackendError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform_api import Member

ROUND_INTERVAL_MS = 5_000.0
LOAD_INTERVAL_MS = 1_000.0
FAILURE_PAUSE_MS = 5_000.0
# A load takes its time, during which the inventory does not show it yet.
REPEAT_AFTER_MS = 10_000.0
READERS = 8
NO_LONGER_OWNER = "this host does not own the backend server any more"
CONFIGURATION_CHANGED = "the configuration has changed"


class OrderDependencies(NamedTuple):
    """What the service needs from outside.

    Attributes:
        read_configuration: Configuration in force.
        list_engines: Live backend servers of this host's zone.
        is_owner: Whether this host owns a backend server past the hold-down;
            false right after a pause.
        read_inventory: Reads the inventory at an address; raises `BackendError`.
        send_order: Sends an order to an address unless the last argument names
            a reason not to; raises `BackendError`.
    """

    read_configuration: Callable[[], Configuration]
    list_engines: Callable[[], Iterable[Member]]
    is_owner: Callable[[str], bool]
    read_inventory: Callable[[str], Inventory]
    send_order: Callable[[str, Order, Callable[[], str]], OrderOutcome]


class _Given(NamedTuple):
    boot_id: str
    order: Order
    at_ms: float


class OrderService:
    """Compares configuration and inventories in rounds and orders what differs."""

    def __init__(
        self, sources: OrderDependencies, clock: Clock, emit: EmitEvent
    ) -> None:
        """Make a service; `start` begins the rounds."""
        self._sources = sources
        self._clock = clock
        self._emit = emit
        self._retry_at_ms: dict[str, float] = {}
        self._fenced_at: dict[tuple[str, str], int] = {}
        self._given: dict[str, _Given] = {}
        self._last_load_ms = float("-inf")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin the rounds."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the rounds; an order on its way is not awaited."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def run_round(self) -> int:
        """Compare once and return the number of orders that were given."""
        configuration = self._sources.read_configuration()
        members = {
            member.host_id: member
            for member in self._sources.list_engines()
            if desired_models(configuration.services, member.services)
        }
        self._forget(members.keys())
        owned = {
            name: member
            for name, member in members.items()
            if self._sources.is_owner(name)
        }
        engines = self._observe(owned, configuration)
        unsettled = {
            name: engine
            for name, engine in engines.items()
            if not has_converged(engine)
        }
        # Whether an engine may drop a copy depends on what the others hold now;
        # they are read only when something is to be done.
        concerned = _concerned(members, unsettled, configuration)
        engines |= self._observe(
            {name: concerned[name] for name in concerned.keys() - engines.keys()},
            configuration,
        )
        return sum(
            self._order(members[name], engines, configuration) for name in unsettled
        )

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_INTERVAL_MS / MS_PER_S)
            self.run_round()

    def _forget(self, names: Iterable[str]) -> None:
        known = set(names)
        self._retry_at_ms = {
            name: at for name, at in self._retry_at_ms.items() if name in known
        }
        self._given = {
            name: given for name, given in self._given.items() if name in known
        }
        self._fenced_at = {
            key: at for key, at in self._fenced_at.items() if key[0] in known
        }

    def _observe(
        self, members: dict[str, Member], configuration: Configuration
    ) -> dict[str, ObservedEngine]:
        pool = Pool(READERS)
        found = pool.map(self._read, list(members.values()))
        return {
            member.host_id: ObservedEngine(
                member.host_id,
                inventory.boot_id,
                inventory.models,
                inventory.adapters,
                desired_models(configuration.services, member.services),
            )
            for member, inventory in zip(members.values(), found, strict=True)
            if inventory is not None
        }

    def _read(self, member: Member) -> Inventory | None:
        try:
            return self._sources.read_inventory(member.address)
        except BackendError as error:
            self._fail(member.host_id, f"inventory: {error}")
            return None

    def _order(
        self,
        member: Member,
        engines: dict[str, ObservedEngine],
        configuration: Configuration,
    ) -> bool:
        name = member.host_id
        now_ms = self._clock.monotonic_ms()
        target = engines[name]
        if now_ms < self._retry_at_ms.get(name, 0.0):
            return False
        if configuration.revision < self._fenced_at.get((name, target.boot_id), 0):
            return False
        others = [engine for engine in engines.values() if engine is not target]
        used = {
            model.model
            for model in desired_models(configuration.services, configuration.services)
        }
        order = next_order(target, others, frozenset(used), configuration.revision)
        if order is None or self._is_repeated(target, order, now_ms):
            return False
        is_load = order.kind != "unload_model"
        if is_load and now_ms - self._last_load_ms < LOAD_INTERVAL_MS:
            return False
        return self._send(member, target, order, is_load)

    def _is_repeated(self, target: ObservedEngine, order: Order, now_ms: float) -> bool:
        given = self._given.get(target.backend_server)
        if given is None or now_ms - given.at_ms >= REPEAT_AFTER_MS:
            return False
        return (given.boot_id, given.order) == (target.boot_id, order)

    def _send(
        self, member: Member, target: ObservedEngine, order: Order, is_load: bool
    ) -> bool:
        name = member.host_id

        def find_objection() -> str:
            if not self._sources.is_owner(name):
                return NO_LONGER_OWNER
            if self._sources.read_configuration().revision != order.fencing_number:
                return CONFIGURATION_CHANGED
            return ""

        objection = find_objection()
        if objection:
            return False
        try:
            outcome = self._sources.send_order(member.address, order, find_objection)
        except BackendError as error:
            self._fail(name, f"{order.kind} {order.name}: {error}", error)
            return False
        if is_load:
            self._last_load_ms = self._clock.monotonic_ms()
        if outcome.is_accepted:
            now_ms = self._clock.monotonic_ms()
            self._given[name] = _Given(target.boot_id, order, now_ms)
        else:
            number = outcome.highest_fencing_number
            self._fenced_at[(name, target.boot_id)] = number
        self._emit(
            events.OrderGiven(
                backend_server=name,
                kind=order.kind,
                name=order.name,
                version=order.version,
                fencing_number=order.fencing_number,
                is_accepted=outcome.is_accepted,
            )
        )
        return outcome.is_accepted

    def _fail(self, name: str, reason: str, error: BackendError | None = None) -> None:
        pause_ms = FAILURE_PAUSE_MS
        if error is not None and error.retry_after_ms is not None:
            pause_ms = max(pause_ms, error.retry_after_ms)
        self._retry_at_ms[name] = self._clock.monotonic_ms() + pause_ms
        self._emit(events.OrderFailed(backend_server=name, reason=reason))


def _concerned(
    members: dict[str, Member],
    unsettled: dict[str, ObservedEngine],
    configuration: Configuration,
) -> dict[str, Member]:
    """Return the engines that share a model with one that is to be changed."""
    models = {model.model for engine in unsettled.values() for model in engine.desired}
    models.update(*(engine.models for engine in unsettled.values()))
    return {
        name: member
        for name, member in members.items()
        if any(
            model.model in models
            for model in desired_models(configuration.services, member.services)
        )
    }
