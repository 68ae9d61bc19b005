"""Runs an experiment: sends its requests to entry hosts and applies its faults."""

import random
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

import gevent
import msgspec
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.engine_api import LoadReport
from gypsumfield.exceptions import SettingsError
from gypsumfield.load.arrivals import plan_requests
from gypsumfield.load.arrivals import PlannedRequest
from gypsumfield.load.client import send_request
from gypsumfield.load.experiment import account_key
from gypsumfield.load.experiment import BackendFault
from gypsumfield.load.experiment import Experiment
from gypsumfield.load.experiment import Fault
from gypsumfield.load.experiment import PlatformFault
from gypsumfield.load.experiment import published_values
from gypsumfield.load.experiment import ValueFault
from gypsumfield.load.recorder import Recorder
from gypsumfield.load.results import FaultRecord
from gypsumfield.load.results import LoadResult

IN_FLIGHT_LIMIT = 5_000
PROGRESS_INTERVAL_MS = 5_000.0
CALL_TIMEOUT_MS = 10_000.0
CONFIGURATION_TIMEOUT_MS = 30_000.0
REVISION_POLL_INTERVAL_MS = 100.0


class FleetHost(msgspec.Struct, frozen=True):
    """One host in the description of a running fleet."""

    host_id: str
    url: str
    availability_zone: str = ""
    service: str = ""


class Fleet(msgspec.Struct, frozen=True):
    """A running fleet, in the form that ``gypsumfield-local`` prints when ready.

    Attributes:
        entry_hosts: Entry hosts that receive the requests.
        platform: URL of the platform stand-in; empty if there is none.
        backend_servers: Servers that receive faults and are queried for
            preemptions; may be empty.
    """

    entry_hosts: tuple[FleetHost, ...]
    platform: str = ""
    backend_servers: tuple[FleetHost, ...] = ()


class LoadDriver:
    """One run of one experiment against one fleet.

    Args:
        experiment: The experiment to run.
        fleet: The fleet that receives the requests.
        clock: Monotonic clock.
        report_progress: Called with a line of text every `PROGRESS_INTERVAL_MS` and
            after each fault.
    """

    def __init__(
        self,
        experiment: Experiment,
        fleet: Fleet,
        clock: Clock,
        report_progress: Callable[[str], None],
    ) -> None:
        self._experiment = experiment
        self._fleet = fleet
        self._clock = clock
        self._report_progress = report_progress
        self._recorder = Recorder(experiment)
        self._faults: list[FaultRecord] = []
        self._rng = random.Random(experiment.seed)
        self._start_ms = 0.0
        self._pool = Pool(IN_FLIGHT_LIMIT)
        self._keys = {
            account.name: account_key(experiment, account.name)
            for account in experiment.accounts
        }

    def run(self) -> LoadResult:
        """Publish the values, send all requests and wait for their answers.

        Raises:
            SettingsError: The platform refused a value of the experiment, or an entry
                host did not adopt the values within `CONFIGURATION_TIMEOUT_MS`.
        """
        self._publish_values()
        self._clock.sleep_ms(self._experiment.warm_up_ms)
        count_before = self._query_preemption_total()
        self._start_ms = self._clock.monotonic_ms()
        background_greenlets = [
            gevent.spawn(self._apply_faults),
            gevent.spawn(self._report_progress_periodically),
        ]
        try:
            self._send_all()
            self._pool.join(timeout=self._experiment.drain_ms / MS_PER_S)
            self._pool.kill()
        finally:
            gevent.killall(background_greenlets)
        count_after = self._query_preemption_total()
        preemption_count = (
            None
            if count_before is None or count_after is None
            else count_after - count_before
        )
        return self._recorder.result(
            len(self._fleet.entry_hosts), preemption_count, self._faults
        )

    def _now_ms(self) -> float:
        return self._clock.monotonic_ms() - self._start_ms

    def _send_all(self) -> None:
        for number, request in enumerate(plan_requests(self._experiment)):
            wait_ms = request.at_ms - self._now_ms()
            if wait_ms > 0:
                self._clock.sleep_ms(wait_ms)
            self._pool.spawn(self._send, number, request)

    def _send(self, number: int, request: PlannedRequest) -> None:
        urls = [host.url for host in self._fleet.entry_hosts]
        self._rng.shuffle(urls)
        is_within_rate = self._recorder.record_sent(request, self._now_ms())
        key = self._keys[request.account.name]
        outcome = send_request(request, number, key, urls)
        self._recorder.record_ended(request, is_within_rate, outcome, self._now_ms())

    def _publish_values(self) -> None:
        if not self._fleet.platform:
            return
        for key, value in published_values(self._experiment).items():
            status, body = _put(f"{self._fleet.platform}/standin/values/{key}", value)
            if status != 200:
                raise SettingsError(f"platform refused {key}: {status} {body[:200]!r}")
        revision = int(msgspec.json.decode(body)["revision"])
        self._wait_until_in_force(revision)

    def _wait_until_in_force(self, revision: int) -> None:
        deadline_ms = self._clock.monotonic_ms() + CONFIGURATION_TIMEOUT_MS
        for host in self._fleet.entry_hosts:
            while _query_revision(host.url) < revision:
                if self._clock.monotonic_ms() > deadline_ms:
                    raise SettingsError(
                        f"{host.host_id}: configuration revision {revision} "
                        "is not in force"
                    )
                self._clock.sleep_ms(REVISION_POLL_INTERVAL_MS)

    def _apply_faults(self) -> None:
        for fault in sorted(self._experiment.faults, key=lambda fault: fault.at_ms):
            self._clock.sleep_ms(max(0.0, fault.at_ms - self._now_ms()))
            url, value = self._fault_request(fault)
            try:
                status, _ = _put(url, value)
            except OSError:
                status = 0
            self._faults.append(FaultRecord(self._now_ms(), fault.label, status))
            self._report_progress(f"fault: {fault.label} (status {status})")

    def _fault_request(self, fault: Fault) -> tuple[str, Any]:
        if isinstance(fault, ValueFault):
            return f"{self._fleet.platform}/standin/values/{fault.key}", fault.value
        if isinstance(fault, PlatformFault):
            return f"{self._fleet.platform}/standin/faults", {"mode": fault.mode}
        return f"{self._backend_url(fault)}/standin/faults", fault.order

    def _backend_url(self, fault: BackendFault) -> str:
        for host in self._fleet.backend_servers:
            if host.host_id == fault.host_id:
                return host.url
        raise SettingsError(
            f"fault: backend server {fault.host_id!r} is not in the fleet"
        )

    def _query_preemption_total(self) -> int | None:
        traffic = self._experiment.traffic
        services = {source.service for source in traffic if source.kind == "model"}
        engines = [
            host for host in self._fleet.backend_servers if host.service in services
        ]
        if not engines:
            return None
        try:
            return sum(_query_preemption_count(engine.url) for engine in engines)
        except (OSError, msgspec.MsgspecError):
            return None

    def _report_progress_periodically(self) -> None:
        while True:
            self._clock.sleep_ms(PROGRESS_INTERVAL_MS)
            counts = self._recorder.outcomes
            broken_count = counts.total() - counts["whole"] - counts["refused"]
            self._report_progress(
                f"{self._now_ms() / MS_PER_S:.0f} s of "
                f"{self._experiment.duration_ms / MS_PER_S:.0f} s: "
                f"{self._recorder.sent_count} sent, {counts['whole']} whole, "
                f"{counts['refused']} refused, {broken_count} broken, "
                f"{len(self._pool)} in flight"
            )


def _send_http(method: str, url: str, body: bytes = b"") -> tuple[int, bytes]:
    parts = urlsplit(url)
    timeout_s = CALL_TIMEOUT_MS / MS_PER_S
    client = HTTPClient(
        parts.hostname,
        parts.port,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    try:
        response = client.request(method, parts.path, body=body)
        return response.status_code, bytes(response.read())
    finally:
        client.close()


def _put(url: str, value: Any) -> tuple[int, bytes]:
    return _send_http("PUT", url, msgspec.json.encode(value))


def _query_revision(url: str) -> int:
    """Return the configuration revision in force; 0 if the host doesn't report it."""
    try:
        _, body = _send_http("GET", f"{url}/metrics")
    except OSError:
        return 0
    for line in body.decode().splitlines():
        if line.startswith("gypsumfield_configuration_revision "):
            return int(float(line.split()[1]))
    return 0


def _query_preemption_count(url: str) -> int:
    _, body = _send_http("GET", f"{url}/v1/load")
    return msgspec.json.decode(body, type=LoadReport).preemption_count
