"""Hosts that start while one of their addresses is still in use."""

import errno
import os
import sys
from pathlib import Path

import pytest
from gevent import subprocess

import gypsumfield
from door_host import EdgeProcess
from gypsumfield.adapters.listening import ADDRESS_WAIT_MS
from gypsumfield.adapters.listening import start_listening
from gypsumfield.clock import ManualClock
from gypsumfield.commands.edge import EXIT_ADDRESS_UNUSABLE
from gypsumfield.exceptions import ListenError


class Address:
    """An address that can be opened from the given attempt on."""

    def __init__(self, free_attempt, error_number=errno.EADDRINUSE):
        self.free_attempt = free_attempt
        self.error_number = error_number
        self.attempt_count = 0

    def start(self):
        self.attempt_count += 1
        if self.attempt_count < self.free_attempt:
            raise OSError(self.error_number, "no")


def listen(address):
    clock = ManualClock()
    events = []
    try:
        start_listening(address.start, "127.0.0.1:80", clock.as_clock(), events.append)
    finally:
        assert clock.now_ms <= ADDRESS_WAIT_MS + 100.0
    return events


def test_an_address_that_becomes_free_is_waited_for():
    address = Address(free_attempt=10)
    assert [event.address for event in listen(address)] == ["127.0.0.1:80"]
    assert address.attempt_count == 10


@pytest.mark.parametrize(
    ("error_number", "attempt_limit"), [(errno.EADDRINUSE, 60), (errno.EACCES, 1)]
)
def test_an_address_that_cannot_be_used_is_named(error_number, attempt_limit):
    address = Address(1_000, error_number)
    with pytest.raises(ListenError, match=r"127\.0\.0\.1:80"):
        listen(address)
    assert address.attempt_count <= attempt_limit


def start_again(host):
    """Start the same host once more, beside the process that uses its addresses."""
    program = Path(gypsumfield.__file__).parent.parent / "edge.py"
    return subprocess.Popen(
        [sys.executable, str(program)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"GYPSUMFIELD_NODE_FILE": str(host.settings_path)},
    )


# Guards against a traceback instead of an error that names the address.
def test_a_second_process_on_the_same_addresses_ends_with_an_error(tmp_path):
    host = EdgeProcess(tmp_path)
    second = start_again(host)
    try:
        output, errors = second.communicate(timeout=20)
        assert second.returncode == EXIT_ADDRESS_UNUSABLE
        assert b"address_in_use" in output
        assert errors.startswith(b"gypsumfield-edge: cannot listen on 127.")
        assert errors.count(b"\n") == 1
        assert host.ordinary_status() == 200
    finally:
        second.kill()
        host.end()


# Guards against a host that does not come back because its last process ended late.
def test_a_host_that_starts_before_its_last_process_has_ended_serves(tmp_path):
    host = EdgeProcess(tmp_path)
    second = start_again(host)
    try:
        assert b"address_in_use" in second.stdout.readline()
        host.process.kill()
        host.process.wait()
        assert host.serves_soon()
        assert second.poll() is None
    finally:
        second.kill()
        second.wait()
        host.end()
