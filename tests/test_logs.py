"""Event log: redaction of keys, fields of every line, sampling and truncation."""

import json

import pytest

from event_samples import event_types
from event_samples import filled_event
from gypsumfield import events
from gypsumfield.adapters.logs import open_event_log
from gypsumfield.adapters.logs import TEXT_LIMIT_CHARACTERS
from gypsumfield.clock import ManualClock
from gypsumfield.decisions.redaction import redact

KEY = "gf-Kd83hQz71mWp02LsXcVb94TyUe65RaNo"
LOCAL_KEY = "gf-e3e70682c2094cac629f6fbed82c07cd"
KEY_TEXTS = [
    f"Authorization: Bearer {KEY}",
    f"authorization={KEY}",
    f"headers {{'Authorization': 'Bearer {KEY}', 'Accept': '*/*'}}",
    f"Proxy-Authorization: Basic {KEY}",
    f"X-Api-Key: {KEY}",
    f"Cookie: session={KEY}; theme=dark",
    f"GET /v1/completions?api_key={KEY}&x=1",
    f"GET /services/ledger/a?access_token={KEY}",
    f'{{"api_key": "{KEY}"}}',
    f"unknown key {KEY} of caller",
    f"bearer {KEY}",
    "no such model sk-abcdefgh12345678",
    f"no such model {LOCAL_KEY}",
]


def read_lines(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


@pytest.mark.parametrize("text", KEY_TEXTS)
def test_no_field_of_any_event_holds_a_key(tmp_path, text):
    path = tmp_path / "log"
    emit = open_event_log("e1", "manta", str(path), ManualClock().as_clock(), 1)
    for event_type in event_types():
        emit(filled_event(event_type, text))
    written = path.read_text()
    assert len(written.splitlines()) == len(event_types())
    assert KEY not in written
    assert LOCAL_KEY not in written
    assert "sk-abcdefgh12345678" not in written


@pytest.mark.parametrize(
    "text",
    [
        "account over its rate, 3 tokens asked of peers, none came in 5 ms",
        "0b9f7a52c0de4d0f9e5a1e0c8f7d6b5a0b9f7a52c0de4d0f9e5a1e0c8f7d6b5a",
        "8b0e3f6c-3d4f-4a55-9d5e-0b5d6b1f8a77",
        "client_accounts/a: field `key_digests` is not 64 digits",
        "first token after 900 ms",
    ],
)
def test_text_without_a_key_is_unchanged(text):
    assert redact(text) == text


def test_every_line_names_event_host_zone_request_and_both_clocks(tmp_path):
    path = tmp_path / "log"
    clock = ManualClock(1_500.0)
    emit = open_event_log("e1", "manta", str(path), clock.as_clock(), 1)
    for event_type in event_types():
        emit(event_type(**_required(event_type)))
        clock.advance(1.0)
    lines = read_lines(path)
    tags = {event_type.__struct_config__.tag for event_type in event_types()}
    assert {line["event"] for line in lines} == tags
    for position, line in enumerate(lines):
        assert line["host_id"] == "e1"
        assert line["availability_zone"] == "manta"
        assert line["request_id"] == ""
        assert line["wall_ms"] == line["monotonic_ms"] == 1_500.0 + position
        assert line["line"] == position + 1


def _required(event_type):
    sample_event = filled_event(event_type)
    own_names = set(event_type.__annotations__) - {"IS_HOT"}
    return {name: getattr(sample_event, name) for name in own_names}


def test_hosts_of_one_process_write_separate_logs(tmp_path):
    clock = ManualClock().as_clock()
    emits = [open_event_log(name, "z", str(tmp_path / name), clock) for name in "ab"]
    for emit in emits:
        emit(events.ZoneOut(availability_zone="y"))
    for name in "ab":
        (line,) = read_lines(tmp_path / name)
        assert (line["host_id"], line["availability_zone"]) == (name, "y")


def test_sampling_logs_both_ends_of_a_message_and_all_other_events(tmp_path):
    clock = ManualClock().as_clock()
    path = tmp_path / "log"
    emit = open_event_log("a", "z", str(path), clock)
    for number in range(400):
        shared = {"message_id": f"m{number}", "kind": "heartbeat"}
        emit(events.MessageSent(receiver="b", **shared))
        emit(events.MessageReceived(sender="b", **shared))
        emit(
            events.RequestRefused(
                status=429, code="account_over_rate", verdict="not-run", reason="r"
            )
        )
    logged: dict[str, list[str]] = {}
    for line in read_lines(path):
        logged.setdefault(line["event"], []).append(line.get("message_id", ""))
    assert logged["message_sent"] == logged["message_received"]
    assert 5 <= len(logged["message_sent"]) <= 80
    assert len(logged["request_refused"]) == 400


def test_long_text_is_truncated(tmp_path):
    path = tmp_path / "log"
    emit = open_event_log("a", "z", str(path), ManualClock().as_clock())
    emit(events.PlatformUnreachable(reason="x " * 5_000))
    (line,) = read_lines(path)
    assert len(line["reason"]) == TEXT_LIMIT_CHARACTERS
