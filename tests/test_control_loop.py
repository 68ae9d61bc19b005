import gevent
import pytest
import zmq
from returns.result import Success

from gypsumfield import events
from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.adapters.peers import QUEUE_LIMIT
from gypsumfield.clock import ManualClock
from gypsumfield.clock import system_clock
from gypsumfield.control_loop import ControlLoop
from gypsumfield.envelopes import encode_message
from gypsumfield.exceptions import SettingsError
from gypsumfield.messages import ValuesDigest
from gypsumfield.messages import ValuesRequest

LEASE_MS = 60_000.0


def curve_credentials():
    public_key, secret_key = zmq.curve_keypair()
    return PeerCredentials(public_key.decode(), secret_key.decode())


def start_pair(credentials):
    """Start two loops that are peers; return them, their transports and events."""
    transports = [PeerTransport("127.0.0.1", 0, keys) for keys in credentials]
    logs = [[], []]
    loops = [
        ControlLoop(f"host-{i}", f"boot-{i}", transport, system_clock(), log, LEASE_MS)
        for i, (transport, log) in enumerate(
            zip(transports, (log.append for log in logs), strict=True)
        )
    ]
    for i, transport in enumerate(transports):
        other = 1 - i
        address = transports[other].address
        assert transport.set_peer(
            f"host-{other}", address, credentials[other].public_key
        )
        loops[i].start()
    return loops, transports, logs


def wait_for(condition, timeout_s=20):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


@pytest.mark.parametrize("is_curve", [False, True])
def test_request_is_answered_and_counted(is_curve):
    credentials = [curve_credentials() if is_curve else PeerCredentials()] * 1
    credentials += [curve_credentials() if is_curve else PeerCredentials()]
    loops, _, _ = start_pair(credentials)
    loops[1].register(
        ValuesRequest,
        lambda sender, message: ValuesDigest(revision=message.after_revision + 1),
    )
    answer = loops[0].request(
        "host-1", ValuesRequest(after_revision=6), ValuesDigest, 20_000
    )
    assert answer == Success(ValuesDigest(revision=7))
    assert loops[1].boot_id_of("host-0") == "boot-0"
    assert loops[0].traffic.sent_bytes == loops[1].traffic.received_bytes > 0
    for loop in loops:
        loop.stop()


def test_frame_with_the_public_key_of_another_host_is_refused():
    loops, transports, logs = start_pair([curve_credentials(), curve_credentials()])
    received_from = []
    loops[1].register(
        ValuesDigest, lambda sender, message: received_from.append(sender)
    )
    forged = encode_message("host-9", "boot-9", 1, 0, ValuesDigest())
    transports[0].send("host-1", forged)
    wait_for(lambda: loops[1].traffic.refused_count)
    assert received_from == []
    assert "host-9" in logs[1][-1].reason
    for loop in loops:
        loop.stop()


def test_frames_with_an_unknown_public_key_are_not_received():
    loops, transports, _ = start_pair([curve_credentials(), curve_credentials()])
    transports[1].remove_peer("host-0")
    loops[0].send("host-1", ValuesDigest(revision=1))
    transports[1].set_peer("host-2", "127.0.0.1:1", "k" * 40)
    answer = loops[0].request("host-1", ValuesRequest(), ValuesDigest, 300)
    assert "no answer" in answer.failure().reason
    assert loops[1].traffic.received_count == 0
    for loop in loops:
        loop.stop()


def test_unencrypted_sockets_outside_loopback_are_refused():
    with pytest.raises(SettingsError, match="control_address 0.0.0.0"):
        PeerTransport("0.0.0.0", 0, PeerCredentials())
    with pytest.raises(SettingsError, match="control_secret_key"):
        PeerTransport("127.0.0.1", 0, PeerCredentials(public_key="k" * 40))
    transport = PeerTransport("127.0.0.1", 0, PeerCredentials())
    assert not transport.set_peer("far", "10.0.0.1:7000")
    assert not transport.send("far", b"frame")
    transport.stop()


def test_queue_to_a_dead_peer_is_bounded_and_drops_the_oldest_frame():
    transport = PeerTransport("127.0.0.1", 0, PeerCredentials())
    transport.set_peer("dead", "127.0.0.1:1")
    for i in range(QUEUE_LIMIT + 10):
        assert transport.send("dead", str(i).encode())
    waiting = transport._peers["dead"].queue
    assert (len(waiting), waiting[0]) == (QUEUE_LIMIT, b"10")
    assert transport.dropped_count == 10
    transport.stop()


def test_failing_handler_and_unknown_frames_do_not_stop_the_loop():
    loops, transports, logs = start_pair([PeerCredentials(), PeerCredentials()])
    loops[1].register(ValuesDigest, lambda sender, message: 1 / 0)
    loops[1].register(ValuesRequest, lambda sender, message: ValuesDigest(revision=3))
    transports[0].send("host-1", b"\xc1 no message")
    loops[0].send("host-1", ValuesDigest())
    answer = loops[0].request("host-1", ValuesRequest(), ValuesDigest, 20_000)
    assert answer == Success(ValuesDigest(revision=3))
    kinds = [type(event) for event in logs[1]]
    assert kinds == [
        events.ControlMessageRefused,
        events.MessageReceived,
        events.ControlHandlerFailed,
        events.MessageReceived,
        events.MessageSent,
    ]
    sent, received = (
        [
            (event.message_id, event.kind)
            for log in logs_in_order
            for event in log
            if isinstance(event, event_type)
        ]
        for logs_in_order, event_type in (
            (logs, events.MessageSent),
            (logs[::-1], events.MessageReceived),
        )
    )
    assert sent == received
    assert [kind for _, kind in sent] == [
        "ValuesDigest",
        "ValuesRequest",
        "ValuesDigest",
    ]
    for loop in loops:
        loop.stop()


def test_pause_is_detected_before_the_next_message_is_sent():
    clock = ManualClock()
    log, pauses = [], []
    transport = PeerTransport("127.0.0.1", 0, PeerCredentials())
    loop = ControlLoop("host-0", "boot", transport, clock.as_clock(), log.append, 500.0)
    loop.on_pause(pauses.append)
    clock.advance(500)
    loop.send("nobody", ValuesDigest())
    assert pauses == []
    clock.advance(501)
    loop.send("nobody", ValuesDigest())
    assert pauses == [501]
    assert log == [events.HostPaused(pause_ms=501)]
    transport.stop()


# Guards against hosts that send to no peer any more, because one entry of the member
# list has an odd address.
@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:x&y", "127.0.0.1", "127.0.0.1: 80", "127.0.0.1:http#", "::1:é"],
)
def test_a_peer_with_an_odd_address_keeps_no_frame_from_the_others(address):
    rejected = []
    transport = PeerTransport(
        "127.0.0.1", 0, PeerCredentials(), lambda *peer: rejected.append(peer)
    )
    receiver = PeerTransport("127.0.0.1", 0, PeerCredentials())
    received = []
    transport.start(lambda _frame, _key: None)
    receiver.start(lambda frame, _key: received.append(frame))
    try:
        transport.set_peer("odd", address)
        transport.set_peer("sound", receiver.address)
        for _ in range(3):
            assert not transport.send("odd", b"lost")
        assert transport.send("sound", b"frame")
        wait_for(lambda: received == [b"frame"])
        assert [host_id for host_id, _ in rejected] == ["odd"]
    finally:
        transport.stop()
        receiver.stop()
