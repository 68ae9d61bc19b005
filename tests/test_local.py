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

# Not imported, because importing the program's module patches the standard library.
EXIT_ANSWERS_CUT = 3


@pytest.fixture(scope="module")
def local():
    with program("gypsumfield-local", "--seed", "3") as running:
        yield running


def authorization(ready) -> dict[str, str]:
    key = ready["client_accounts"]["quinonez_vendors"]["key"]
    return {"Authorization": f"Bearer {key}"}


def test_the_ready_line_has_exactly_the_expected_fields(local):
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
    assert {tuple(sorted(entry)) for entry in entries} == {
        ("availability_zone", "host_id", "url")
    }
    assert {tuple(sorted(backend)) for backend in backends} == {
        ("availability_zone", "host_id", "service", "url")
    }
    assert len(entries) == 4
    assert {entry["availability_zone"] for entry in entries} == zones
    for zone in zones:
        engines = [
            backend
            for backend in backends
            if backend["availability_zone"] == zone
            and backend["service"] == "assistant"
        ]
        assert len(engines) >= 2
    assert any(backend["service"] == "ledger" for backend in backends)
    for account in ready["client_accounts"].values():
        assert set(account) == {"key", "rate_per_s", "burst"}


def test_every_entry_host_serves_a_stream_and_a_sale(local):
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


def test_the_platform_accepts_values_and_lists_members(local):
    ready = local.ready
    put = call("PUT", f"{ready['platform']}/standin/values/profiles/x", {"priority": 3})
    assert put.json["revision"] > 0
    assert call("GET", f"{ready['platform']}/v1/members").json["version"] > 0


def test_fleet_sizes_are_options_and_sigterm_cuts_off_no_answer():
    arguments = ("--entry-hosts", "2", "--availability-zones", "1")
    with program("gypsumfield-local", *arguments) as local:
        assert len(local.ready["entry_hosts"]) == 2
        assert (
            len({entry["availability_zone"] for entry in local.ready["entry_hosts"]})
            == 1
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


def test_error_for_an_invalid_option_names_the_option():
    status, errors = run_to_end("gypsumfield-local", "--entry-hosts", "none")
    assert status == 2
    assert "--entry-hosts" in errors
    assert "expected 1 to 64" in errors


def test_a_second_signal_stops_immediately_with_its_own_exit_status():
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
    """Sends requests over persistent connections until the health check fails."""

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


def test_a_drain_under_load_completes_all_requests_of_a_load_balancer():
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
        # Polled, because a blocking wait would stop the gevent loop of this test.
        wait_for(lambda: local.process.poll() is not None)
        assert local.wait() == 0
