"""A small fleet inside the test's process, on ephemeral ports."""

import contextlib
import hashlib
import json
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import gevent

from gypsumfield.clock import system_clock
from gypsumfield.composition import build_entry_host
from gypsumfield.control_plane import ControlPlane
from gypsumfield.entry_host import EntryHost
from gypsumfield.events import Event
from gypsumfield.settings import EntrySettings
from gypsumfield.standins.engine import EngineSettings
from gypsumfield.standins.engine import EngineStandin
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.plain import PlainStandin
from gypsumfield.standins.platform import PlatformSettings
from gypsumfield.standins.platform import PlatformStandin
from httpcalls import Answer
from httpcalls import call

WAIT_LIMIT_S = 20.0
FILL_S = 0.3
ZONES = ("manta", "salinas")
KEY = "carts-key-0001"
OTHER_KEY = "office-key-0002"


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def wait_for(condition, limit_s: float = WAIT_LIMIT_S) -> None:
    with gevent.Timeout(limit_s, AssertionError("the condition did not come true")):
        while not condition():
            gevent.sleep(0.01)


def base_values(zones: Sequence[str] = ZONES) -> dict[str, Any]:
    account = {"rate_per_s": 1_000, "burst": 1_000, "services": ["assistant", "ledger"]}
    return {
        **{f"availability_zones/{zone}": {"status": "in"} for zone in zones},
        "client_accounts/carts": account | {"key_digests": [digest(KEY)]},
        "client_accounts/office": account
        | {"key_digests": [digest(OTHER_KEY)], "services": ["assistant"]},
        "profiles/briefing": {"stall_timeout_ms": 400, "deadline_ms": 20_000},
        "profiles/ledger": {"stall_timeout_ms": 400, "deadline_ms": 5_000},
        "services/assistant": {"kind": "model", "profile": "briefing"},
        "services/ledger": {
            "kind": "plain",
            "profile": "ledger",
            "open_routes": ["GET /prices"],
            "idempotent_routes": ["GET /balances/{cart}", "GET /prices"],
        },
        "cursor_keys/a": {"secret": "11" * 32, "is_current": True},
    }


class SmallFleet:
    """Platform, backend servers and entry hosts, two zones."""

    def __init__(self, entry_count: int, engine: EngineModelSettings) -> None:
        self.events: list[Event] = []
        # Every zone has entry hosts of its own, as on real fleets.
        self.zones = list(ZONES[:entry_count])
        values = base_values(self.zones)
        self.platform = PlatformStandin(PlatformSettings(values=values))
        self.platform.start()
        self.engines = [EngineStandin(EngineSettings(engine=engine)) for _ in range(2)]
        self.ledgers = [PlainStandin() for _ in range(2)]
        for standin in (*self.engines, *self.ledgers):
            standin.start()
        self.states = {f"engine-{i}": "live" for i in range(2)}
        self.states |= {f"ledger-{i}": "live" for i in range(2)}
        self.hosts: list[EntryHost] = []
        self.urls: list[str] = []
        self.publish_members()
        self.hosts = [self.add_host(f"entry-{i}", i) for i in range(entry_count)]
        self.urls = [host.start() for host in self.hosts]
        self.publish_members()
        for url in self.urls:
            wait_for(lambda url=url: call("GET", f"{url}/readyz").status == 200)
            wait_for(lambda url=url: self.knows_all(url))
        wait_for(self.is_share_whole)
        # A new host's buckets are empty and fill from now on.
        gevent.sleep(FILL_S)

    def knows_all(self, url: str) -> bool:
        members = self.status(url)["members"].values()
        return sum(map(len, members)) == len(self.hosts)

    def is_share_whole(self) -> bool:
        return sum(self.status(url)["shares"]["carts"] for url in self.urls) > 0.999

    def add_host(self, host_id: str, number: int) -> EntryHost:
        settings = EntrySettings(
            host_id=host_id,
            availability_zone=self.zones[number % len(self.zones)],
            platform_url=self.platform.url,
            seed=number,
            drain_notice_ms=20.0,
            hold_down_ms=2_400.0,
            lease_ms=1_200.0,
        )
        return build_entry_host(settings, system_clock(), self.events.append)

    def publish_members(self) -> None:
        hosts = [
            {
                "host_id": f"{service}-{i}",
                "role": "backend",
                "availability_zone": self.zones[i % len(self.zones)],
                "address": standin.url.removeprefix("http://"),
                "state": self.states[f"{service}-{i}"],
                "services": ["assistant" if service == "engine" else "ledger"],
            }
            for service, standins in (
                ("engine", self.engines),
                ("ledger", self.ledgers),
            )
            for i, standin in enumerate(standins)
        ]
        hosts += [
            {
                "host_id": host.settings.host_id,
                "role": "entry",
                "availability_zone": host.settings.availability_zone,
                "address": url.removeprefix("http://"),
                "boot_id": host.identity.boot_id,
                "control_address": host.identity.control_address,
            }
            for host, url in zip(self.hosts, self.urls, strict=True)
        ]
        answer = call("PUT", f"{self.platform.url}/standin/members", {"hosts": hosts})
        assert answer.status == 200, answer

    def standins(self) -> dict[str, Any]:
        return {"engine": self.engines, "ledger": self.ledgers}

    def publish(self, key: str, value: Any) -> int:
        url = f"{self.platform.url}/standin/values/{key}"
        answer = call("PUT", url, json.dumps(value).encode())
        assert answer.status == 200, answer
        return answer.json["revision"]

    def publish_and_wait(self, key: str, value: Any) -> None:
        revision = self.publish(key, value)
        for url in self.urls:
            wait_for(
                lambda url=url: self.status(url)["configuration_revision"] >= revision
            )

    def control_plane(self, host_number: int) -> ControlPlane:
        watches = self.hosts[host_number]._watches
        return next(watch for watch in watches if isinstance(watch, ControlPlane))

    def status(self, url: str) -> Any:
        return call("GET", f"{url}/statusz").json

    def runs(self, standin) -> Any:
        return call("GET", f"{standin.url}/standin/runs").json

    def engine_runs(self) -> dict[str, Any]:
        return {
            name: run
            for engine in self.engines
            for name, run in self.runs(engine)["generations"].items()
        }

    def ledger_runs(self, route: str) -> int:
        return sum(self.runs(one)["runs"].get(route, 0) for one in self.ledgers)

    def stop(self) -> None:
        for host in self.hosts:
            host.stop()
        for standin in (*self.engines, *self.ledgers, self.platform):
            standin.stop()


@contextlib.contextmanager
def small_fleet(
    entry_count: int = 1, engine: EngineModelSettings | None = None
) -> Iterator[SmallFleet]:
    fleet = SmallFleet(entry_count, engine or EngineModelSettings(step_base_ms=2.0))
    try:
        yield fleet
    finally:
        fleet.stop()


def bearer(key: str = KEY) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def complete(url: str, prompt: str, key: str = KEY, **more: Any) -> Answer:
    body = {"model": "assistant", "prompt": prompt} | more
    return call("POST", f"{url}/v1/completions", body, bearer(key))


def complete_with_retries(url: str, prompt: str, **more: Any) -> Answer:
    """Complete as a caller does that comes back when it is told to."""
    with gevent.Timeout(WAIT_LIMIT_S, AssertionError("the caller was never served")):
        while True:
            answer = complete(url, prompt, **more)
            if answer.status not in (429, 503):
                return answer
            assert answer.json["error"]["run"] == "not-run", answer
            gevent.sleep(float(answer.headers["retry-after"]))


class StreamEvent:
    """One server-sent event of an answer."""

    def __init__(self, block: str) -> None:
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        self.cursor = fields.get("id", "")
        self.kind = fields.get("event", "message")
        self.data = fields["data"]

    @property
    def choice(self) -> Any:
        return json.loads(self.data)["choices"][0]

    @property
    def text(self) -> str:
        return self.choice["text"]


def stream_events(body: bytes) -> list[StreamEvent]:
    blocks = body.decode().split("\n\n")
    return [StreamEvent(block) for block in blocks if block]


def stream_text(events: list[StreamEvent]) -> str:
    return "".join(
        event.choice["text"]
        for event in events
        if event.data != "[DONE]" and event.kind == "message"
    )


def expected_text(token_count: int) -> str:
    return "".join(f"w{i} " for i in range(1, token_count + 1))
