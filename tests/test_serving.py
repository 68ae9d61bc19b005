import json

import gevent
import pytest

from httpcalls import call
from httpcalls import open_call
from small_fleet import bearer
from small_fleet import complete
from small_fleet import complete_with_retries
from small_fleet import OTHER_KEY
from small_fleet import small_fleet
from small_fleet import stream_events
from small_fleet import stream_text
from small_fleet import wait_for


@pytest.fixture(scope="module")
def fleet():
    with small_fleet(entry_count=2) as running:
        yield running


def test_a_stream_is_whole_and_in_order(fleet):
    answer = complete(fleet.urls[0], "route to the beach [tokens=40]", stream=True)
    assert answer.status == 200
    events = stream_events(answer.body)
    whole = complete(fleet.urls[1], "route to the beach [tokens=40]").json
    assert events[-1].data == "[DONE]"
    assert events[-2].choice["finish_reason"] == "stop"
    assert stream_text(events) == whole["choices"][0]["text"]
    assert whole["usage"]["completion_tokens"] == 40
    assert len({event.cursor for event in events[:-1]}) == len(events) - 1


def test_chat_has_the_chat_shape(fleet):
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "stock? [tokens=5]"}],
    }
    url = f"{fleet.urls[0]}/v1/chat/completions"
    answer = call("POST", url, body, bearer()).json
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["role"] == "assistant"
    streamed = call("POST", url, body | {"stream": True}, bearer())
    chunks = [json.loads(event.data) for event in stream_events(streamed.body)[:-1]]
    text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
    assert text == answer["choices"][0]["message"]["content"]


def test_a_stream_is_resumed_on_another_entry_host(fleet):
    prompt = "describe the frame [tokens=30]"
    events = stream_events(complete(fleet.urls[0], prompt, stream=True).body)
    cut_at = 11
    headers = bearer() | {"Last-Event-ID": events[cut_at].cursor}
    url = f"{fleet.urls[1]}/v1/generations/resume"
    rest = stream_events(call("GET", url, headers=headers).body)
    resumed = stream_text(events[: cut_at + 1]) + stream_text(rest)
    assert resumed == stream_text(events)
    assert rest[-1].data == "[DONE]"


def test_a_cursor_is_bound_to_its_account_and_authentic(fleet):
    events = stream_events(complete(fleet.urls[0], "x [tokens=5]", stream=True).body)
    cursor = events[1].cursor
    url = f"{fleet.urls[1]}/v1/generations/resume"
    stolen = call("GET", url, headers=bearer(OTHER_KEY) | {"Last-Event-ID": cursor})
    assert (stolen.status, stolen.json["error"]["code"]) == (400, "bad_cursor")
    name, seal, _sequence, tag = cursor.split(".")
    forged = f"{name}.{seal}.1.{tag}"
    answer = call("GET", url, headers=bearer() | {"Last-Event-ID": forged})
    assert (answer.status, answer.json["error"]["run"]) == (400, "not-run")


def test_a_sale_runs_once_and_a_balance_is_read(fleet):
    before = fleet.ledger_runs("POST /sales")
    url = f"{fleet.urls[0]}/services/ledger"
    sale = call("POST", f"{url}/sales", {"cart": "c1", "amount": 3}, bearer())
    assert sale.status == 201
    assert fleet.ledger_runs("POST /sales") == before + 1
    assert call("GET", f"{url}/balances/c1", headers=bearer()).status == 200


def test_open_route_needs_no_key_and_other_routes_do(fleet):
    url = f"{fleet.urls[0]}/services/ledger"
    assert call("GET", f"{url}/prices").status == 200
    assert call("GET", f"{url}/prices", headers=bearer("bad")).status == 200
    refused = call("POST", f"{url}/sales", {"cart": "c1", "amount": 3})
    assert (refused.status, refused.json["error"]["run"]) == (401, "not-run")


@pytest.mark.parametrize(
    ("body", "key", "status", "code"),
    [
        (b"{nonsense", "carts-key-0001", 400, "bad_body"),
        ({"model": "assistant"}, "carts-key-0001", 400, "bad_body"),
        ({"model": "assistant", "prompt": 5}, "carts-key-0001", 400, "bad_body"),
        (
            {"model": "assistant", "prompt": "x", "max_tokens": 0},
            "carts-key-0001",
            400,
            "bad_max_tokens",
        ),
        ({"model": "none", "prompt": "x"}, "carts-key-0001", 404, "unknown_service"),
        ({"model": "ledger", "prompt": "x"}, "carts-key-0001", 404, "unknown_service"),
        ({"model": "assistant", "prompt": "x"}, "wrong", 401, "unknown_key"),
        ({"model": "assistant", "prompt": "x"}, "", 401, "unknown_key"),
    ],
)
def test_bad_input_is_refused_as_not_run(fleet, body, key, status, code):
    url = f"{fleet.urls[0]}/v1/completions"
    answer = call("POST", url, body, bearer(key))
    assert answer.status == status
    error = answer.json["error"]
    assert (error["code"], error["run"]) == (code, "not-run")
    assert error["request_id"] == answer.headers["x-request-id"]


def test_an_account_without_the_service_is_refused(fleet):
    url = f"{fleet.urls[0]}/services/ledger/sales"
    answer = call("POST", url, {"cart": "c", "amount": 1}, bearer(OTHER_KEY))
    assert (answer.status, answer.json["error"]["code"]) == (403, "service_not_allowed")


def test_no_backend_server_sees_a_key(fleet):
    key = "carts-key-0001"
    headers = bearer() | {
        "X-Api-Key": key,
        "Cookie": f"session={key}",
        "Proxy-Authorization": f"Bearer {key}",
        "X-Gypsumfield-Account": "office",
        "X-Note": f"my key is {key}",
        "X-Harmless": "yes",
    }
    url = f"{fleet.urls[0]}/services/ledger/balances/c1?api_key={key}&month=5"
    assert call("GET", url, headers=headers).status == 200
    names = {n for one in fleet.ledgers for n in fleet.runs(one)["header_names"]}
    assert "x-harmless" in names
    forbidden = {"authorization", "x-api-key", "cookie", "proxy-authorization"}
    assert not names & (forbidden | {"x-note"})
    body = {"cart": "c1", "amount": 1, "key": key}
    sale = call("POST", f"{fleet.urls[0]}/services/ledger/sales", body, bearer())
    assert (sale.status, sale.json["error"]["code"]) == (400, "key_in_request")


def test_a_withdrawn_key_stops_and_a_new_one_works(fleet):
    account = {
        "rate_per_s": 50,
        "burst": 50,
        "services": ["assistant"],
        "key_digests": [],
    }
    fleet.publish_and_wait("client_accounts/office", account)
    for url in fleet.urls:
        assert complete(url, "x [tokens=2]", key=OTHER_KEY).status == 401


def test_a_zone_taken_out_gets_no_new_work(fleet):
    fleet.publish_and_wait("availability_zones/manta", {"status": "out"})
    before = len(fleet.runs(fleet.engines[0])["generations"])
    for _ in range(6):
        # A host that was not confirmed for a moment says when to come back.
        assert complete_with_retries(fleet.urls[0], "x [tokens=2]").status == 200
    assert len(fleet.runs(fleet.engines[0])["generations"]) == before
    fleet.publish_and_wait("availability_zones/manta", {"status": "in"})


def test_an_owner_that_is_not_confirmed_refuses_and_serves_again(fleet):
    fleet.publish_and_wait("availability_zones/manta", {"status": "out"})
    plane = fleet.control_plane(1)
    run_count = sum(len(fleet.runs(engine)["generations"]) for engine in fleet.engines)

    def has_lost_ownership() -> bool:
        plane.members.membership.rejoin(plane.loop.now_ms())
        return not plane.slots.is_active_owner("engine-1")

    wait_for(has_lost_ownership)
    refused = complete(fleet.urls[0], "x [tokens=2]")
    assert refused.status == 503
    assert refused.json["error"]["run"] == "not-run"
    assert "not its owner yet" in refused.json["error"]["message"]
    assert float(refused.headers["retry-after"]) > 0
    runs = [fleet.runs(engine)["generations"] for engine in fleet.engines]
    assert sum(map(len, runs)) == run_count
    assert complete_with_retries(fleet.urls[0], "x [tokens=2]").status == 200
    assert len(fleet.runs(fleet.engines[0])["generations"]) == len(runs[0])
    fleet.publish_and_wait("availability_zones/manta", {"status": "in"})


def test_a_caller_that_leaves_frees_the_engine(fleet):
    body = {"model": "assistant", "prompt": "long [tokens=4000]", "stream": True}
    data = json.dumps(body).encode()
    url = f"{fleet.urls[0]}/v1/completions"
    with open_call("POST", url, data, bearer()) as response:
        response.readline(b"\n")
        name = f"{response['x-request-id']}-1"
    wait_for(lambda: fleet.engine_runs()[name]["state"] == "cancelled")
    assert fleet.engine_runs()[name]["generated_tokens"] < 4000
    wait_for(lambda: fleet.hosts[0].in_flight_count == 0)


def test_drain_cuts_no_answer():
    with small_fleet() as fleet:
        body = {"model": "assistant", "prompt": "long [tokens=150]", "stream": True}
        url = f"{fleet.urls[0]}/v1/completions"
        with open_call("POST", url, json.dumps(body).encode(), bearer()) as response:
            response.readline(b"\n")
            fleet.hosts[0].begin_drain()
            assert call("GET", f"{fleet.urls[0]}/healthz").status == 503
            assert fleet.hosts[0].in_flight_count == 1
            assert call("GET", f"{fleet.urls[0]}/readyz").status == 200
            drained = gevent.spawn(fleet.hosts[0].drain)
            events = stream_events(b"id: 0\n" + response.read())
        assert events[-1].data == "[DONE]"
        assert drained.get(timeout=20) == 0


def test_without_a_cursor_key_answers_go_on_and_only_resumption_is_lost(fleet):
    secret = "11" * 32
    fleet.publish_and_wait("cursor_keys/a", {"secret": secret, "is_current": False})
    events = stream_events(complete(fleet.urls[0], "x [tokens=3]", stream=True).body)
    fleet.publish_and_wait("cursor_keys/a", {"secret": secret, "is_current": True})
    assert events[-1].data == "[DONE]"
    assert {event.cursor for event in events} == {""}


def test_the_status_page_says_why_an_account_was_refused_last(fleet):
    url = f"{fleet.urls[0]}/services/ledger/sales"
    key_in_body = {"cart": "c1", "amount": 1, "key": "carts-key-0001"}
    refused = call("POST", url, key_in_body, bearer())
    assert refused.status == 400
    fleet.publish_and_wait("availability_zones/manta", {"status": "out"})
    fleet.publish_and_wait("availability_zones/salinas", {"status": "out"})
    sale = call("POST", url, {"cart": "c1", "amount": 1}, bearer())
    for zone in ("manta", "salinas"):
        fleet.publish_and_wait(f"availability_zones/{zone}", {"status": "in"})
    last = fleet.status(fleet.urls[0])["last_refusals"]["carts"]
    assert last["request_id"] == sale.json["error"]["request_id"]
    assert (last["code"], last["verdict"]) == ("no_backend_server", "not-run")


def test_the_metrics_show_what_a_host_holds(fleet):
    text = call("GET", f"{fleet.urls[0]}/metrics").body.decode()
    gauges = dict(
        line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
    )
    # Its zone has one engine and one ledger, and it is the zone's only host.
    assert float(gauges["gypsumfield_owned_backend_count"]) == 2
    assert float(gauges["gypsumfield_shares_held_count"]) == 2
    assert float(gauges["gypsumfield_shares_held_tokens"]) > 0
    assert float(gauges["gypsumfield_slots_held_count"]) == 0
