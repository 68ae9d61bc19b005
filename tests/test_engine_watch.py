import random

from gypsumfield.clock import ManualClock
from gypsumfield.engine_watch import EngineWatch
from gypsumfield.engine_watch import EngineWatchDependencies
from gypsumfield.engine_watch import POLLED_STRANGERS_LIMIT
from gypsumfield.interfaces import discard_event
from gypsumfield.platform_api import Member
from gypsumfield.standins.engine import EngineStandin
from httpcalls import call

ENGINE_COUNT = 100
OWNED = {"engine-90", "engine-95"}
IN_USE = {"engine-40", "engine-41"}


def watch_of(engines, silent, loads):
    ports = EngineWatchDependencies(
        list_engines=lambda: engines,
        is_owned=OWNED.__contains__,
        is_in_use=IN_USE.__contains__,
        observe_load=lambda host_id, report, _asked_ms: loads.append(host_id),
        observe_no_answer=silent.append,
        observe_cache=lambda _host_id, _events: None,
        cache_sequence=lambda _host_id: 0,
        emit=discard_event,
    )
    return EngineWatch("manta", ports, ManualClock().as_clock(), random.Random(3))


def test_polls_are_bounded_and_owned_and_used_engines_come_first():
    engines = [
        Member(f"engine-{i}", "backend", ("manta", "salinas")[i % 2], "127.0.0.1:9")
        for i in range(ENGINE_COUNT)
    ]
    silent: list[str] = []
    watch_of(engines, silent, []).poll_once()
    assert len(silent) == len(set(silent)) == len(OWNED) + POLLED_STRANGERS_LIMIT
    assert set(silent) >= OWNED | IN_USE
    zones = {int(name.split("-")[1]) % 2 for name in set(silent) - OWNED - IN_USE}
    assert zones == {0}


def test_a_report_and_a_silence_reach_those_who_listen():
    standin = EngineStandin()
    standin.start()
    address = standin.url.removeprefix("http://")
    engines = [
        Member("engine-90", "backend", "manta", address),
        Member("engine-95", "backend", "manta", "127.0.0.1:9"),
    ]
    silent: list[str] = []
    loads: list[str] = []
    watch_of(engines, silent, loads).poll_once()
    assert (loads, silent) == (["engine-90"], ["engine-95"])
    assert call("GET", f"{standin.url}/v1/load").status == 200
    standin.stop()
