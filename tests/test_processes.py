"""The whole path over separate processes, each from its own settings file."""

import contextlib
import json
import signal

import gevent
import pytest

from httpcalls import call
from httpcalls import open_call
from processes import MultiProcessFleet
from processes import run_to_end
from small_fleet import bearer
from small_fleet import expected_text
from small_fleet import stream_events
from small_fleet import stream_text

TOKEN_COUNT = 400


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        yield MultiProcessFleet(tmp_path_factory.mktemp("settings"), stack)


def test_a_stream_outlives_a_killed_entry_host_and_a_drain_ends_clean(processes):
    first, second = processes.entries
    body = {
        "model": "assistant",
        "prompt": f"write up [tokens={TOKEN_COUNT}]",
        "stream": True,
    }
    data = json.dumps(body).encode()
    got = b""
    url = f"{first.ready['url']}/v1/completions"
    with open_call("POST", url, data, bearer()) as response:
        while got.count(b"\n\n") < 20:
            got += response.read(64)
        first.signal(signal.SIGKILL)
        first.wait()
    processes.entries.remove(first)
    processes.publish_members()
    whole_events = got[: got.rindex(b"\n\n") + 2]
    before = stream_events(whole_events)
    resume = f"{second.ready['url']}/v1/generations/resume"
    headers = bearer() | {"Last-Event-ID": before[-1].cursor}
    after = stream_events(call("GET", resume, headers=headers).body)
    assert stream_text(before) + stream_text(after) == expected_text(TOKEN_COUNT)
    assert after[-1].data == "[DONE]"
    runs = processes.generations()
    assert [run["start_count"] for run in runs.values()] == [1]

    sale = {"cart": "c1", "amount": 2}
    ledger = f"{second.ready['url']}/services/ledger"
    answer = call("POST", f"{ledger}/sales", sale, bearer())
    while answer.status in (429, 503):
        # The heir waits out what the killed host may have granted, and says
        # truly that nothing ran.
        assert answer.json["error"]["run"] == "not-run"
        gevent.sleep(0.05)
        answer = call("POST", f"{ledger}/sales", sale, bearer())
    assert (answer.status, answer.json) == (201, {"sale_id": 1, "balance": 2.0})
    counted = call("GET", f"{processes.ledger.ready['url']}/standin/runs").json
    assert counted["runs"] == {"POST /sales": 1}
    assert "authorization" not in counted["header_names"]

    with open_call(
        "POST", f"{second.ready['url']}/v1/completions", data, bearer()
    ) as response:
        second.signal(signal.SIGTERM)
        events = stream_events(response.read())
    assert stream_text(events) == expected_text(TOKEN_COUNT)
    assert second.wait() == 0
    for one in (processes.platform, processes.ledger, *processes.engines):
        one.signal(signal.SIGTERM)
        assert one.wait() == 0


@pytest.mark.parametrize(
    ("name", "settings", "words"),
    [
        ("gypsumfield-entry", {"host_id": 5}, ("host_id", "str")),
        ("gypsumfield-entry", {"hostid": "a"}, ("hostid",)),
        (
            "gypsumfield-standin",
            {"kind": "engine", "listen_port": "x"},
            ("listen_port",),
        ),
        ("gypsumfield-standin", {"kind": "other"}, ("other",)),
        ("gypsumfield-standin", {"kind": "plain", "more": 1}, ("more",)),
    ],
)
def test_settings_that_do_not_fit_name_the_field(tmp_path, name, settings, words):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    status, errors = run_to_end(name, "--settings", str(path))
    assert status == 2
    assert all(word in errors for word in words), errors
    assert "settings.json" in errors


@pytest.mark.parametrize("name", ["gypsumfield-entry", "gypsumfield-standin"])
def test_help_and_a_missing_option(name):
    status, _ = run_to_end(name, "--help")
    assert status == 0
    status, errors = run_to_end(name)
    assert status == 2
    assert "--settings" in errors
