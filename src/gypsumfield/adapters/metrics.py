"""Metrics of one entry host in the Prometheus text format.

Durations are recorded in HdrHistograms, one for each metric and profile. No label has
values from callers or client accounts, so that the memory is bounded.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.core import Metric

from gypsumfield import events
from gypsumfield.interfaces import EmitEvent

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

HIGHEST_TIME_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
US_PER_MS = 1_000
BUCKET_BOUNDS_MS = (
    *(1, 2, 5, 10, 20, 35, 47, 70, 100, 200, 350, 500, 780),
    *(1_000, 2_000, 5_000, 10_000, 30_000, 60_000, 600_000),
)
QUANTILES = (0.5, 0.95, 0.99)
LABEL_VALUE_LIMIT = 64
OTHER_LABEL = "other"
SERVER_ERROR_STATUS = 500


class MetricSpec(NamedTuple):
    """Name without prefix, label names and help text of one metric."""

    name: str
    labels: tuple[str, ...]
    help_text: str


DURATIONS = (
    MetricSpec("stall_ms", ("profile",), "Silence of a stream beyond its profile"),
    MetricSpec("first_token_ms", ("profile",), "Time from arrival to the first token"),
    MetricSpec("longest_gap_ms", ("profile",), "Longest gap of each complete stream"),
    MetricSpec("between_tokens_ms", ("profile",), "Time between two tokens"),
    MetricSpec("queue_wait_ms", ("profile",), "Wait for a backend server"),
    MetricSpec("loop_held_ms", (), "Longest time without a switch, of each second"),
)

COUNTERS = (
    MetricSpec("events", ("event",), "Logged decisions, beliefs and faults"),
    MetricSpec("requests_admitted", ("service",), "Requests that passed all checks"),
    MetricSpec("requests_completed", ("service",), "Whole answers delivered"),
    MetricSpec("requests_failed", ("code", "verdict"), "Answers that broke off"),
    MetricSpec("tokens_delivered", ("service",), "Tokens of whole answers"),
    MetricSpec("refusals", ("code", "verdict"), "Requests refused"),
    MetricSpec(
        "refusals_within_rate",
        ("code",),
        "Requests refused for other reasons than their own account or input",
    ),
    MetricSpec(
        "streams_over_gap_limit",
        ("service",),
        "Complete streams with a gap longer than their route allows",
    ),
    MetricSpec(
        "engines_avoided",
        ("service",),
        "Engines avoided for the gaps that a prompt would cause, over all placements",
    ),
    MetricSpec("retries", ("service",), "Attempts after the first"),
    MetricSpec("hedges_sent", ("service",), "Second attempts while one was pending"),
    MetricSpec("hedges_won", ("service",), "Hedges whose answer the caller got"),
    MetricSpec("hedges_declined", ("reason",), "Late calls that were not hedged"),
    MetricSpec("attempts_failed", ("stage", "verdict"), "Attempts that failed"),
    MetricSpec("streams_resumed", ("service",), "Streams resumed at the engine"),
    MetricSpec("stream_takeups", ("source",), "Streams that callers took up again"),
    MetricSpec("paths_lost", ("service",), "Times no server of a service was reached"),
    MetricSpec(
        "requests_forwarded", ("outcome",), "Requests sent through another host"
    ),
    MetricSpec("preemptions", ("service",), "Preemptions that engines reported"),
    MetricSpec("callers_gone", (), "Callers that left before the end"),
    MetricSpec("backends_turned_cold", (), "Times a backend server turned cold"),
    MetricSpec("owner_changes", (), "Changes of a backend server's owner"),
    MetricSpec("shares_moved_tokens", (), "Rate tokens moved between entry hosts"),
    MetricSpec("platform_failures", (), "Times the platform stopped answering"),
    MetricSpec("configuration_rejections", (), "Published values that do not fit"),
    MetricSpec(
        "server_connections", ("kind",), "Connections used for requests to servers"
    ),
    MetricSpec("host_pauses", (), "Times the process found itself paused"),
)


class HostState(NamedTuple):
    """State of one entry host at the time of a scrape.

    Attributes:
        configuration_revision: Revision of the configuration in force.
        configuration_age_ms: Time since a source last confirmed it.
        rejected_value_count: Published values that are currently rejected.
        member_count: Entry hosts in the member list, including this one.
        owned_backend_count: Backend servers this host owns.
        in_flight_count: Requests that are being served.
        queue_length: Requests that wait for a backend server.
        held_bytes: Bytes of callers' requests and of answers that are held.
        shares_held_count: Accounts of whose rate limit this host holds a share.
        shares_held_tokens: Rate tokens in these shares.
        slots_held_count: Slots this host holds at backend servers.
        slots_granted_count: Slots this host has granted as owner.
        memory_lack_count: Streams of all hosts that lack memory on engines.
        engine_step_ms: Estimated time per output token, from observed streams.
        engine_prompt_tokens_per_ms: Estimated rate at which engines process
            prompts, from observed streams.
        overflow_share: Largest share of a service's new streams that goes to other
            zones.
        overflow_stream_count: Streams for which this host chose another zone.
    """

    configuration_revision: int = 0
    configuration_age_ms: float = 0.0
    rejected_value_count: int = 0
    member_count: int = 0
    owned_backend_count: int = 0
    in_flight_count: int = 0
    queue_length: int = 0
    held_bytes: int = 0
    shares_held_count: int = 0
    shares_held_tokens: float = 0.0
    slots_held_count: int = 0
    slots_granted_count: int = 0
    memory_lack_count: int = 0
    engine_step_ms: float = 0.0
    engine_prompt_tokens_per_ms: float = 0.0
    overflow_share: float = 0.0
    overflow_stream_count: int = 0


METRIC_PREFIX = "gypsumfield_"

STATE_HELP_TEXTS = {
    "configuration_revision": "Revision in force on this host",
    "configuration_age_ms": "Time since a source last confirmed the revision",
    "rejected_value_count": "Published values refused now",
    "member_count": "Entry hosts known, this one included",
    "owned_backend_count": "Backend servers owned by this host",
    "in_flight_count": "Requests being served",
    "queue_length": "Requests waiting for a backend server",
    "held_bytes": "Bytes of requests and answers held now",
    "shares_held_count": "Accounts of whose rate this host holds a share",
    "shares_held_tokens": "Rate tokens in these shares now",
    "slots_held_count": "Slots held by this host at backend servers",
    "slots_granted_count": "Slots granted by this host as owner",
    "memory_lack_count": "Streams of all hosts that lack memory on engines",
    "engine_step_ms": "Time of one token that this host plans with, learned",
    "engine_prompt_tokens_per_ms": "Reading rate that this host plans with, learned",
    "overflow_share": "Share of new streams that goes to other zones now",
    "overflow_stream_count": "Streams for which another zone was chosen so far",
}


class _TimeSeries:
    """HdrHistogram of durations, with the exact sum of the recorded values."""

    def __init__(self) -> None:
        self.sum_ms = 0.0
        self.histogram = HdrHistogram(1, HIGHEST_TIME_US, SIGNIFICANT_FIGURES)

    def record(self, duration_ms: float) -> None:
        duration_us = int(max(0.0, duration_ms) * US_PER_MS)
        self.histogram.record_value(min(duration_us, HIGHEST_TIME_US))
        self.sum_ms += max(0.0, duration_ms)

    def quantile_ms(self, quantile: float) -> float:
        percentile = quantile * 100.0
        return float(self.histogram.get_value_at_percentile(percentile)) / US_PER_MS

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        """Return Prometheus buckets: upper bound in ms and cumulative count."""
        counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        position = 0
        for item in self.histogram.get_recorded_iterator():
            value_ms = item.value_iterated_to / US_PER_MS
            while (
                position < len(BUCKET_BOUNDS_MS)
                and value_ms > BUCKET_BOUNDS_MS[position]
            ):
                position += 1
            counts[position] += item.count_added_in_this_iter_step
        bounds = [*(f"{float(bound)}" for bound in BUCKET_BOUNDS_MS), "+Inf"]
        buckets = []
        total = 0
        for bound, count in zip(bounds, counts, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets


class Metrics:
    """Counters, histograms and gauges of one entry host.

    Args:
        profile_of_service: Returns the name of a service's profile, or an empty
            string when it is unknown.
        read_state: Returns the current state of the host; called once per scrape.
    """

    def __init__(
        self,
        profile_of_service: Callable[[str], str],
        read_state: Callable[[], HostState] = HostState,
    ) -> None:
        self.read_state = read_state
        self._profile_of_service = profile_of_service
        self._durations: dict[str, dict[str, _TimeSeries]] = {
            spec.name: defaultdict(_TimeSeries) for spec in DURATIONS
        }
        self._counts: dict[str, dict[tuple[str, ...], float]] = {
            spec.name: defaultdict(float) for spec in COUNTERS
        }
        self._label_values: dict[str, set[str]] = defaultdict(set)
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def record_between_tokens(self, profile: str, duration_ms: float) -> None:
        """Record the time between two tokens of one stream."""
        self._record("between_tokens_ms", profile, duration_ms)

    def record_queue_wait(self, profile: str, duration_ms: float) -> None:
        """Record how long a request waited for a backend server."""
        self._record("queue_wait_ms", profile, duration_ms)

    def record_loop_held(self, duration_ms: float) -> None:
        """Record the longest time of a second without a switch of greenlets."""
        self._durations["loop_held_ms"][""].record(duration_ms)

    def record_hedge_declined(self, reason: str) -> None:
        """Count a call that had no answer after the hedge delay and was not hedged."""
        self._count("hedges_declined", reason=reason)

    def record_server_connection(self, is_reused: bool) -> None:
        """Count a connection that a request to a server uses, new or reused."""
        self._count("server_connections", kind="reused" if is_reused else "new")

    def record_engines_avoided(self, service: str, count: int) -> None:
        """Count the engines that a placement avoided for the gaps of their streams."""
        if count:
            self._count("engines_avoided", count, service=service)

    def observe_event(self, event: events.Event) -> None:
        """Count the event and update the metrics that are derived from it."""
        if not event.IS_HOT:
            self._count("events", event=str(type(event).__struct_config__.tag))
        match event:
            case events.RequestAdmitted(service=service):
                self._count("requests_admitted", service=service)
            case events.RequestCompleted():
                self._observe_completed(event)
            case events.RequestFailed(code=code, verdict=verdict):
                self._count("requests_failed", code=code, verdict=verdict)
            case events.RequestRefused():
                self._count_refusal(event)
            case events.RequestRetried(service=service):
                self._count("retries", service=service)
            case events.HedgeSent(service=service):
                self._count("hedges_sent", service=service)
            case events.HedgeEnded(service=service, winner=winner):
                self._count("hedges_won", float(winner == "hedge"), service=service)
            case events.AttemptFailed(stage=stage, verdict=verdict):
                self._count("attempts_failed", stage=stage, verdict=verdict)
            case events.FirstToken(service=service, elapsed_ms=elapsed_ms):
                self._record("first_token_ms", self._profile(service), elapsed_ms)
            case events.StreamStalled(service=service, silent_ms=silent_ms):
                self._record("stall_ms", self._profile(service), silent_ms)
            case events.StreamResumed(service=service):
                self._count("streams_resumed", service=service)
            case events.StreamTakenUp(source=source):
                self._count("stream_takeups", source=source)
            case events.RequestForwarded(reason=reason):
                self._count("requests_forwarded", outcome="failed" if reason else "ok")
            case events.EnginePreempted(service=service, preemption_count=count):
                self._count("preemptions", count, service=service)
            case _:
                self._observe_control_event(event)

    def _observe_completed(self, event: events.RequestCompleted) -> None:
        service = event.service
        self._count("requests_completed", service=service)
        self._count("tokens_delivered", event.token_count, service=service)
        if event.max_pause_ms:
            profile = self._profile(service)
            self._record("longest_gap_ms", profile, event.longest_gap_ms)
            is_over_limit = event.longest_gap_ms > event.max_pause_ms
            self._count("streams_over_gap_limit", is_over_limit, service=service)

    def _observe_control_event(self, event: events.Event) -> None:
        match event:
            case events.CallerGone():
                self._count("callers_gone")
            case events.PathLost(service=service):
                self._count("paths_lost", service=service)
            case events.BackendTurnedCold():
                self._count("backends_turned_cold")
            case events.OwnerChanged():
                self._count("owner_changes")
            case events.ShareMoved(token_count=token_count):
                self._count("shares_moved_tokens", token_count)
            case events.PlatformUnreachable():
                self._count("platform_failures")
            case events.ConfigurationRejected():
                self._count("configuration_rejections")
            case events.HostPaused():
                self._count("host_pauses")
            case _:
                pass

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families, as a collector of the Prometheus registry."""
        for spec in DURATIONS:
            yield from self._time_families(spec)
        for spec in COUNTERS:
            family = CounterMetricFamily(
                METRIC_PREFIX + spec.name, spec.help_text, labels=spec.labels
            )
            for labels, count in sorted(self._counts[spec.name].items()):
                family.add_metric(labels, count)
            yield family
        for name, value in self.read_state()._asdict().items():
            help_text = STATE_HELP_TEXTS[name]
            yield GaugeMetricFamily(METRIC_PREFIX + name, help_text, value=float(value))

    def _time_families(self, spec: MetricSpec) -> Iterator[Metric]:
        name = METRIC_PREFIX + spec.name
        histogram = HistogramMetricFamily(name, spec.help_text, labels=spec.labels)
        quantiles = GaugeMetricFamily(
            f"{name}_quantile", spec.help_text, labels=(*spec.labels, "quantile")
        )
        for profile, series in sorted(self._durations[spec.name].items()):
            labels = [profile] if spec.labels else []
            buckets = series.cumulative_buckets()
            histogram.add_metric(labels, buckets, sum_value=series.sum_ms)
            for quantile in QUANTILES:
                value = series.quantile_ms(quantile)
                quantiles.add_metric([*labels, str(quantile)], value)
        yield histogram
        yield quantiles

    def _count_refusal(self, event: events.RequestRefused) -> None:
        self._count("refusals", code=event.code, verdict=event.verdict)
        if event.status >= SERVER_ERROR_STATUS:
            self._count("refusals_within_rate", code=event.code)

    def _count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        values = tuple(
            self._limit_label_value(key, value) for key, value in labels.items()
        )
        self._counts[name][values] += amount

    def _record(self, name: str, profile: str, duration_ms: float) -> None:
        self._durations[name][self._limit_label_value("profile", profile)].record(
            duration_ms
        )

    def _profile(self, service: str) -> str:
        return self._profile_of_service(service)

    def _limit_label_value(self, label: str, value: str) -> str:
        """Return ``value``, or `OTHER_LABEL` when the label has too many values."""
        label_values = self._label_values[label]
        if value in label_values:
            return value
        if len(label_values) >= LABEL_VALUE_LIMIT:
            return OTHER_LABEL
        label_values.add(value)
        return value


def emit_to_all(*emits: EmitEvent) -> EmitEvent:
    """Return a function that calls all ``emits`` in order with each event."""

    def emit(event: events.Event) -> None:
        for emit_one in emits:
            emit_one(event)

    return emit
