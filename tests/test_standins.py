"""Tests of the routes and faults of the platform, engine and ledger stand-ins."""

import json

import gevent
import pytest

from gypsumfield.standins.engine import EngineStandin
from gypsumfield.standins.faults import FaultSet
from gypsumfield.standins.fleet import FleetPlan
from gypsumfield.standins.fleet import StandinFleet
from gypsumfield.standins.plain import PlainStandin
from gypsumfield.standins.platform import PlatformSettings
from gypsumfield.standins.platform import PlatformStandin
from httpcalls import call
from httpcalls import open_call


@pytest.fixture
def platform():
    standin = PlatformStandin(PlatformSettings(values_limit=2))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def engine():
    standin = EngineStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def ledger():
    standin = PlainStandin()
    standin.start()
    yield standin
    standin.stop()


def start_body(name: str, tokens: int, **fields: object) -> dict[str, object]:
    body = {
        "generation_id": name,
        "model": "assistant",
        "prompt": f"hi [tokens={tokens}]",
        "max_tokens": 1_000,
    }
    return body | fields


def read_events(response) -> list[dict[str, object]]:
    lines = response.body.decode().splitlines()
    return [json.loads(line[5:]) for line in lines if line.startswith("data:")]


def test_a_partial_delta_states_the_revision_that_it_is_complete_up_to(platform):
    for number in range(5):
        put_response = call(
            "PUT", f"{platform.url}/standin/values/profiles/p{number}", {}
        )
    assert put_response.json == {"revision": 5}
    revision, values = 0, {}
    while revision < 5:
        url = f"{platform.url}/v1/values?after_revision={revision}"
        response = call("GET", url).json
        assert len(response["values"]) <= 2
        revision = response["revision"]
        values |= response["values"]
    assert sorted(values) == [f"profiles/p{number}" for number in range(5)]
    assert call("GET", f"{platform.url}/standin/calls").json == {
        "calls": {"GET /v1/values": 3}
    }


def test_a_watch_waits_for_a_change_and_reports_removals(platform):
    url = f"{platform.url}/v1/values?after_revision=1&wait_ms=15000"
    platform.state.put_value("profiles/a", {})
    pending_watch = gevent.spawn(call, "GET", url)
    gevent.sleep(0.05)
    assert not pending_watch.ready()
    platform.state.put_value("profiles/a", None)
    assert pending_watch.get().json == {"revision": 2, "values": {"profiles/a": None}}


def test_malformed_values_are_refused(platform):
    url = f"{platform.url}/standin/values/profiles/a"
    assert call("PUT", url, b"{nope").status == 400
    assert platform.state.revision == 0


def test_the_platform_modes_stale_and_down(platform):
    members_url = f"{platform.url}/v1/members"
    faults_url = f"{platform.url}/standin/faults"
    assert call("PUT", faults_url, {"mode": "stale"}).status == 200
    hosts = [
        {
            "host_id": "e",
            "role": "entry",
            "availability_zone": "z",
            "address": "127.0.0.1:1",
        }
    ]
    put_response = call("PUT", f"{platform.url}/standin/members", {"hosts": hosts})
    assert put_response.json == {"version": 1}
    assert call("GET", members_url).json == {"version": 0, "hosts": []}
    call("PUT", faults_url, {"mode": "down"})
    with pytest.raises(Exception):  # noqa: B017 - any kind of failed connection
        call("GET", members_url)
    call("PUT", faults_url, {"mode": "up"})
    assert call("GET", members_url).json["hosts"][0]["host_id"] == "e"


def test_a_generation_streams_resumes_and_returns_the_request_id(engine):
    url = f"{engine.url}/v1/generations"
    response = call("POST", url, start_body("g", 4), {"X-Request-Id": "r1"})
    assert response.headers["x-request-id"] == "r1"
    events = read_events(response)
    assert [event["sequence"] for event in events] == [1, 2, 3, 4, 5]
    assert "".join(event.get("text", "") for event in events) == "w1 w2 w3 w4 "
    assert events[-1]["finish_reason"] == "stop"
    assert read_events(call("GET", f"{url}/g?after=3")) == events[3:]
    assert call("GET", f"{url}/other?after=3").status == 404
    assert call("POST", url, start_body("g", 4)).json["error"]["run"] == "not-run"
    runs = call("GET", f"{engine.url}/standin/runs").json
    assert runs["generations"]["g"] == {
        "request_id": "r1",
        "start_count": 1,
        "generated_tokens": 4,
        "state": "finished",
    }


def test_a_generation_continues_without_its_client_until_cancelled(engine):
    url = f"{engine.url}/v1/generations"
    body = json.dumps(start_body("g", 900)).encode()
    with open_call("POST", url, body) as response:
        assert response.read(10)
    gevent.sleep(0.05)
    assert engine.runs["g"].state == "running"
    assert call("DELETE", f"{url}/g").status == 204
    assert call("DELETE", f"{url}/g").status == 204
    assert engine.runs["g"].state == "cancelled"
    assert engine.model.is_idle


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (start_body("g", 1, model="other"), 400, "unknown_model"),
        (start_body("g", 1, prompt="x" * 90_000), 400, "prompt_too_long"),
        (b"{", 400, "bad_request"),
    ],
)
def test_refusals_say_not_run(engine, body, status, code):
    response = call("POST", f"{engine.url}/v1/generations", body)
    assert (response.status, response.json["error"]["code"]) == (status, code)
    assert response.json["error"]["run"] == "not-run"
    assert engine.runs == {}


def test_orders_are_fenced_unless_fencing_is_disabled(engine):
    url = f"{engine.url}/v1/orders"
    order = {"kind": "load_model", "name": "tags", "version": "2", "fencing_number": 7}
    stale_order = order | {"version": "1", "fencing_number": 3}
    assert call("POST", url, order).status == 200
    assert call("POST", url, stale_order).status == 409
    engine.apply_faults(FaultSet(are_orders_fenced=False))
    assert call("POST", url, stale_order).status == 200
    inventory = call("GET", f"{engine.url}/v1/inventory").json
    assert inventory["models"] == {"assistant": "1", "tags": "1"}


def test_a_restart_loses_all_generations_and_changes_the_boot_id(engine):
    old_boot_id = call("GET", f"{engine.url}/v1/load").json["boot_id"]
    call("POST", f"{engine.url}/v1/generations", start_body("g", 1))
    call("PUT", f"{engine.url}/standin/faults", {"is_restart": True})
    assert call("GET", f"{engine.url}/v1/load").json["boot_id"] != old_boot_id
    assert call("GET", f"{engine.url}/v1/generations/g?after=0").status == 404


def test_duplicate_and_missing_events_can_be_armed(engine):
    engine.apply_faults(FaultSet(duplicate_event_count=1))
    response = call("POST", f"{engine.url}/v1/generations", start_body("a", 3))
    assert [event["sequence"] for event in read_events(response)] == [1, 1, 2, 3, 4]
    engine.apply_faults(FaultSet(gap_event_count=1))
    response = call("POST", f"{engine.url}/v1/generations", start_body("b", 3))
    assert [event["sequence"] for event in read_events(response)] == [2, 3, 4]


def test_the_ledger_counts_each_run(ledger):
    sale = {"cart": "c1", "amount": 2.5}
    for number in (1, 2):
        response = call(
            "POST", f"{ledger.url}/sales", sale, {"X-Request-Id": f"r{number}"}
        )
        assert response.status == 201
        assert response.json == {"sale_id": number, "balance": 2.5 * number}
    assert call("GET", f"{ledger.url}/balances/c1").json["balance"] == 5.0
    assert call("PUT", f"{ledger.url}/notes/n", {"text": "x"}).json["change_count"] == 1
    assert call("DELETE", f"{ledger.url}/notes/n").json["change_count"] == 2
    assert call("GET", f"{ledger.url}/prices").status == 200
    assert call("POST", f"{ledger.url}/sales", {"cart": 1}).status == 400
    runs = call("GET", f"{ledger.url}/standin/runs").json
    assert runs["runs"] == {
        "POST /sales": 2,
        "GET /balances/{cart}": 1,
        "PUT /notes/{name}": 1,
        "DELETE /notes/{name}": 1,
        "GET /prices": 1,
    }
    assert runs["request_ids"][:2] == ["r1", "r2"]
    assert "x-request-id" in runs["header_names"]


def test_a_fleet_starts_warm_and_a_restarted_engine_is_cold_and_listed_later():
    fleet = StandinFleet(FleetPlan(zone_count=1, membership_lag_ms=100.0))
    fleet.start()
    engine = next(
        backend for backend in fleet.backends if backend.service == "assistant"
    )
    try:
        assert not call("GET", f"{engine.standin.url}/v1/load").json["is_cold"]
        call("PUT", f"{engine.standin.url}/standin/faults", {"is_restart": True})
        gevent.sleep(0)
        assert call("GET", f"{engine.standin.url}/v1/load").json["is_cold"]
        boot_id = engine.standin.boot_id
        while (
            boot_id not in call("GET", f"{fleet.platform.url}/v1/members").body.decode()
        ):
            gevent.sleep(0.01)
        url = f"{engine.standin.url}/v1/generations"
        for name in ("a", "b"):
            gevent.spawn(call, "POST", url, start_body(name, 500))
        while len(engine.standin.runs) < 2:
            gevent.sleep(0.01)
        refusal = call("POST", url, start_body("c", 1))
        assert (refusal.status, refusal.json["error"]["code"]) == (503, "engine_cold")
    finally:
        fleet.stop()
