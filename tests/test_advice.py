"""Advice on engines in a large fleet, over its link and under load, in virtual time."""

import math
import random

import gevent
import pytest

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.news import PlaceQuestion
from gypsumfield.gateway.placing import PROMISE_MS
from placing_fleet import Fleet
from virtual_fleet import VirtualFleet

QUESTION = PlaceQuestion(0, "engine", 3_400, 3_000, 1_800.0)
WAY_MS = 2.0


def started(host_count=30):
    fleet = VirtualFleet(host_count)
    fleet.run(4_000.0)
    return fleet


def ask(fleet, host):
    """Return what a host is told, and the questions that left it."""
    sent = host.sent["messages"]
    greenlet = gevent.spawn(host.link.adviser.request_engine, QUESTION)
    gevent.sleep(0)
    asked = host.sent["messages"] - sent
    fleet.run(WAY_MS)
    return greenlet.get(timeout=5), asked


def pair(fleet, zone="z2"):
    """Return the first delegate of a zone and another host there."""
    first = fleet.firsts(zone)[0]
    first.link.adviser.select_engine = lambda question: f"e-{question.service}"
    other = next(h for h in fleet.hosts if h.zone == zone and h is not first)
    return first, other


def test_the_first_delegate_advises_the_hosts_of_its_zone_and_itself():
    fleet = started()
    first, other = pair(fleet)
    assert ask(fleet, other) == ("e-engine", 1)
    assert ask(fleet, first) == ("e-engine", 0)


def test_no_engine_with_room_is_an_answer():
    fleet = started()
    first, other = pair(fleet)
    first.link.adviser.select_engine = lambda question: ""
    assert ask(fleet, other)[0] == ""


def test_a_host_that_is_not_answered_goes_on_alone_and_asks_later_again():
    fleet = started()
    first, other = pair(fleet)
    fleet.parted.add(first)
    assert ask(fleet, other) == (None, 1)
    assert ask(fleet, other) == (None, 0)
    fleet.parted.clear()
    fleet.run(600.0)
    assert ask(fleet, other) == ("e-engine", 1)


def test_a_small_fleet_asks_nobody():
    fleet = started(9)
    assert ask(fleet, fleet.hosts[0]) == (None, 0)


def test_what_was_handed_out_counts_until_the_hosts_news_can_have_come():
    fleet = Fleet(["z1", "z1"])
    first = fleet.placer.advise(QUESTION)
    second = fleet.placer.advise(QUESTION)
    assert {first, second} == {"e1", "e2"}
    ledger = fleet.ledger
    assert ledger.load("e1", fleet.clock.now_ms).waiting_prompt_tokens == 3_000
    # The host's own news must not be told on as this host's.
    assert ledger.own_loads() == {}
    fleet.clock.advance(PROMISE_MS + 1.0)
    assert ledger.load("e1", fleet.clock.now_ms) == ServerLoad()


def test_an_engine_that_refused_one_host_is_not_named_to_the_next():
    fleet = Fleet(["z1", "z1"])
    refused = PlaceQuestion(0, "engine", 3_400, 3_000, 1_800.0, full=["e1"])
    assert fleet.placer.advise(refused) == "e2"
    fleet.clock.advance(PROMISE_MS + 1.0)
    assert fleet.placer.advise(QUESTION) == "e2"


def test_an_engine_that_this_host_must_not_use_is_no_place():
    fleet = Fleet(["z1", "z1"])
    assert fleet.placer.place_at("e1").is_advised
    fleet.catalogue.mark_leaving("e1", "test")
    assert fleet.placer.place_at("e1") is None
    assert fleet.placer.place_at("e9") is None


ENGINES = 8
HOSTS = 24
STREAMS_PER_S = 12.0
TOKENS_PER_MS = 7.5
MEMORY_TOKENS = 26_980
PROMPT_TOKENS = 3_079
TAG_TOKENS = 2_550
NEWS_MS = 200.0
LENGTH_MS = 40_000.0
WARM_UP_MS = 5_000.0


class Zone:
    """One zone of a grown fleet: 24 hosts, 8 engines that read one prompt at a time.

    Hosts know of each other's runs by digests 0.2 s old, and of their own at once. The
    adviser hears of each host's runs in rounds of 0.2 s.
    """

    def __init__(self, is_advised, seed):
        self.rng = random.Random(seed)
        self.is_advised = is_advised
        self.read_ms = dict.fromkeys(map(str, range(ENGINES)), 0.0)
        self.runs = []
        self.ledger = Ledger()
        self.known = {}
        self.known_ms = -math.inf
        self.first_events_ms = []

    def told(self, host, now_ms):
        """Return the load by engine, of one host's runs or of all."""
        loads = {}
        for owner, engine, read_ms, end_ms, peak, prompt in self.runs:
            if end_ms > now_ms and host in (owner, None):
                waiting = prompt if read_ms > now_ms else 0
                known = loads.get(engine, ServerLoad())
                loads[engine] = known.plus(ServerLoad(1, peak, waiting))
        return loads

    def loads(self, host, now_ms):
        if now_ms - self.known_ms >= NEWS_MS:
            self.known_ms = now_ms
            self.known = {each: self.told(each, now_ms) for each in range(HOSTS)}
            for each, told in self.known.items():
                self.ledger.update_peer_loads(str(each), told, now_ms)
        own = self.told(host, now_ms)
        for engine in self.read_ms:
            load = self.ledger.load(engine, now_ms)
            if not self.is_advised:
                load = load.without(self.known[host].get(engine, ServerLoad()))
                load = load.plus(own.get(engine, ServerLoad()))
            yield EngineLoad(engine, "z", 24, MEMORY_TOKENS, *load)

    def place(self, now_ms):
        host = min(int(self.rng.expovariate(0.12)), HOSTS - 1)
        is_tag = self.rng.random() < 0.53
        prompt = TAG_TOKENS if is_tag else PROMPT_TOKENS
        tokens = 12 if is_tag else self.rng.randint(190, 1_300)
        peak = planned_tokens(prompt, 0, tokens, False)
        sample = None if self.is_advised else LARGE_FLEET_SAMPLE
        need = StreamDemand(peak, "z", prompt, sample_size=sample)
        chosen = select_engine(list(self.loads(host, now_ms)), need, self.rng)
        if chosen is None:
            self.first_events_ms.append(math.inf)
            return
        engine = chosen.server_id
        read_ms = max(now_ms, self.read_ms[engine]) + prompt / TOKENS_PER_MS
        self.read_ms[engine] = read_ms
        end_ms = read_ms + tokens * 8.5
        self.runs.append((host, engine, read_ms, end_ms, peak, prompt))
        if self.is_advised:
            load = ServerLoad(1, peak, prompt)
            self.ledger.reserve_load(engine, load, now_ms, PROMISE_MS)
        if now_ms > WARM_UP_MS:
            self.first_events_ms.append(read_ms - now_ms)

    def play(self):
        now_ms = 0.0
        while now_ms < LENGTH_MS:
            now_ms += self.rng.expovariate(STREAMS_PER_S / 1_000.0)
            self.runs = [run for run in self.runs if run[3] > now_ms]
            self.place(now_ms)
        times = sorted(self.first_events_ms)
        return times[len(times) // 2], times[len(times) * 9 // 10]


@pytest.mark.parametrize("seed", range(3))
def test_callers_of_a_crowded_zone_get_their_first_event_sooner(seed):
    alone = Zone(False, seed).play()
    advised = Zone(True, seed).play()
    assert advised[0] <= alone[0]
    assert advised[1] <= 0.8 * alone[1]
