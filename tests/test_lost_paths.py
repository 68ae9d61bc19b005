"""Hosts that have lost their path to backend servers which other hosts reach."""

import contextlib
import functools
import json
import random

import pytest

from edge_fleet import EdgeFleet
from fake_platform import event
from fake_platform import publication
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.part_guard import GuardDependencies
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.path_watch import PathDependencies
from gypsumfield.gateway.path_watch import PathWatch
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.interfaces import discard_event
from gypsumfield.verdicts import RunVerdict
from path_fleet import KINDS
from path_fleet import PathFleet
from path_fleet import SERVER_COUNT
from placing_fleet import Fleet

REQUEST_COUNT = 12


@pytest.fixture
def make_fleet():
    with contextlib.ExitStack() as stack:

        def make(service, **options):
            fleet = PathFleet(service, **options)
            stack.callback(fleet.stop)
            return fleet

        yield make


@pytest.mark.parametrize("how", ["refused", "hanging"])
@pytest.mark.parametrize("service", KINDS)
def test_callers_of_a_host_without_a_path_are_served(make_fleet, service, how):
    fleet = make_fleet(service)
    fleet.cut(0, how)
    for number in range(REQUEST_COUNT):
        status, headers, body = fleet.call_host(0, f"a{number}", body=b"sale")
        assert status == 200
        assert headers["x-response-seal"] == "s"
        assert headers["x-attempt-id"] == f"a{number}"
        assert body
    ids = [request["headers"]["x-attempt-id"] for request in fleet.runs]
    assert sorted(ids) == sorted(f"a{number}" for number in range(REQUEST_COUNT))


def call_many(fleet, host_number, count=REQUEST_COUNT, prefix="a", **kwargs):
    """Return the statuses of calls to one host."""
    return [
        fleet.call_host(host_number, f"{prefix}{number}", **kwargs)[0]
        for number in range(count)
    ]


def forwarded_to(fleet):
    """Return the hosts that served forwarded requests."""
    return {
        event.peer
        for event in fleet.events_named("request_forwarded")
        if not event.reason
    }


@pytest.mark.parametrize("service", KINDS)
def test_hosts_that_reach_no_server_either_are_passed_over(make_fleet, service):
    fleet = make_fleet(service, host_count=5)
    for host_number in (0, 1, 2, 4):
        fleet.cut(host_number)
    for host_number in (0, 1, 2, 4):
        prefix = f"h{host_number}-"
        statuses = call_many(fleet, host_number, prefix=prefix)
        assert statuses == [200] * REQUEST_COUNT
    assert forwarded_to(fleet) == {"edge-3"}


def test_requests_are_spread_over_the_hosts_of_the_nearest_zone(make_fleet):
    fleet = make_fleet("plain", host_count=7)
    fleet.cut(0)
    assert call_many(fleet, 0, count=40) == [200] * 40
    assert forwarded_to(fleet) == {"edge-2", "edge-4", "edge-6"}


@pytest.mark.parametrize("service", KINDS)
def test_without_any_path_requests_are_refused_at_once_as_not_run(make_fleet, service):
    fleet = make_fleet(service, host_count=3)
    for host_number in range(3):
        fleet.cut(host_number)
    for host_number in range(3):
        call_many(fleet, host_number, count=3, prefix=f"first-{host_number}-")
    wait_until(
        lambda: all(
            peer.lost_services
            for _, host in fleet.hosts
            for peer in host.components.peers.roster.live_hosts()
        )
    )
    clock = system_clock()
    for host_number in range(3):
        started_ms = clock.monotonic_ms()
        status, headers, body = fleet.call_host(host_number, f"late-{host_number}")
        assert status == 503
        assert b"not-run" in body
        assert "retry-after" in headers
        assert clock.monotonic_ms() - started_ms < 200.0
    assert not fleet.runs


def test_a_body_a_key_and_headers_pass_unchanged(make_fleet):
    fleet = make_fleet("once")
    fleet.cut(0)
    call_many(fleet, 0, count=2, prefix="first")
    body = bytes(range(256)) * 300
    status, _, answer = fleet.call_host(
        0, "a1", path="x/%2F?q=1&r=%20", body=body, headers="X-Own: 1\r\nX-Own: 2\r\n"
    )
    assert (status, answer) == (200, body)
    request = fleet.runs[-1]
    assert request["target"] == "/once/x/%2F?q=1&r=%20"
    assert request["headers"]["x-tenant"] == "account-a"
    assert request["headers"]["x-own"] == "1, 2"
    assert "authorization" not in request["headers"]
    assert not [name for name in request["headers"] if name.startswith("forwarded")]
    assert int(request["headers"]["x-deadline-ms"]) <= 3_000
    assert fleet.call_host(0, "a2", key="other")[0] == 401


def test_a_request_that_may_have_run_once_is_not_repeated_when_the_hop_breaks(
    make_fleet,
):
    fleet = make_fleet("once", host_count=4)
    fleet.cut(0)
    call_many(fleet, 0, count=3, prefix="first")
    fleet.runs.clear()

    def crash(request, _sock):
        fleet.runs.append(request)
        return "close"

    for server in fleet.servers.values():
        server.respond = crash
    status, _, body = fleet.call_host(0, "a1")
    assert status == 502
    assert b"may-have-run" in body
    assert len(fleet.runs) == 1


def test_a_broken_hop_is_a_broken_answer(make_fleet):
    fleet = make_fleet("engine")
    fleet.cut(0)
    call_many(fleet, 0, count=3, prefix="first")

    def break_off(request, sock):
        sock.sendall(stream_head(request) + event(1))
        return "close"

    for server in fleet.servers.values():
        server.respond = break_off
    assert fleet.call_host(0, "a1")[::2] == (200, None)


@pytest.mark.parametrize("mark", ["", "wrong", "callers-port"])
def test_callers_cannot_forward(make_fleet, mark):
    fleet = make_fleet("plain", host_count=2)
    settings, host = fleet.hosts[1]
    start = host.components.peers.roster.own_card.boot_id
    headers = f"Forwarded-To-Start: {mark}\r\nForwarded-Time-Left-Ms: 900\r\n"
    if mark == "callers-port":
        headers = headers.replace(mark, start)
    else:
        settings = settings._replace(caller_address=settings.peer_address)
    fleet.settings = settings
    status, _, _ = fleet.call("/forward/plain/", headers=headers)
    assert status in (404, 503)
    assert not fleet.runs


def test_a_path_to_one_service_of_a_host_is_lost_alone(make_fleet):
    fleet = make_fleet("plain", host_count=2)
    fleet.cut(0, servers=["s0", "s1", "s2"])
    assert call_many(fleet, 0) == [200] * REQUEST_COUNT
    wait_until(lambda: not fleet.hosts[0][1].components.paths.lost_services())
    fleet.runs.clear()
    assert call_many(fleet, 0, prefix="b") == [200] * REQUEST_COUNT


@pytest.mark.parametrize("how", ["refused", "hanging"])
def test_a_host_whose_path_is_back_serves_itself_again(make_fleet, how):
    fleet = make_fleet("plain")
    fleet.cut(0, how)
    assert call_many(fleet, 0) == [200] * REQUEST_COUNT
    assert fleet.events_named("path_lost")
    fleet.heal(0)
    wait_until(lambda: fleet.events_named("path_regained"))
    forwarded_count = len(fleet.events_named("request_forwarded"))
    assert call_many(fleet, 0, prefix="b") == [200] * REQUEST_COUNT
    assert len(fleet.events_named("request_forwarded")) == forwarded_count
    servers = {r["headers"]["x-expect-instance"] for r in fleet.runs[-REQUEST_COUNT:]}
    assert len(servers) > 1


def test_a_stopping_host_is_passed_over(make_fleet):
    fleet = make_fleet("once", host_count=4)
    fleet.cut(0)
    # Host 2 is the only other one of the zone.
    tracker = fleet.hosts[2][1].components.request_tracker
    tracker.begin_drain(system_clock().monotonic_ms() - 60_000.0)
    assert call_many(fleet, 0) == [200] * REQUEST_COUNT
    assert forwarded_to(fleet) <= {"edge-1", "edge-3"}


def make_guard(refusing):
    """Return a guard to which the servers of these ids refuse connections."""
    fleet = Fleet(["z1"] * SERVER_COUNT)
    addresses = {fleet.server(server_id).address for server_id in refusing}
    clock = fleet.clock.as_clock()
    guard = PartGuard(
        GuardDependencies(
            fleet.catalogue, addresses.__contains__, clock, random.Random(1), list
        )
    )
    return guard, fleet


@pytest.mark.parametrize(
    ("refusing", "is_crash"),
    [
        (["e1"], True),
        (["e1", "e2"], True),
        (["e2"], False),
        (["e1", "e2", "e3", "e4"], False),
    ],
)
def test_a_host_without_a_path_takes_no_broken_connection_for_a_crash(
    refusing, is_crash
):
    guard, fleet = make_guard(refusing)
    assert guard.has_crashed(fleet.server("e1")) == is_crash


def test_answers_on_old_connections_do_not_prove_a_path_for_new_ones(make_fleet):
    fleet = make_fleet("plain", host_count=2)
    host = fleet.hosts[0][1]
    number = 0
    # Calls go to the servers of the host's own zone.
    while not all(fleet.servers[name].calls("/plain/") for name in ("s0", "s2")):
        number += 1
        assert number <= 200
        call_many(fleet, 0, count=1, prefix=f"a{number}-")
    server = host.components.catalogue.servers_of("plain")[0].server
    host.components.paths.record_unreachable(server)
    # The call goes over a kept connection of another server.
    call_many(fleet, 0, count=1, prefix="b")
    other = host.components.catalogue.servers_of("plain")[1].server
    host.components.paths.record_unreachable(other)
    assert host.components.paths.lost_services() == ["plain"]


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_in_flight_at_the_cut_goes_on_through_another_host(
    make_fleet, version
):
    fleet = make_fleet("engine")
    events = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

    def respond(server_id, request, sock):
        if "x-attempt-id" not in request["headers"]:
            EdgeFleet.answer_own_call(fleet, server_id, sock)
            return None
        if "last-event-id" in request["headers"]:
            sock.sendall(stream_head(request) + event(2) + STREAM_END)
            return None
        fleet.cut(0)
        if version == "v2":
            replace_versions(fleet, server_id)
        sock.sendall(stream_head(request) + event(1))
        return "close"

    for server_id, server in fleet.servers.items():
        server.respond = functools.partial(respond, server_id)
    document = publication({"engine": "streaming"}, version=2)
    document["routes"][0] |= {"stream_resume": True, "max_attempts": 4}
    fleet.store.put("op/config", document)
    wait_until(lambda: all(has_version(host, 2) for _, host in fleet.hosts))
    status, headers, body = fleet.call_host(0, "a1")
    assert status == 200
    assert headers["x-response-seal"] == "s"
    assert body == (events if version == "v1" else None)
    assert bool(forwarded_to(fleet)) == (version == "v1")


def has_version(host, version):
    return host.components.catalogue.publication.version == version


def replace_versions(fleet, server_id):
    """Give all other servers another version, and let this one leave."""
    for _, host in fleet.hosts:
        catalogue = host.components.catalogue
        for other in fleet.servers:
            record = catalogue.find_server(other)
            is_leaving = other == server_id
            version = "v1" if is_leaving else "v2"
            server = record.server._replace(
                software_version=version, is_leaving=is_leaving
            )
            catalogue._records[other] = record._replace(server=server)


def test_a_call_that_may_have_run_at_another_host_is_not_refused_as_not_run(make_fleet):
    fleet = make_fleet("plain", host_count=3)
    fleet.cut(0)
    call_many(fleet, 0, count=3, prefix="first")
    fleet.runs.clear()
    for _, host in fleet.hosts[1:]:
        host.components.servers.peers.application = break_off_after_reading
    status, _, body = fleet.call_host(0, "a1")
    assert status == 502
    assert b"may-have-run" in body


def break_off_after_reading(environ, _start_response):
    environ["wsgi.input"].read()
    raise ConnectionResetError(104, "the host has ended")


@pytest.mark.parametrize(
    ("code", "is_lost"), [("", False), ("not_sent", False), ("unreachable", True)]
)
def test_a_check_proves_a_path_also_without_a_permit(code, is_lost):
    fleet = Fleet(["z1", "z1"])

    def check(_server):
        if code:
            raise BackendError("no answer", RunVerdict.NOT_RUN, code)

    clock = fleet.clock.as_clock()
    paths = PathWatch(PathDependencies(fleet.catalogue, check, clock, discard_event))
    for server_id in ("e1", "e2"):
        paths.record_unreachable(fleet.server(server_id))
    assert paths.lost_services() == ["engine"]
    paths.check_lost()
    assert bool(paths.lost_services()) == is_lost


def test_a_service_without_servers_has_no_lost_path():
    fleet = Fleet(["z1"])
    clock = fleet.clock.as_clock()
    paths = PathWatch(PathDependencies(fleet.catalogue, list, clock, discard_event))
    paths.record_unreachable(fleet.server("e1"))
    assert paths.is_lost("engine")
    fleet.catalogue.mark_leaving("e1", "test")
    paths.check_lost()
    assert not paths.is_lost("engine")


def test_a_request_that_has_crashed_all_servers_of_its_service_is_blamed():
    guard, fleet = make_guard(["e1", "e2", "e3", "e4"])
    entry = {"service": "plain", "address": "10.0.1.1:80", "zone": "z1"}
    entry |= {"version": "v1", "state": "ready", "slot_count": 8}
    item = StoreItem("servers/p1", 99, json.dumps(entry).encode())
    fleet.catalogue.apply([item], 99, "test")
    assert guard.has_crashed(fleet.server("e1"))
