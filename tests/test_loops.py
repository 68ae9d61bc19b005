"""Loops of a host that go on after an unexpected error."""

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.loops import run_forever


class Mishap:
    """Replaces a function; raises an error a number of times, then calls it."""

    def __init__(self, function, count=2):
        self.function = function
        self.remaining = count
        self.calls = 0

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.remaining > 0:
            self.remaining -= 1
            raise RecursionError("nested too deeply")
        return self.function(*args, **kwargs)


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet({"plain": "idempotent", "engine": "streaming"})
    edge_fleet.publish()
    edge_fleet.add_server(
        "plain", "s1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    edge_fleet.start()
    yield edge_fleet
    edge_fleet.stop()


# Name of the loop; the part of the host and the function that it calls in each round.
LOOPS = {
    "store follower": lambda parts: (parts.catalogue, "apply"),
    "peer sender": lambda parts: (parts.peers, "send_updates"),
    "peer receiver": lambda parts: (parts.peers, "handle_datagram"),
    "engine reports": lambda parts: (parts.report_poller, "_servers_to_query"),
    "run protection": lambda parts: (parts.protector, "check_leaving_engines"),
    "maintenance": lambda parts: (parts.catalogue, "remove_expired"),
}


def send_garbage(fleet):
    with gevent.socket.socket(
        gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM
    ) as sender:
        sender.sendto(b"x", ("127.0.0.1", fleet.news_port))


@pytest.mark.parametrize("name", LOOPS)
def test_an_error_ends_no_loop_of_an_edge_host(fleet, name):
    part, attribute = LOOPS[name](fleet.host.components)
    mishap = Mishap(getattr(part, attribute))
    setattr(part, attribute, mishap)
    version = 1

    def provoke():
        nonlocal version
        version += 1
        fleet.publish(version=version)
        send_garbage(fleet)
        gevent.sleep(0.1)
        return mishap.calls >= 4

    wait_until(provoke)
    failures = [e for e in fleet.events_named("loop_failed") if e.loop == name]
    assert len(failures) == 1
    assert "nested too deeply" in failures[0].reason
    wait_until(
        lambda: fleet.host.components.catalogue.publication.version == version, 5.0
    )
    assert fleet.call("/plain/")[0] == 200


def test_a_loop_that_fails_in_each_round_is_paused_and_logged_seldom():
    calls, events = [], []

    def fail():
        calls.append(1)
        raise OSError("gone")

    loop = gevent.spawn(run_forever, "test", fail, system_clock(), events.append)
    gevent.sleep(1.0)
    loop.kill()
    assert 3 <= len(calls) <= 8
    assert len(events) == 1


def test_the_end_of_a_loop_by_its_owner_is_no_error():
    events = []
    wait = gevent.event.Event()
    loop = gevent.spawn(run_forever, "test", wait.wait, system_clock(), events.append)
    gevent.sleep(0.05)
    loop.kill()
    assert loop.dead
    assert events == []
