"""Odd entries in the answers of the platform's service, on /v1."""

import json

import pytest
from gevent.pywsgi import WSGIServer

from gypsumfield.adapters.platform import PlatformClient
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.decoding import cut_nesting
from gypsumfield.envelopes import encode_message
from gypsumfield.messages import ValuesDelta

SOUND_HOST = {
    "host_id": "engine-1",
    "role": "backend",
    "availability_zone": "manta",
    "address": "127.0.0.1:80",
}
SOUND_VALUE = {"status": "in"}
NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "number": b"7",
    "null": b"null",
    "list": b"[]",
    "infinite": b'{"status":1e999}',
    "integer-above-64-bits": b'{"status":%d}' % 2**70,
    "integer-of-any-length": b'{"status":' + b"9" * 5_000 + b"}",
    "no-utf-8": b'{"status":"\xff"}',
    "nested": NESTED,
}
ODD_HOSTS = {
    **ODD_VALUES,
    "no-fields": b"{}",
    "unknown-role": json.dumps({**SOUND_HOST, "role": "odd"}).encode(),
    "services-number": json.dumps({**SOUND_HOST, "services": 7}).encode(),
}


class FakePlatform:
    """Platform whose answers are written by the test."""

    def __init__(self):
        self.body = b""
        self.server = WSGIServer(("127.0.0.1", 0), self.serve, log=None, error_log=None)
        self.server.start()
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def serve(self, _environ, start_response):
        start_response("200 OK", [("Content-Type", "application/json")])
        return [self.body]


@pytest.fixture
def platform():
    fake_platform = FakePlatform()
    yield fake_platform
    fake_platform.server.stop(timeout=0)


# Guards against a fleet that learns of no host and no value, because of one odd entry.
@pytest.mark.parametrize("odd", ODD_HOSTS.values(), ids=ODD_HOSTS)
def test_an_odd_host_is_left_out_and_logged_once(platform, odd):
    logged = []
    client = PlatformClient(platform.url, lambda *rejected: logged.append(rejected))
    sound = json.dumps(SOUND_HOST).encode()
    platform.body = b'{"version":1,"hosts":[%s,%s]}' % (odd, sound)
    for _ in range(3):
        assert [host.host_id for host in client.fetch_members().hosts] == ["engine-1"]
    assert len(logged) == 1


def test_many_odd_hosts_are_logged_in_part(platform):
    logged = []
    client = PlatformClient(platform.url, lambda *rejected: logged.append(rejected))
    hosts = [{**SOUND_HOST, "host_id": f"a b{n}", "role": "odd"} for n in range(300)]
    platform.body = json.dumps({"version": 1, "hosts": hosts}).encode()
    assert client.fetch_members().hosts == ()
    assert 0 < len(logged) < 30
    assert logged[0][0] == "a b0"


@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_value_is_rejected_and_the_others_reach_all_hosts(platform, odd):
    sound = json.dumps(SOUND_VALUE).encode()
    platform.body = b'{"revision":3,"values":{"%s":%s,"%s":%s}}' % (
        b"availability_zones/a",
        odd,
        b"availability_zones/b",
        sound,
    )
    delta = PlatformClient(platform.url).fetch_values(0, 0.0)
    store = ConfigurationStore()
    assert store.apply(0, delta)
    assert set(store.current.zones) == {"b"}
    message = ValuesDelta(revision=delta.revision, values=delta.values)
    assert encode_message("h1", "boot", 1, 0, message)


@pytest.mark.parametrize("key", [b"\\ud800", b"\xff", b"a b", b"&+#%"])
def test_a_value_under_an_odd_key_leaves_the_others_in_force(platform, key):
    sound = json.dumps(SOUND_VALUE).encode()
    platform.body = b'{"revision":3,"values":{"odd/%s":{},"%s":%s}}' % (
        key,
        b"availability_zones/b",
        sound,
    )
    store = ConfigurationStore()
    assert store.apply(0, PlatformClient(platform.url).fetch_values(0, 0.0))
    assert set(store.current.zones) == {"b"}


def test_what_is_nested_too_deeply_is_cut_and_the_rest_kept():
    deep = b'{"a":"[\\"[",' + b'"b":' + NESTED + b',"c":[{"d":1}]}'
    document = json.loads(cut_nesting(deep))
    assert (document["a"], document["c"]) == ('["[', [{"d": 1}])
    assert cut_nesting(b'{"c":[{"d":1}]}') == b'{"c":[{"d":1}]}'
