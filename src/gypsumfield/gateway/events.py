"""Log events of edge hosts only; those of all hosts are in `gypsumfield.events`."""

from gypsumfield.events import Event


class PublicationInForce(Event, frozen=True, kw_only=True, tag="publication_in_force"):
    """A version of the configuration came into force on this host."""

    revision: int
    version: int
    source: str


class PublicationRejected(Event, frozen=True, kw_only=True, tag="publication_rejected"):
    """A published item cannot be used; the previous one stays in force.

    Attributes:
        unlogged_count: Rejections before this one that were not logged.
    """

    revision: int
    kept_version: int
    reason: str
    source: str
    unlogged_count: int = 0


class EvacuationChanged(Event, frozen=True, kw_only=True, tag="evacuation_changed"):
    """A zone was evacuated, or its evacuation has ended."""

    is_out: bool
    revision: int
    source: str


class BackendSeen(Event, frozen=True, kw_only=True, tag="backend_seen"):
    """The record of a backend server changed: ready, leaving or gone."""

    state: str
    revision: int
    cold_left_ms: float
    source: str
    software_version: str = ""


class ItemIgnored(Event, frozen=True, kw_only=True, tag="item_ignored"):
    """An item from the store is older than the one that this host has of its key."""

    key: str
    revision: int
    kept_revision: int
    source: str


class StoreRestored(Event, frozen=True, kw_only=True, tag="store_restored"):
    """The store has come back from a copy; revisions begin with its era."""

    revision: int
    earlier_revision: int
    source: str


class StoreReached(Event, frozen=True, kw_only=True, tag="store_reached"):
    """The platform's store answers again.

    ``era`` counts the times that it has been restored from a copy.
    """

    outage_ms: float
    revision: int
    era: int = 0


class PeerSeen(Event, frozen=True, kw_only=True, tag="peer_seen"):
    """The first message of another host, or the first after its restart or silence."""

    peer: str
    boot_id: str


class PeerSilent(Event, frozen=True, kw_only=True, tag="peer_silent"):
    """No message from another host was received for too long."""

    peer: str
    silent_ms: float


class ViewPulled(Event, frozen=True, kw_only=True, tag="view_pulled"):
    """Published items were pulled from a peer."""

    peer: str
    item_count: int
    revision: int


class PullFailed(Event, frozen=True, kw_only=True, tag="pull_failed"):
    """Published items could not be pulled from a peer."""

    peer: str
    reason: str


class RequestPlaced(Event, frozen=True, kw_only=True, tag="request_placed"):
    """A backend server was selected for a request.

    ``committed_tokens`` and ``stream_count`` are the recorded load that the selection
    was based on: this host's own runs and those that its peers reported.
    ``prompt_parts`` are the ids of the parts that other requests may share, and
    ``content_id`` is the same in each repeat of a request. ``predicted_gap_ms`` is the
    longest gap between events that the prompt is expected to cause on the engine, and
    ``avoided_count`` is the number of engines avoided because of longer ones.
    """

    attempt: int
    waited_ms: float
    catalogue_revision: int
    candidate_count: int
    committed_tokens: int = 0
    stream_count: int = 0
    is_resumed: bool = False
    is_advised: bool = False
    prompt_tokens_per_ms: float = 0.0
    route: str = ""
    prompt_parts: tuple[str, ...] = ()
    content_id: str = ""
    software_version: str = ""
    predicted_gap_ms: float = 0.0
    avoided_count: int = 0


class PartEvidence(Event, frozen=True, kw_only=True, tag="part_evidence"):
    """The evidence on a part of prompts that may crash engines has changed.

    ``source`` is a crash or an answer seen by this host, or the peer that sent it.
    """

    part: str
    crash_count: int
    points: int
    suspicion: str
    source: str


class RequestCondemned(Event, frozen=True, kw_only=True, tag="request_condemned"):
    """A request is not sent because of a part of its prompt."""

    part: str
    remaining_ms: float


class UnmarkedEnd(Event, frozen=True, kw_only=True, tag="unmarked_end"):
    """An answer with neither a length nor chunks has ended with its connection.

    ``reason`` says why it does not count as complete; it is empty if it does.
    """

    event_count: int
    reason: str


class RunCopied(Event, frozen=True, kw_only=True, tag="run_copied"):
    """A run's key-value cache was copied, or could not be: see ``reason``."""

    target: str
    event_count: int
    elapsed_ms: float
    reason: str = ""


class RunEnd(Event, frozen=True, kw_only=True, tag="run_end"):
    """Whether a run has ended, before its stream goes on at the engine ``target``.

    ``proof`` says what shows it and is empty if nothing does; then ``reason`` says why.
    """

    target: str
    proof: str
    reason: str
    waited_ms: float


class ReservationRefused(Event, frozen=True, kw_only=True, tag="reservation_refused"):
    """An engine lacked the memory for a stream that fitted by this host's records."""

    stream_count: int
    committed_tokens: int
    reason: str


class MemoryHeldForUrgent(
    Event, frozen=True, kw_only=True, tag="memory_held_for_urgent"
):
    """Streams waited because others of their service that go first lack memory.

    Logged once in some time, with the attempts since the last line that found no engine
    within ``memory_ratio`` of its memory. ``urgent_count`` are the streams of all hosts
    that are more urgent, or of accounts below their share, and wait or were refused
    lately.
    """

    priority: int
    memory_ratio: float
    urgent_count: int
    held_count: int


class CopyChosen(Event, frozen=True, kw_only=True, tag="copy_chosen"):
    """An engine was selected to hold a copy of a run from its start.

    ``target`` is empty when no engine has free memory for it. The versions are those
    of the software of the run's engine and of the target.
    """

    target: str
    software_version: str = ""
    target_version: str = ""


class ServerBrittle(Event, frozen=True, kw_only=True, tag="server_brittle"):
    """How many refusals a second a server bears has changed; None for no bound."""

    refusals_per_s: float | None
    source: str


class PathRegained(Event, frozen=True, kw_only=True, tag="path_regained"):
    """A server of a service has answered after the path to the service was lost."""

    lost_ms: float


class AdviserSilent(Event, frozen=True, kw_only=True, tag="adviser_silent"):
    """The host that advises on engines did not answer; requests to it are paused."""

    peer: str
    pause_ms: float


class EngineUnreachable(Event, frozen=True, kw_only=True, tag="engine_unreachable"):
    """An unresponsive engine accepts no connection; its streams are aborted."""

    run_count: int


class EngineLeaves(Event, frozen=True, kw_only=True, tag="engine_leaves"):
    """An engine with runs of this host has announced that it will leave."""

    leaves_in_ms: float
    run_count: int
    source: str
    step_ms: float = 0.0


class SettingsReloaded(Event, frozen=True, kw_only=True, tag="settings_reloaded"):
    """The settings file was read again.

    Changes of the settings listed in ``deferred`` wait for the next start.
    """

    is_changed: bool
    deferred: str = ""


class SettingsKept(Event, frozen=True, kw_only=True, tag="settings_kept"):
    """The changed settings file is invalid; the settings in force stay."""

    reason: str


class ServerQuiet(Event, frozen=True, kw_only=True, tag="server_quiet"):
    """A server refused a request and asked for no further ones for a time."""

    asked_ms: float
    kept_ms: float


class ServerLimit(Event, frozen=True, kw_only=True, tag="server_limit"):
    """A server named another limit on its requests, or none any more (None).

    ``previous_per_s`` is the limit that was in force. The server made the statement
    between ``sent_ms_ago``, when the request was sent, and ``received_ms_ago``.
    """

    limit_per_s: float | None
    previous_per_s: float | None
    sent_ms_ago: float | None
    received_ms_ago: float
    source: str


class PermitRefused(Event, frozen=True, kw_only=True, tag="permit_refused"):
    """A request was not sent to a server, because its limit is used up.

    ``wait_ms`` is the time until the next permit, ``max_wait_ms`` what the request
    could have waited.
    """

    limit_per_s: float
    wait_ms: float
    max_wait_ms: float


class OddNotice(Event, frozen=True, kw_only=True, tag="odd_notice"):
    """A header about a server is invalid and ignored, or its value was limited."""

    text: str


class ReportFailed(Event, frozen=True, kw_only=True, tag="report_failed"):
    """A query for the report of an engine failed."""

    reason: str
