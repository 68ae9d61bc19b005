"""Formats of the platform: settings file, documents, headers and reservations."""

import json

import pytest

from fake_platform import FakeBackendServer
from fake_platform import publication
from fake_platform import registration
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import ConfigurationError
from gypsumfield.exceptions import SettingsError
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.routes import find_account
from gypsumfield.held_memory import HeldMemory
from gypsumfield.platform.documents import decode_publication
from gypsumfield.platform.documents import decode_server
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.headers import decode_answer
from gypsumfield.platform.headers import decode_request
from gypsumfield.platform.headers import encode_request
from gypsumfield.platform.settings import HEDGE_RATIO_VARIABLE
from gypsumfield.platform.settings import read_edge_settings
from gypsumfield.verdicts import RunVerdict

SETTINGS = """
node_name = "edge-1"
node_ip = "10.1.0.19"
zone = "z1"
internal_port_range = [7200, 7215]
seed_nodes = ["10.1.0.19:8748", "10.2.0.13:8748"]
bootstrap = true
new_field = "ignored"
[listen]
front = "10.1.0.19:8740"
ready = "10.1.0.19:8749"
control = "10.1.0.19:8748"
[bounds]
grace_s = 8
budget_extra = 54
[platform]
address = "10.200.1.7:8742"
"""


def write_settings(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return path


def test_settings_are_decoded(tmp_path):
    settings = read_edge_settings(write_settings(tmp_path, SETTINGS))
    assert settings.availability_zone == "z1"
    assert settings.seed_ips == ("10.1.0.19", "10.2.0.13")
    assert settings.news_port == 7200
    assert settings.bounds.stop_limit_ms == 8_000.0
    assert settings.bounds.retry_extra == 54.0


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('zone = "z1"', "", "zone"),
        ('zone = "z1"', "zone = 7", "zone"),
        ("[7200, 7215]", "[]", "internal_port_range"),
        ('front = "10.1.0.19:8740"', "", "listen.front"),
        ("grace_s = 8", 'grace_s = "long"', "bounds.grace_s"),
        ("node_name", "node name", "TOML"),
    ],
)
def test_bad_settings_name_file_and_key(tmp_path, old, new, key):
    path = write_settings(tmp_path, SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        read_edge_settings(path)
    assert "settings.toml" in str(caught.value)
    assert key in str(caught.value)


def test_a_missing_settings_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        read_edge_settings(tmp_path / "none.toml")


def test_a_publication_is_decoded():
    document = publication({"engine": "streaming", "plain": "idempotent"})
    decoded = decode_publication(json.dumps(document).encode())
    kinds = {route.name: route.kind for route in decoded.routes}
    assert kinds == {"r-engine": CallKind.STREAM, "r-plain": CallKind.IDEMPOTENT}
    assert decoded.services["engine"].engine.memory_tokens == 30_000
    assert decoded.services["plain"].engine is None
    account = find_account(decoded, "key-a")
    assert account is not None and account.name == "account-a"
    assert find_account(decoded, "key-b") is None


def test_a_publication_without_accounts_needs_no_keys():
    document = publication({"plain": "idempotent"})
    del document["tenants"]
    assert decode_publication(json.dumps(document).encode()).accounts_by_digest is None


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b'{"version": "7"}', b'{"routes": []}', b"\xff"]
)
def test_an_invalid_publication_is_rejected(data):
    with pytest.raises(ConfigurationError):
        decode_publication(data)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"address": "10.0.0.1"},
        {"address": ":80"},
        {"address": 7},
        {"service": None},
        {"slot_count": "many"},
    ],
)
def test_an_invalid_registration_is_rejected(change):
    document = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}
    decode_server("servers/i-1", json.dumps(document).encode(), 3)
    with pytest.raises(ConfigurationError, match="servers/i-1"):
        decode_server("servers/i-1", json.dumps(document | change).encode(), 3)


def test_headers_of_a_caller_are_decoded():
    call_headers = decode_request(
        [
            ("Host", "H.example:80"),
            ("X-Attempt-Id", "a1"),
            ("Authorization", "Token k"),
            ("X-Deadline-Ms", "1500"),
            ("X-Token-Counts", "1460,80"),
            ("X-Length-Hint", "nonsense"),
        ]
    )
    assert (call_headers.host, call_headers.request_id, call_headers.key) == (
        "h.example",
        "a1",
        "k",
    )
    assert call_headers.time_limit_ms == 1500.0
    assert (
        call_headers.prompt_tokens,
        call_headers.max_tokens,
        call_headers.expected_tokens,
    ) == (1460, 80, 0)


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "", "1e99"])
def test_an_invalid_time_limit_is_treated_as_missing(value):
    assert decode_request([("X-Deadline-Ms", value)]).time_limit_ms is None


def test_reserved_headers_of_a_caller_are_removed():
    items = [
        ("X-Tenant", "other"),
        ("X-Hold", "h"),
        ("X-Pin-Ms", "9"),
        ("X-Kv-Backup", "1.2.3.4:5"),
        ("Kv-From", "1.2.3.4:5/h"),
        ("Kv-Fetch", "1.2.3.4:5"),
        ("X-Expect-Instance", "i"),
        ("X-Expect-Version", "3"),
        ("X-Request-Urgency", "0"),
        ("Authorization", "Token k"),
        ("Last-Event-Id", "7"),
        ("Connection", "keep-alive"),
        ("Transfer-Encoding", "chunked"),
        ("X-Model", "m"),
    ]
    sent = encode_request(
        items, "h.example", SendOptions("i-1", ANY_VERSION, 900.4, "account-a")
    )
    assert sent == {
        "Host": "h.example",
        "X-Model": "m",
        "X-Deadline-Ms": "900",
        "X-Expect-Instance": "i-1",
        "X-Tenant": "account-a",
    }


def test_a_resumption_names_the_copy_and_the_last_event():
    resume = ResumePoint("12", "10.0.0.1:80", "run-1")
    options = SendOptions(
        "i-1", ANY_VERSION, 900.0, resume=resume, backup_address="10.0.0.2:80"
    )
    sent = encode_request([], "h", options)
    assert sent["Kv-From"] == "10.0.0.1:80/run-1"
    assert sent["Last-Event-Id"] == "12"
    assert sent["X-Kv-Backup"] == "10.0.0.2:80"


def test_a_request_has_its_reservation_and_no_urgency():
    # An engine preempts a running request for a more urgent one, and the preempted
    # request processes its prompt again. With the header, 183 runs were preempted on
    # the grown quiet day of gangseo-lens.
    sent = encode_request(
        [], "h", SendOptions("i-1", ANY_VERSION, 900.0, reservation="r-1")
    )
    assert sent["X-Hold"] == "r-1"
    assert "X-Request-Urgency" not in sent


def reserve(fake_server, tokens, lifetime_ms, recorded=None):
    """Reserve memory at a fake server; the list ``recorded`` gets its metadata."""
    client = EngineClient(
        lambda *metadata: recorded is None or recorded.append(metadata),
        lambda server: True,
        HeldMemory(1_000_000),
    )
    registration_data = json.dumps(registration("engine", fake_server)).encode()
    server = decode_server("servers/e1", registration_data, 1)
    return client.reserve(server, tokens, lifetime_ms)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        ("200 OK", b'{"hold":"r-1"}', "r-1"),
        ("200 OK", b'{"hold":7}', "7"),
        ("503 Service Unavailable", b"", None),
    ],
)
def test_a_reservation_returns_its_name_or_none_without_capacity(
    status, body, expected
):
    def respond(request, sock):
        assert (request["method"], request["target"]) == ("POST", "/-/hold-take")
        assert json.loads(request["body"]) == {"tokens": 160, "ttl_ms": 2000}
        sock.sendall(
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )

    fake_server = FakeBackendServer(respond)
    fake_server.start()
    try:
        assert reserve(fake_server, 160, 2_000.0) == expected
    finally:
        fake_server.crash()


@pytest.mark.parametrize("answer", ["500 Oops", "200 OK"])
def test_an_invalid_answer_to_a_reservation_is_an_error(answer):
    def respond(request, sock):
        sock.sendall(f"HTTP/1.1 {answer}\r\nContent-Length: 1\r\n\r\nx".encode())

    fake_server = FakeBackendServer(respond)
    fake_server.start()
    try:
        with pytest.raises(BackendError) as caught:
            reserve(fake_server, 160, 2_000.0)
        assert caught.value.verdict is RunVerdict.NOT_RUN
    finally:
        fake_server.crash()


def test_a_refused_reservation_reports_that_its_server_leaves():
    def respond(request, sock):
        sock.sendall(
            b"HTTP/1.1 503 Service Unavailable\r\nServer-Leaving: 1\r\n"
            b"Retry-After: 0.25\r\nContent-Length: 0\r\n\r\n"
        )

    fake_server = FakeBackendServer(respond)
    fake_server.start()
    recorded = []
    try:
        assert reserve(fake_server, 160, 2_000.0, recorded) is None
    finally:
        fake_server.crash()
    [(server, status, metadata)] = recorded
    assert (server.server_id, status) == ("e1", 503)
    assert (metadata.is_leaving, metadata.pause_ms) == (True, 250.0)


def test_metadata_of_an_answer_is_decoded():
    metadata = decode_answer([("x-attempt-id", "a"), ("X-Not-Executed", "1")])
    assert metadata.is_not_run and not metadata.is_sealed
    assert metadata.request_id == "a"


@pytest.mark.parametrize(("text", "ratio"), [(None, 0.0), ("0", 0.0), ("0.05", 0.05)])
def test_the_hedge_ratio_comes_from_the_environment(tmp_path, monkeypatch, text, ratio):
    monkeypatch.delenv(HEDGE_RATIO_VARIABLE, raising=False)
    if text is not None:
        monkeypatch.setenv(HEDGE_RATIO_VARIABLE, text)
    settings = read_edge_settings(write_settings(tmp_path, SETTINGS))
    assert settings.hedge_ratio == ratio


@pytest.mark.parametrize("text", ["", "many", "-0.1", "1.5", "nan", "inf", "5%"])
def test_a_bad_hedge_ratio_is_named(tmp_path, monkeypatch, text):
    """Guards against a host that sends far more hedges than its operator wants."""
    monkeypatch.setenv(HEDGE_RATIO_VARIABLE, text)
    with pytest.raises(SettingsError, match="GYPSUMFIELD_HEDGE_RATIO.*0 to 1"):
        read_edge_settings(write_settings(tmp_path, SETTINGS))
