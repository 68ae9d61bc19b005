import json
import signal

import gevent
import pytest
from geventhttpclient import HTTPClient

from httpcalls import call
from httpcalls import open_call
from processes import program
from processes import run_to_end
from small_fleet import expected_text
from small_fleet import stream_events
from small_fleet import stream_text
from small_fleet import wait_for

# Not imported: the program's module patches the standard library.
EXIT_ANSWERS_CUT = 3


@pytest.fixture(scope="module")
def local():
    with program("gypsumfield-local", "--seed", "3") as running:
        yield running


def authorization(ready) -> dict[str, str]:
    key = ready["client_accounts"]["quinonez_vendors"]["key"]
    return {"Authorization": f"Bearer {key}"}


def test_the_ready_line_has_exactly_the_promised_fields(local):
    ready = local.ready
    assert set(ready) == {
        "ready",
        "platform",
        "entry_hosts",
        "backend_servers",
        "client_accounts",
        "services",
    }
    assert ready["ready"] is True
    assert ready["services"] == {"assistant": "model", "ledger": "plain"}
    zones = {"guayaquil", "manta", "salinas", "esmeraldas"}
    entries, backends = ready["entry_hosts"], ready["backend_servers"]
    assert {tuple(sorted(one)) for one in entries} == {
        ("availability_zone", "host_id", "url")
    }
    assert {tuple(sorted(one)) for one in backends} == {
        ("availability_zone", "host_id", "service", "url")
    }
    assert len(entries) == 4
    assert {one["availability_zone"] for one in entries} == zones
    for zone in zones:
        engines = [
            one
            for one in backends
            if one["availability_zone"] == zone and one["service"] == "assistant"
        ]
        assert len(engines) >= 2
    assert any(one["service"] == "ledger" for one in backends)
    for account in ready["client_accounts"].values():
        assert set(account) == {"key", "rate_per_s", "burst"}


def test_a_stream_and_a_sale_pass_through_every_entry_host(local):
    headers = authorization(local.ready)
    body = {"model": "assistant", "prompt": "tide? [tokens=6]", "stream": True}
    for entry in local.ready["entry_hosts"]:
        url = entry["url"]
        events = stream_events(
            call("POST", f"{url}/v1/completions", body, headers).body
        )
        assert stream_text(events) == expected_text(6)
        assert events[-1].data == "[DONE]"
        sale = {"cart": entry["host_id"], "amount": 2.5}
        answer = call("POST", f"{url}/services/ledger/sales", sale, headers)
        assert (answer.status, answer.json["balance"]) == (201, 2.5)


def test_the_operators_hand_works_through_the_platform(local):
    ready = local.ready
    put = call("PUT", f"{ready['platform']}/standin/values/profiles/x", {"priority": 3})
    assert put.json["revision"] > 0
    assert call("GET", f"{ready['platform']}/v1/members").json["version"] > 0


def test_sizes_are_options_and_a_term_signal_cuts_no_answer():
    arguments = ("--entry-hosts", "2", "--availability-zones", "1")
    with program("gypsumfield-local", *arguments) as local:
        assert len(local.ready["entry_hosts"]) == 2
        assert (
            len({one["availability_zone"] for one in local.ready["entry_hosts"]}) == 1
        )
        body = {"model": "assistant", "prompt": "long [tokens=100]", "stream": True}
        url = f"{local.ready['entry_hosts'][0]['url']}/v1/completions"
        data = json.dumps(body).encode()
        with open_call("POST", url, data, authorization(local.ready)) as response:
            local.signal(signal.SIGTERM)
            events = stream_events(response.read())
        assert stream_text(events) == expected_text(100)
        assert events[-1].data == "[DONE]"
        assert local.wait() == 0


def test_a_bad_option_names_itself():
    status, errors = run_to_end("gypsumfield-local", "--entry-hosts", "none")
    assert status == 2
    assert "--entry-hosts" in errors
    assert "expected 1 to 64" in errors


def test_a_second_signal_ends_at_once_and_the_status_says_so():
    arguments = ("--entry-hosts", "1", "--availability-zones", "1")
    with program("gypsumfield-local", *arguments) as local:
        body = {"model": "assistant", "prompt": "x [tokens=9000]", "stream": True}
        url = f"{local.ready['entry_hosts'][0]['url']}/v1/completions"
        data = json.dumps(body).encode()
        headers = authorization(local.ready)
        with open_call("POST", url, data, headers) as response:
            assert response.read(16)
            local.signal(signal.SIGTERM)
            url = f"{local.ready['entry_hosts'][0]['url']}/healthz"
            wait_for(lambda: is_refused_or_503(url))
            local.signal(signal.SIGTERM)
            assert local.wait() == EXIT_ANSWERS_CUT


def is_refused_or_503(url: str) -> bool:
    try:
        return call("GET", url).status == 503
    except OSError:
        return True


class Balancer:
    """Sends calls over kept connections until the health page turns."""

    def __init__(self, url: str, headers: dict[str, str]) -> None:
        self.url = url
        self.headers = headers
        self.is_healthy = True
        self.statuses: list[int] = []

    def watch_health(self) -> None:
        while self.is_healthy:
            self.is_healthy = call("GET", f"{self.url}/healthz").status == 200
            gevent.sleep(0.01)

    def send(self, number: int) -> None:
        client = HTTPClient.from_url(self.url, concurrency=1)
        body = {"model": "assistant", "prompt": f"{number} [tokens=9]"}
        data = json.dumps(body).encode()
        while self.is_healthy:
            answer = client.post("/v1/completions", data, self.headers)
            answer.read()
            self.statuses.append(answer.status_code)
        client.close()


def test_a_drain_under_load_cuts_nothing_that_a_balancer_sends():
    arguments = ("--entry-hosts", "1", "--availability-zones", "1")
    with program("gypsumfield-local", *arguments) as local:
        url = local.ready["entry_hosts"][0]["url"]
        balancer = Balancer(url, authorization(local.ready))
        callers = [gevent.spawn(balancer.send, number) for number in range(6)]
        watcher = gevent.spawn(balancer.watch_health)
        wait_for(lambda: len(balancer.statuses) >= 30)
        local.signal(signal.SIGTERM)
        gevent.joinall([watcher, *callers], timeout=30, raise_error=True)
        assert not balancer.is_healthy
        assert set(balancer.statuses) == {200}
        # The exit is waited for without blocking the loop of this test.
        wait_for(lambda: local.process.poll() is not None)
        assert local.wait() == 0
