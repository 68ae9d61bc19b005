"""Advice on engines in a large fleet, over the network and under load, simulated."""

import math
import random

import gevent
import pytest

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.placing import ADVISED_LOAD_LIFETIME_MS
from gypsumfield.gateway.scheduling import PlacementQuery
from placing_fleet import Fleet
from virtual_fleet import VirtualFleet

QUERY = PlacementQuery(0, "engine", 3_400, 3_000, 1_800.0)
ANSWER_WAIT_MS = 2.0


def start_fleet(host_count=30):
    fleet = VirtualFleet(host_count)
    fleet.run(4_000.0)
    return fleet


def request_advice(fleet, host):
    """Return the advice that a host receives, and the number of queries it sent."""
    sent = host.sent["messages"]
    greenlet = gevent.spawn(host.link.adviser.request_engine, QUERY)
    gevent.sleep(0)
    query_count = host.sent["messages"] - sent
    fleet.run(ANSWER_WAIT_MS)
    return greenlet.get(timeout=5), query_count


def delegate_and_other(fleet, zone="z2"):
    """Return the first delegate of a zone and another host there."""
    first = fleet.first_delegates(zone)[0]
    first.link.adviser.select_engine = lambda query: f"e-{query.service}"
    other = next(h for h in fleet.hosts if h.zone == zone and h is not first)
    return first, other


def test_the_first_delegate_advises_the_hosts_of_its_zone_and_itself():
    fleet = start_fleet()
    first, other = delegate_and_other(fleet)
    assert request_advice(fleet, other) == ("e-engine", 1)
    assert request_advice(fleet, first) == ("e-engine", 0)


def test_advice_without_a_suitable_engine_is_empty():
    fleet = start_fleet()
    first, other = delegate_and_other(fleet)
    first.link.adviser.select_engine = lambda query: ""
    assert request_advice(fleet, other)[0] == ""


def test_a_host_without_an_answer_continues_alone_and_queries_again_later():
    fleet = start_fleet()
    first, other = delegate_and_other(fleet)
    fleet.partitioned.add(first)
    assert request_advice(fleet, other) == (None, 1)
    assert request_advice(fleet, other) == (None, 0)
    fleet.partitioned.clear()
    fleet.run(600.0)
    assert request_advice(fleet, other) == ("e-engine", 1)


def test_a_small_fleet_sends_no_queries():
    fleet = start_fleet(9)
    assert request_advice(fleet, fleet.hosts[0]) == (None, 0)


def test_advised_load_counts_until_the_hosts_update_can_have_arrived():
    fleet = Fleet(["z1", "z1"])
    first = fleet.placer.advise(QUERY)
    second = fleet.placer.advise(QUERY)
    assert {first, second} == {"e1", "e2"}
    ledger = fleet.ledger
    assert ledger.load("e1", fleet.clock.now_ms).waiting_prompt_tokens == 3_000
    # This host must not report the advised load of another host as its own.
    assert ledger.own_loads() == {}
    fleet.clock.advance(ADVISED_LOAD_LIFETIME_MS + 1.0)
    assert ledger.load("e1", fleet.clock.now_ms) == ServerLoad()


def test_an_engine_that_refused_one_host_is_not_advised_to_the_next():
    fleet = Fleet(["z1", "z1"])
    refused = PlacementQuery(0, "engine", 3_400, 3_000, 1_800.0, full=["e1"])
    assert fleet.placer.advise(refused) == "e2"
    fleet.clock.advance(ADVISED_LOAD_LIFETIME_MS + 1.0)
    assert fleet.placer.advise(QUERY) == "e2"


def test_an_engine_that_this_host_must_not_use_gets_no_placement():
    fleet = Fleet(["z1", "z1"])
    assert fleet.placer.place_at("e1", ANY_VERSION).is_advised
    fleet.catalogue.mark_leaving("e1", "test")
    assert fleet.placer.place_at("e1", ANY_VERSION) is None
    assert fleet.placer.place_at("e9", ANY_VERSION) is None


ENGINES = 8
HOSTS = 24
STREAMS_PER_S = 12.0
TOKENS_PER_MS = 7.5
MEMORY_TOKENS = 26_980
PROMPT_TOKENS = 3_079
SHORT_RUN_PROMPT_TOKENS = 2_550
UPDATE_INTERVAL_MS = 200.0
DURATION_MS = 40_000.0
WARM_UP_MS = 5_000.0


class Zone:
    """A zone of a large fleet: 24 hosts, 8 engines that process one prompt at a time.

    Hosts receive each other's runs in digests that are 0.2 s old and count their own
    runs at once. The adviser receives each host's runs every 0.2 s.
    """

    def __init__(self, is_advised, seed):
        self.rng = random.Random(seed)
        self.is_advised = is_advised
        self.prompt_end_ms = dict.fromkeys(map(str, range(ENGINES)), 0.0)
        self.runs = []
        self.ledger = Ledger()
        self.digest = {}
        self.digest_ms = -math.inf
        self.first_events_ms = []

    def reported(self, host, now_ms):
        """Return the load per engine, of one host's runs or of all."""
        loads = {}
        for owner, engine, prompt_end_ms, end_ms, peak, prompt in self.runs:
            if end_ms > now_ms and host in (owner, None):
                waiting = prompt if prompt_end_ms > now_ms else 0
                load = loads.get(engine, ServerLoad())
                loads[engine] = load.plus(ServerLoad(1, peak, waiting))
        return loads

    def loads(self, host, now_ms):
        if now_ms - self.digest_ms >= UPDATE_INTERVAL_MS:
            self.digest_ms = now_ms
            self.digest = {
                other: self.reported(other, now_ms) for other in range(HOSTS)
            }
            for other, reported in self.digest.items():
                self.ledger.update_peer_loads(str(other), reported, now_ms)
        host_loads = self.reported(host, now_ms)
        for engine in self.prompt_end_ms:
            load = self.ledger.load(engine, now_ms)
            if not self.is_advised:
                load = load.without(self.digest[host].get(engine, ServerLoad()))
                load = load.plus(host_loads.get(engine, ServerLoad()))
            yield EngineLoad(engine, "z", 24, MEMORY_TOKENS, *load)

    def place(self, now_ms):
        host = min(int(self.rng.expovariate(0.12)), HOSTS - 1)
        is_short = self.rng.random() < 0.53
        prompt = SHORT_RUN_PROMPT_TOKENS if is_short else PROMPT_TOKENS
        tokens = 12 if is_short else self.rng.randint(190, 1_300)
        peak = planned_tokens(prompt, 0, tokens, False)
        sample = None if self.is_advised else LARGE_FLEET_SAMPLE
        demand = StreamDemand(peak, "z", prompt, sample_size=sample)
        selected = select_engine(list(self.loads(host, now_ms)), demand, self.rng)
        if selected is None:
            self.first_events_ms.append(math.inf)
            return
        engine = selected.server_id
        prompt_end_ms = max(now_ms, self.prompt_end_ms[engine]) + prompt / TOKENS_PER_MS
        self.prompt_end_ms[engine] = prompt_end_ms
        end_ms = prompt_end_ms + tokens * 8.5
        self.runs.append((host, engine, prompt_end_ms, end_ms, peak, prompt))
        if self.is_advised:
            load = ServerLoad(1, peak, prompt)
            self.ledger.reserve_load(engine, load, now_ms, ADVISED_LOAD_LIFETIME_MS)
        if now_ms > WARM_UP_MS:
            self.first_events_ms.append(prompt_end_ms - now_ms)

    def simulate(self):
        now_ms = 0.0
        while now_ms < DURATION_MS:
            now_ms += self.rng.expovariate(STREAMS_PER_S / 1_000.0)
            self.runs = [run for run in self.runs if run[3] > now_ms]
            self.place(now_ms)
        times = sorted(self.first_events_ms)
        return times[len(times) // 2], times[len(times) * 9 // 10]


@pytest.mark.parametrize("seed", range(3))
def test_callers_of_a_crowded_zone_get_their_first_event_sooner(seed):
    without_advice = Zone(False, seed).simulate()
    advised = Zone(True, seed).simulate()
    assert advised[0] <= without_advice[0]
    assert advised[1] <= 0.8 * without_advice[1]
