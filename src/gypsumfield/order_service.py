"""Sends orders by which the engines this host owns load the configured models."""

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
from gypsumfield.loops import run_forever
from gypsumfield.platform_api import Member

ROUND_INTERVAL_MS = 5_000.0
MIN_LOAD_INTERVAL_MS = 1_000.0
FAILURE_RETRY_DELAY_MS = 5_000.0
# The inventory does not show a model before its load has finished, so an order whose
# effect is missing is repeated only after this time.
ORDER_REPEAT_INTERVAL_MS = 10_000.0
MAX_CONCURRENT_READS = 8
NO_LONGER_OWNER = "this host does not own the backend server any more"
CONFIGURATION_CHANGED = "the configuration has changed"


class OrderDependencies(NamedTuple):
    """Functions that the order service calls.

    Attributes:
        read_configuration: Returns the configuration in force.
        list_engines: Returns the live backend servers of this host's zone.
        is_owner: Returns whether this host owns a backend server and its hold-down
            has ended; false right after a pause.
        read_inventory: Reads the inventory at an address; raises `BackendError`.
        send_order: Sends an order to an address, unless the function in the last
            argument returns a reason not to; raises `BackendError`.
    """

    read_configuration: Callable[[], Configuration]
    list_engines: Callable[[], Iterable[Member]]
    is_owner: Callable[[str], bool]
    read_inventory: Callable[[str], Inventory]
    send_order: Callable[[str, Order, Callable[[], str]], OrderOutcome]


class _AcceptedOrder(NamedTuple):
    """An order that an engine has accepted, with the boot of the engine."""

    boot_id: str
    order: Order
    at_ms: float


class OrderService:
    """Compares configuration and inventories in rounds and sends the missing orders."""

    def __init__(self, deps: OrderDependencies, clock: Clock, emit: EmitEvent) -> None:
        """Create a service; `start` begins the rounds."""
        self._deps = deps
        self._clock = clock
        self._emit = emit
        self._retry_at_ms: dict[str, float] = {}
        self._fencing_numbers: dict[tuple[str, str], int] = {}
        self._accepted_orders: dict[str, _AcceptedOrder] = {}
        self._last_load_ms = float("-inf")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start a greenlet that runs the rounds."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the rounds without waiting for an order that is being sent."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def run_round(self) -> int:
        """Run one round and return the number of accepted orders."""
        configuration = self._deps.read_configuration()
        members = {
            member.host_id: member
            for member in self._deps.list_engines()
            if desired_models(configuration.services, member.services)
        }
        self._remove_unlisted(members.keys())
        owned = {
            name: member
            for name, member in members.items()
            if self._deps.is_owner(name)
        }
        engines = self._observe_engines(owned, configuration)
        unconverged = {
            name: engine
            for name, engine in engines.items()
            if not has_converged(engine)
        }
        # Whether an engine may unload a model depends on the models that the others
        # hold now. Their inventories are read only when an order may be needed.
        related = _engines_sharing_models(members, unconverged, configuration)
        engines |= self._observe_engines(
            {name: related[name] for name in related.keys() - engines.keys()},
            configuration,
        )
        return sum(
            self._order_change(members[name], engines, configuration)
            for name in unconverged
        )

    def _run(self) -> None:
        run_forever("orders", self._run_round, self._clock, self._emit)

    def _run_round(self) -> None:
        gevent.sleep(ROUND_INTERVAL_MS / MS_PER_S)
        self.run_round()

    def _remove_unlisted(self, names: Iterable[str]) -> None:
        listed_names = set(names)
        self._retry_at_ms = {
            name: value
            for name, value in self._retry_at_ms.items()
            if name in listed_names
        }
        self._accepted_orders = {
            name: accepted
            for name, accepted in self._accepted_orders.items()
            if name in listed_names
        }
        self._fencing_numbers = {
            key: value
            for key, value in self._fencing_numbers.items()
            if key[0] in listed_names
        }

    def _observe_engines(
        self, members: dict[str, Member], configuration: Configuration
    ) -> dict[str, ObservedEngine]:
        pool = Pool(MAX_CONCURRENT_READS)
        inventories = pool.map(self._read_inventory, list(members.values()))
        return {
            member.host_id: ObservedEngine(
                member.host_id,
                inventory.boot_id,
                inventory.models,
                inventory.adapters,
                desired_models(configuration.services, member.services),
            )
            for member, inventory in zip(members.values(), inventories, strict=True)
            if inventory is not None
        }

    def _read_inventory(self, member: Member) -> Inventory | None:
        try:
            return self._deps.read_inventory(member.address)
        except BackendError as error:
            self._record_failure(member.host_id, f"inventory: {error}")
            return None

    def _order_change(
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
        if configuration.revision < self._fencing_numbers.get(
            (name, target.boot_id), 0
        ):
            return False
        others = [engine for engine in engines.values() if engine is not target]
        used_models = {
            model.model
            for model in desired_models(configuration.services, configuration.services)
        }
        order = next_order(
            target, others, frozenset(used_models), configuration.revision
        )
        if order is None or self._was_recently_accepted(target, order, now_ms):
            return False
        is_load = order.kind != "unload_model"
        if is_load and now_ms - self._last_load_ms < MIN_LOAD_INTERVAL_MS:
            return False
        return self._send_order(member, target, order, is_load)

    def _was_recently_accepted(
        self, target: ObservedEngine, order: Order, now_ms: float
    ) -> bool:
        accepted = self._accepted_orders.get(target.backend_server)
        if accepted is None or now_ms - accepted.at_ms >= ORDER_REPEAT_INTERVAL_MS:
            return False
        return (accepted.boot_id, accepted.order) == (target.boot_id, order)

    def _send_order(
        self, member: Member, target: ObservedEngine, order: Order, is_load: bool
    ) -> bool:
        name = member.host_id

        def find_abort_reason() -> str:
            if not self._deps.is_owner(name):
                return NO_LONGER_OWNER
            if self._deps.read_configuration().revision != order.fencing_number:
                return CONFIGURATION_CHANGED
            return ""

        abort_reason = find_abort_reason()
        if abort_reason:
            return False
        try:
            outcome = self._deps.send_order(member.address, order, find_abort_reason)
        except BackendError as error:
            self._record_failure(name, f"{order.kind} {order.name}: {error}", error)
            return False
        if is_load:
            self._last_load_ms = self._clock.monotonic_ms()
        if outcome.is_accepted:
            now_ms = self._clock.monotonic_ms()
            self._accepted_orders[name] = _AcceptedOrder(target.boot_id, order, now_ms)
        else:
            fencing_number = outcome.highest_fencing_number
            self._fencing_numbers[(name, target.boot_id)] = fencing_number
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

    def _record_failure(
        self, name: str, reason: str, error: BackendError | None = None
    ) -> None:
        pause_ms = FAILURE_RETRY_DELAY_MS
        if error is not None and error.retry_after_ms is not None:
            pause_ms = max(pause_ms, error.retry_after_ms)
        self._retry_at_ms[name] = self._clock.monotonic_ms() + pause_ms
        self._emit(events.OrderFailed(backend_server=name, reason=reason))


def _engines_sharing_models(
    members: dict[str, Member],
    unconverged: dict[str, ObservedEngine],
    configuration: Configuration,
) -> dict[str, Member]:
    """Return the engines that share a model with an engine that must change."""
    models = {
        model.model for engine in unconverged.values() for model in engine.desired
    }
    models.update(*(engine.models for engine in unconverged.values()))
    return {
        name: member
        for name, member in members.items()
        if any(
            model.model in models
            for model in desired_models(configuration.services, member.services)
        )
    }
