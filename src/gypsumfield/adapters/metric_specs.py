"""Names, labels and help texts of the metrics of one entry host."""

from typing import NamedTuple


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
    MetricSpec("connections_refused", ("reason",), "Connections not served"),
    MetricSpec("connections_closed", ("reason",), "Connections closed for a limit"),
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
        open_connection_count: Callers' connections that are open.
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
    open_connection_count: int = 0
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
    "open_connection_count": "Connections of callers open now",
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
