import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.engines import fetch_json
from gypsumfield.adapters.engines import send_order
from gypsumfield.clock import ManualClock
from gypsumfield.configuration import EMPTY_CONFIGURATION
from gypsumfield.configuration import Service
from gypsumfield.decisions.orders import desired_models
from gypsumfield.decisions.orders import next_order
from gypsumfield.decisions.orders import ObservedEngine
from gypsumfield.decisions.ownership import owner_of
from gypsumfield.engine_api import Inventory
from gypsumfield.engine_api import Order
from gypsumfield.engine_api import OrderOutcome
from gypsumfield.exceptions import BackendError
from gypsumfield.order_service import OrderDependencies
from gypsumfield.order_service import OrderService
from gypsumfield.platform_api import Member
from gypsumfield.standins.engine import EngineStandin
from gypsumfield.verdicts import RunVerdict

OWNERS = ("h0", "h1", "h2")
ENGINES = tuple(f"e{i}" for i in range(6))
LOAD_MS = 4_000.0
ROUND_MS = 2_000.0
HOLD_DOWN_MS = 10_000.0


class FakeEngine:
    """Engine that drops the old version of a model while it loads a new one."""

    def __init__(self, fleet, name, is_fenced):
        self.fleet = fleet
        self.name = name
        self.is_fenced = is_fenced
        self.boot = 0
        self.restart()

    def restart(self):
        self.boot += 1
        self.models = {}
        self.loading = {}
        self.highest_fencing_number = 0

    def settle(self):
        for name, (version, ready_ms) in list(self.loading.items()):
            if ready_ms <= self.fleet.clock.now_ms:
                self.models[name] = version
                del self.loading[name]

    def inventory(self):
        self.settle()
        return Inventory(f"{self.name}-{self.boot}", "", dict(self.models))

    def execute(self, order):
        self.settle()
        if self.is_fenced and order.fencing_number < self.highest_fencing_number:
            return OrderOutcome(False, self.highest_fencing_number)
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        held = self.models.pop(order.name, None)
        if held is not None:
            self.fleet.check_remaining_copies(self, order)
        if order.kind == "load_model":
            ready_ms = self.fleet.clock.now_ms + LOAD_MS
            self.loading[order.name] = (order.version, ready_ms)
        return OrderOutcome(True, self.highest_fencing_number)


class FakeOwner:
    """Entry host with its own, possibly outdated, view of the configuration."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.view = fleet.configuration
        self.owns_from_ms = 0.0
        self.is_paused = False
        self.pauses_at_send = False
        self.delayed_orders = []
        self.service = OrderService(
            OrderDependencies(
                read_configuration=lambda: self.view,
                list_engines=lambda: fleet.members.values(),
                is_owner=self.is_owner,
                read_inventory=lambda address: fleet.engines[address].inventory(),
                send_order=self.send,
            ),
            fleet.clock.as_clock(),
            lambda event: None,
        )

    def is_owner(self, engine):
        if self.is_paused or self.fleet.clock.now_ms < self.owns_from_ms:
            return False
        return owner_of(engine, self.fleet.running()) == self.name

    def send(self, address, order, find_objection):
        if self.pauses_at_send:
            # The host is paused between the decision and the first byte.
            self.pauses_at_send = False
            self.delayed_orders.append((address, order, find_objection))
            self.fleet.pause(self)
            raise BackendError("paused", RunVerdict.NOT_RUN)
        return self.deliver(address, order, find_objection)

    def deliver(self, address, order, find_objection):
        objection = find_objection()
        if objection:
            raise BackendError(objection, RunVerdict.NOT_RUN)
        return self.fleet.engines[address].execute(order)

    def wake(self):
        self.is_paused = False
        self.owns_from_ms = self.fleet.clock.now_ms + HOLD_DOWN_MS
        delayed_orders, self.delayed_orders = self.delayed_orders, []
        for address, order, find_objection in delayed_orders:
            try:
                self.deliver(address, order, find_objection)
            except BackendError:
                continue
            raise AssertionError(f"{self.name} resumed and sent {order} to {address}")


class OrderMachine(RuleBasedStateMachine):
    """Orders never unload the last copy, and lead to the configured models."""

    @initialize(fenced=st.sets(st.sampled_from(ENGINES)))
    def start(self, fenced):
        self.clock = ManualClock()
        self.revision = 1
        self.versions = {"a": "1", "b": "1"}
        self.publish_services()
        self.engines = {
            name: FakeEngine(self, name, name in fenced) for name in ENGINES
        }
        self.members = {}
        for number, name in enumerate(ENGINES):
            self.serve(name, "a" if number < 3 else "b")
        self.owners = [FakeOwner(self, name) for name in OWNERS]
        self.advance(12)
        assert self.copies("a") and self.copies("b")

    def publish_services(self):
        services = {
            name: Service("model", "p", model_version=version)
            for name, version in self.versions.items()
        }
        self.configuration = EMPTY_CONFIGURATION._replace(
            revision=self.revision, services=services
        )

    def serve(self, name, service):
        self.members[name] = Member(name, "backend", "manta", name, services=(service,))

    def running(self):
        return [owner.name for owner in self.owners if not owner.is_paused]

    def copies(self, model):
        for engine in self.engines.values():
            engine.settle()
        return [name for name, e in self.engines.items() if model in e.models]

    def check_remaining_copies(self, engine, order):
        other_engines = [
            name
            for name, member in self.members.items()
            if order.name in member.services and name != engine.name
        ]
        is_only_engine = order.kind == "load_model" and not other_engines
        assert is_only_engine or self.copies(order.name), (engine.name, order)

    def pause(self, owner):
        owner.is_paused = True
        for other in self.owners:
            # The new owners wait for the hold-down.
            other.owns_from_ms = self.clock.now_ms + HOLD_DOWN_MS

    def advance(self, rounds):
        for _ in range(rounds):
            self.clock.advance(ROUND_MS)
            for owner in self.owners:
                if not owner.is_paused:
                    owner.service.run_round()

    @rule(rounds=st.integers(1, 8))
    def wait(self, rounds):
        self.advance(rounds)

    @rule(service=st.sampled_from(["a", "b"]), learners=st.sets(st.integers(0, 2)))
    def publish(self, service, learners):
        self.revision += 1
        self.versions[service] = str(self.revision)
        self.publish_services()
        for number in learners:
            self.owners[number].view = self.configuration

    @rule(number=st.integers(0, 2))
    def learn(self, number):
        self.owners[number].view = self.configuration

    @rule(number=st.integers(0, 2))
    def freeze_at_next_order(self, number):
        self.owners[number].pauses_at_send = True

    @rule(number=st.integers(0, 2))
    def wake(self, number):
        if self.owners[number].is_paused:
            self.owners[number].wake()

    @precondition(lambda self: all(self.copies(model) for model in self.versions))
    @rule(name=st.sampled_from(ENGINES))
    def restart(self, name):
        if all(set(self.copies(model)) != {name} for model in self.versions):
            self.engines[name].restart()

    @rule(name=st.sampled_from(ENGINES), service=st.sampled_from(["a", "b"]))
    def move(self, name, service):
        others = [
            member.services[0]
            for other, member in self.members.items()
            if other != name
        ]
        if len(set(others)) == 2:
            self.serve(name, service)

    def teardown(self):
        if not hasattr(self, "owners"):
            return
        for owner in self.owners:
            owner.pauses_at_send = False
            if owner.is_paused:
                owner.wake()
            owner.view = self.configuration
        self.advance(60)
        for name, engine in self.engines.items():
            service = self.members[name].services[0]
            assert engine.inventory().models == {service: self.versions[service]}


OrderMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestOrderMachine = OrderMachine.TestCase


def engine(name, models, service="a", version="1"):
    services = {service: Service("model", "p", model_version=version)}
    desired = desired_models(services, [service])
    return ObservedEngine(name, "boot", models, (), desired)


@pytest.mark.parametrize(
    ("target", "others", "expected"),
    [
        (engine("e0", {"a": "1"}), [], None),
        (engine("e0", {}), [], ("load_model", "a", "1")),
        (engine("e0", {"a": "0"}), [], ("load_model", "a", "1")),
        (engine("e0", {"a": "0"}), [engine("e1", {})], None),
        (engine("e0", {"a": "1", "old": "1"}), [], ("unload_model", "old", "")),
        (engine("e0", {"a": "1", "b": "1"}), [], None),
        (
            engine("e0", {"a": "1", "b": "1"}),
            [engine("e1", {"b": "1"}, "b")],
            ("unload_model", "b", ""),
        ),
        (engine("e0", {"a": "1", "b": "1"}), [engine("e1", {}, "b")], None),
        (ObservedEngine("e0", "boot", {"b": "1"}, (), ()), [], None),
    ],
)
def test_next_order(target, others, expected):
    order = next_order(target, others, frozenset({"a", "b"}), 7)
    if expected is None:
        assert order is None
    else:
        assert (order.kind, order.name, order.version) == expected
        assert order.fencing_number == 7


def test_adapters_follow_the_model():
    services = {"a": Service("model", "p", model_version="1", adapters=("x", "y"))}
    desired = desired_models(services, ["a", "unknown"])
    target = ObservedEngine("e0", "boot", {"a": "1"}, ("x",), desired)
    order = next_order(target, [], frozenset({"a"}), 7)
    assert order == Order("load_adapter", "y", "", 7)


def test_few_engines_load_at_once():
    engines = [engine(f"e{i}", {}) for i in range(12)]
    ordered = [
        target
        for target in engines
        if next_order(target, [e for e in engines if e is not target], frozenset(), 1)
    ]
    assert len(ordered) == 3


@pytest.fixture
def engine_standin():
    standin = EngineStandin()
    standin.start()
    yield standin
    standin.stop()


def test_order_reaches_a_real_engine_and_an_old_one_is_refused(engine_standin):
    address = engine_standin.url.removeprefix("http://")
    timeouts = ExchangeTimeouts(5_000.0, 5_000.0, 5_000.0)
    order = Order("load_model", "tags", "2", 9)
    outcome = send_order(address, order, "r1", timeouts, lambda: "")
    assert outcome == OrderOutcome(True, 9)
    old = Order("load_model", "tags", "1", 8)
    assert send_order(address, old, "r2", timeouts, lambda: "") == OrderOutcome(
        False, 9
    )
    with pytest.raises(BackendError, match="no longer"):
        send_order(address, order, "r3", timeouts, lambda: "no longer")
    inventory = fetch_json(address, "/v1/inventory", Inventory, "r4", timeouts)
    assert inventory.models["tags"] == "2"
