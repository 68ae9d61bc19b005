"""Crowds of clients with bodies do not use up the memory of a host for ``/v1``."""

import contextlib
import json

import gevent
import pytest

from door_host import HostProcess
from door_host import ORDINARY_LIMIT_S
from door_host import send_crowd
from httpcalls import call
from processes import program
from processes import ZONE
from small_fleet import base_values
from small_fleet import KEY
from small_fleet import wait_for

pytestmark = pytest.mark.exclusive

# The default of the setting `memory_mb`.
MEMORY_MB = 128.0
SECONDS = 3.0
MB = 1_048_576
LIMIT_BYTES = MB
SHORT_CHUNKS = b"2\r\nzz\r\n" * 8_191


def many_members():
    message = b'{"role":"a","content":""},'
    count = (LIMIT_BYTES - 200) // len(message)
    return b'{"model":"assistant","messages":[' + message * count + b'{"role":"a"}]}'


def head(path, length):
    framing = f"Content-Length: {length}" if length else "Transfer-Encoding: chunked"
    return (
        f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


CROWDS = {
    "one byte short": (
        120,
        head("/v1/completions", LIMIT_BYTES) + b"z" * (LIMIT_BYTES - 1),
    ),
    "one byte short, plain": (
        120,
        head("/services/ledger/prices", LIMIT_BYTES) + b"z" * (LIMIT_BYTES - 1),
    ),
    "one byte short in chunks": (
        300,
        head("/v1/completions", 0) + SHORT_CHUNKS + b"2\r\nz",
    ),
    "many members": (
        40,
        head("/v1/chat/completions", len(many_members())) + many_members(),
    ),
    "many unknown members": (
        40,
        head("/v1/completions", LIMIT_BYTES) + b'{"a":0,' * (LIMIT_BYTES // 7) + b"}",
    ),
    "no route": (120, head("/v2", LIMIT_BYTES) + b"z" * (LIMIT_BYTES - 1)),
    "health": (120, head("/healthz", LIMIT_BYTES) + b"z" * (LIMIT_BYTES - 1)),
}


@pytest.fixture
def host(tmp_path):
    with contextlib.ExitStack() as stack:

        def run(name, file_name, settings):
            path = tmp_path / f"{file_name}.json"
            path.write_text(json.dumps(settings))
            return stack.enter_context(program(name, "--settings", str(path)))

        values = base_values([ZONE])
        platform = run(
            "gypsumfield-standin", "platform", {"kind": "platform", "values": values}
        )
        ledger = run("gypsumfield-standin", "plain", {"kind": "plain"})
        entry = run(
            "gypsumfield-entry",
            "entry",
            {
                "host_id": "entry-0",
                "availability_zone": ZONE,
                "hold_down_ms": 2_400.0,
                "lease_ms": 1_200.0,
                "platform_url": platform.ready["url"],
                "log_path": str(tmp_path / "entry.log"),
            },
        )
        members = [
            member("ledger-0", "backend", ledger) | {"services": ["ledger"]},
            member("entry-0", "entry", entry)
            | {name: entry.ready[name] for name in ("boot_id", "control_address")},
        ]
        url = f"{platform.ready['url']}/standin/members"
        assert call("PUT", url, {"hosts": members}).status == 200
        address = entry.ready["url"].removeprefix("http://")
        host = HostProcess(entry.process, {"front": address})
        wait_for(lambda: ordinary_status(host) == 200)
        yield host


def member(host_id, role, started):
    return {
        "host_id": host_id,
        "role": role,
        "availability_zone": ZONE,
        "address": started.ready["url"].removeprefix("http://"),
    }


def ordinary_status(host):
    url = f"http://{host.addresses['front']}/services/ledger/prices"
    with contextlib.suppress(OSError):
        return call("GET", url, b"", {"Authorization": f"Bearer {KEY}"}).status


# Guards against a process that ends because callers' bodies use up its memory.
@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_of_bodies_stays_within_the_memory(host, crowd):
    count, data = CROWDS[crowd]
    send_crowd(host, "front", count, lambda sock: sock.sendall(data), SECONDS)
    assert host.is_alive()
    assert host.peak_mb <= MEMORY_MB
    with gevent.Timeout(ORDINARY_LIMIT_S):
        while ordinary_status(host) != 200:
            gevent.sleep(0.2)
