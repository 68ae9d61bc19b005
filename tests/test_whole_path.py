"""End-to-end tests: keys, zones, resumes, retries and leaving servers."""

import json

import gevent
import msgspec
import pytest
from geventhttpclient import HTTPClient

from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultSet
from httpcalls import call
from httpcalls import open_call
from small_fleet import base_values
from small_fleet import bearer
from small_fleet import complete
from small_fleet import expected_text
from small_fleet import KEY
from small_fleet import OTHER_KEY
from small_fleet import small_fleet
from small_fleet import stream_events
from small_fleet import stream_text
from small_fleet import wait_for

IDEMPOTENT_NOTES = ["PUT /notes/{name}", "DELETE /notes/{name}"]


@pytest.fixture
def fleet():
    with small_fleet(entry_count=2) as running:
        yield running


def withdraw_keys(fleet, account: str) -> None:
    value = base_values()[f"client_accounts/{account}"] | {"key_digests": []}
    fleet.publish_and_wait(f"client_accounts/{account}", value)


def mark_one_ledger_leaving(fleet) -> None:
    fleet.states["ledger-1"] = "leaving"
    version = fleet.status(fleet.urls[0])["member_version"]
    fleet.publish_members()
    for url in fleet.urls:
        wait_for(lambda url=url: fleet.status(url)["member_version"] > version)


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
@pytest.mark.parametrize("idempotent_routes", [[], IDEMPOTENT_NOTES])
def test_a_reused_connection_never_sends_a_call_twice(fleet, method, idempotent_routes):
    routes = ["GET /balances/{cart}", *idempotent_routes]
    service = base_values()["services/ledger"] | {"idempotent_routes": routes}
    fleet.publish_and_wait("services/ledger", service)
    mark_one_ledger_leaving(fleet)
    ledger = fleet.ledgers[0]
    url = f"{fleet.urls[0]}/services/ledger"
    assert call("GET", f"{url}/balances/c1", headers=bearer()).status == 200
    if idempotent_routes:
        assert call("PUT", f"{url}/notes/b", {}, bearer()).status == 200
    before = sum(ledger.note_changes.values())
    # The server reads the whole request, runs it and closes the connection.
    ledger.server.arm((Fault("crash", "body-sent"),))
    answer = call(method, f"{url}/notes/a", {}, bearer())
    assert answer.status == 502
    assert answer.json["error"]["run"] == "may-have-run"
    assert sum(ledger.note_changes.values()) == before + 1


def test_a_withdrawn_key_is_refused_on_a_persistent_connection(fleet):
    client = HTTPClient.from_url(fleet.urls[0], concurrency=1)
    path = "/services/ledger/balances/c1"
    answer = client.get(path, headers=bearer())
    assert (answer.status_code, len(answer.read()) > 0) == (200, True)
    withdraw_keys(fleet, "carts")
    assert client.get(path, headers=bearer()).status_code == 401
    client.close()


@pytest.mark.parametrize("policy", ["finish", "cut"])
def test_a_running_answer_follows_its_profile_when_its_key_is_withdrawn(fleet, policy):
    profile = base_values()["profiles/briefing"] | {"on_key_withdrawn": policy}
    fleet.publish_and_wait("profiles/briefing", profile)
    body = {"model": "assistant", "prompt": "x [tokens=600]", "stream": True}
    url = f"{fleet.urls[0]}/v1/completions"
    with open_call("POST", url, json.dumps(body).encode(), bearer()) as response:
        received = response.read(16)
        withdraw_keys(fleet, "carts")
        events = stream_events(received + response.read())
    if policy == "finish":
        assert events[-1].data == "[DONE]"
        assert stream_text(events) == expected_text(600)
    else:
        assert events[-1].kind == "error"
        assert json.loads(events[-1].data)["error"]["code"] == "key_withdrawn"
        wait_for(lambda: all(engine.model.is_idle for engine in fleet.engines))
    resume = f"{fleet.urls[1]}/v1/generations/resume"
    headers = bearer() | {"Last-Event-ID": events[0].cursor}
    assert call("GET", resume, headers=headers).status == 401


def test_concurrent_resumes_each_receive_all_remaining_events(fleet):
    events = stream_events(complete(fleet.urls[0], "x [tokens=50]", stream=True).body)
    headers = bearer() | {"Last-Event-ID": events[9].cursor}
    resumes = [
        gevent.spawn(call, "GET", f"{url}/v1/generations/resume", b"", headers)
        for url in fleet.urls
    ]
    for resume in resumes:
        rest = stream_events(resume.get(timeout=20).body)
        assert [event.data for event in rest] == [event.data for event in events[10:]]


def test_a_cursor_reveals_no_address_and_no_generation(fleet):
    events = stream_events(complete(fleet.urls[0], "x [tokens=3]", stream=True).body)
    names = [engine.address for engine in fleet.engines]
    names += [name for engine in fleet.engines for name in engine.runs]
    names += ["engine-0", "engine-1", "127.0.0.1", "carts"]
    for event in events[:-1]:
        assert not any(name in event.cursor for name in names)


def test_a_retry_does_not_enter_a_zone_that_is_out(fleet):
    fleet.publish_and_wait("availability_zones/salinas", {"status": "out"})
    fault = Fault("crash", "headers-sent", count=-1, path_prefix="/v1/generations")
    fleet.engines[0].server.arm((fault,))
    answer = complete(fleet.urls[0], "x [tokens=2]")
    assert (answer.status, answer.json["error"]["run"]) == (502, "may-have-run")
    assert fleet.engines[1].runs == {}


def test_a_leaving_backend_server_gets_no_new_work_and_ends_its_streams(fleet):
    body = {"model": "assistant", "prompt": "x [tokens=400]", "stream": True}
    url = f"{fleet.urls[0]}/v1/completions"
    with open_call("POST", url, json.dumps(body).encode(), bearer()) as response:
        received = response.read(16)
        engine_index = next(i for i, engine in enumerate(fleet.engines) if engine.runs)
        fleet.states[f"engine-{engine_index}"] = "leaving"
        version = fleet.status(fleet.urls[0])["member_version"]
        fleet.publish_members()
        wait_for(lambda: fleet.status(fleet.urls[0])["member_version"] > version)
        for _ in range(6):
            assert complete(fleet.urls[0], "x [tokens=1]").status == 200
        assert len(fleet.engines[engine_index].runs) == 1
        events = stream_events(received + response.read())
    assert stream_text(events) == expected_text(400)


def test_late_and_crossed_answers_reach_no_other_caller(fleet):
    for engine in fleet.engines:
        engine.settings = msgspec.structs.replace(engine.settings, is_text_marked=True)
    fleet.engines[0].apply_faults(FaultSet(late_answer_ms=700.0))
    fleet.engines[1].apply_faults(FaultSet(crossed_answer_count=2))
    callers = [
        gevent.spawn(complete, fleet.urls[i % 2], f"caller {i} [tokens=5]")
        for i in range(8)
    ]
    for caller in callers:
        answer = caller.get(timeout=20)
        if answer.status == 200:
            request_id = answer.headers["x-request-id"]
            words = answer.json["choices"][0]["text"].split()
            assert {word.rpartition("-")[0] for word in words} == {request_id}
            assert len(words) == 5
        else:
            assert answer.json["error"]["run"] in ("may-have-run", "not-run")


@pytest.mark.parametrize(("early_ends", "is_whole"), [(2, True), (50, False)])
def test_an_end_without_a_finish_reason_is_never_reported_as_complete(
    fleet, early_ends, is_whole
):
    for engine in fleet.engines:
        engine.apply_faults(FaultSet(early_end_count=early_ends))
    events = stream_events(complete(fleet.urls[0], "x [tokens=9]", stream=True).body)
    assert stream_text(events) == expected_text(9)
    assert (events[-1].data == "[DONE]") is is_whole
    assert (events[-1].kind == "error") is not is_whole


@pytest.mark.parametrize("step", ["first-byte", "mid-stream", "end-marker"])
def test_an_answer_that_is_closed_early_is_never_reported_as_complete(fleet, step):
    for ledger in fleet.ledgers:
        ledger.server.arm((Fault("crash", step, has_reset=False),))
    sale = {"cart": "c1", "amount": 1}
    url = f"{fleet.urls[0]}/services/ledger/sales"
    answer = call("POST", url, sale, bearer())
    assert answer.status == 502
    assert answer.json["error"]["run"] == "may-have-run"


def test_no_key_is_logged_or_returned(fleet):
    sale = {"cart": "c1", "amount": 1}
    url = f"{fleet.urls[0]}/services/ledger"
    answers = [
        call("POST", f"{url}/sales?key={KEY}", sale, bearer()),
        call("POST", f"{url}/sales", sale | {"cart": KEY}, bearer()),
        call("GET", f"{url}/balances/{KEY}", headers=bearer()),
        call("GET", f"{url}/balances/c", headers=bearer(OTHER_KEY)),
        complete(fleet.urls[0], f"my key is {KEY} [tokens=1]"),
    ]
    assert {answer.status for answer in answers} >= {201, 400, 403}
    returned = b"".join(answer.body for answer in answers)
    logged = repr(fleet.events)
    for key in (KEY, OTHER_KEY):
        assert key not in logged
        assert key.encode() not in returned


def test_the_leaving_notice_of_an_engine_reaches_all_hosts():
    with small_fleet(entry_count=2) as fleet:
        leaving = fleet.engines[0]
        wait_for(lambda: complete(fleet.urls[0], "warm [tokens=2]").status == 200)
        call("PUT", f"{leaving.url}/standin/faults", {"is_leaving": True})
        answer = complete(fleet.urls[0], "moves [tokens=2]")
        assert answer.status == 200
        for url in fleet.urls:
            wait_for(lambda url=url: exclusion_reasons_of(fleet, url, "engine-0") != {})
        refused = fleet.runs(leaving)["refused_count"]
        assert refused == 1
        for url in fleet.urls:
            assert complete(url, "elsewhere [tokens=2]").status == 200
        assert fleet.runs(leaving)["refused_count"] == refused


def exclusion_reasons_of(fleet, url: str, host_id: str) -> dict[str, str]:
    servers = fleet.status(url)["backend_servers"]
    return next(item["hindrances"] for item in servers if item["host_id"] == host_id)
