"""Events of the transparent surface, beside those of the whole product."""

from gypsumfield.events import Event


class PublicationInForce(Event, frozen=True, kw_only=True, tag="publication_in_force"):
    """A configuration version is in force on this host."""

    revision: int
    version: int
    source: str


class PublicationRejected(Event, frozen=True, kw_only=True, tag="publication_rejected"):
    """A published item cannot be used; what was known before stays."""

    revision: int
    kept_version: int
    reason: str
    source: str


class EvacuationChanged(Event, frozen=True, kw_only=True, tag="evacuation_changed"):
    """A zone's servers get nothing more, or get work again."""

    is_out: bool
    revision: int
    source: str


class BackendSeen(Event, frozen=True, kw_only=True, tag="backend_seen"):
    """A registration of a backend server changed."""

    state: str
    revision: int
    cold_left_ms: float
    source: str


class StoreReached(Event, frozen=True, kw_only=True, tag="store_reached"):
    """The published store answers again."""

    outage_ms: float
    revision: int


class PeerSeen(Event, frozen=True, kw_only=True, tag="peer_seen"):
    """Another host of the fleet was heard for the first time or again."""

    peer: str
    boot_id: str


class PeerSilent(Event, frozen=True, kw_only=True, tag="peer_silent"):
    """Another host has not been heard for too long."""

    peer: str
    silent_ms: float


class ViewPulled(Event, frozen=True, kw_only=True, tag="view_pulled"):
    """Published items were taken over from a peer."""

    peer: str
    item_count: int
    revision: int


class PullFailed(Event, frozen=True, kw_only=True, tag="pull_failed"):
    """Published items could not be taken over from a peer."""

    peer: str
    reason: str


class RequestPlaced(Event, frozen=True, kw_only=True, tag="request_placed"):
    """A backend server was chosen for a request.

    ``committed_tokens`` and ``stream_count`` are what the choice rested on:
    this host's own runs and its peers' news.
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


class RunCopied(Event, frozen=True, kw_only=True, tag="run_copied"):
    """A run's memory was copied to another engine; a reason says why it was not."""

    target: str
    event_count: int
    elapsed_ms: float
    reason: str = ""


class ReservationRefused(Event, frozen=True, kw_only=True, tag="reservation_refused"):
    """An engine had no room for a stream that this host thought would fit."""

    stream_count: int
    committed_tokens: int
    reason: str


class CopyChosen(Event, frozen=True, kw_only=True, tag="copy_chosen"):
    """An engine keeps a copy of a run from its start; empty when none has room."""

    target: str


class AdviserSilent(Event, frozen=True, kw_only=True, tag="adviser_silent"):
    """The host that advises on engines did not answer; it is not asked for a while."""

    peer: str
    pause_ms: float


class EngineUnreachable(Event, frozen=True, kw_only=True, tag="engine_unreachable"):
    """A silent engine accepts no connection; its streams are broken off."""

    run_count: int


class EngineLeaves(Event, frozen=True, kw_only=True, tag="engine_leaves"):
    """An engine with runs of this host is about to be gone."""

    leaves_in_ms: float
    run_count: int
    source: str
    step_ms: float = 0.0


class SettingsReloaded(Event, frozen=True, kw_only=True, tag="settings_reloaded"):
    """The settings file was read again; what is deferred waits for the next start."""

    is_changed: bool
    deferred: str = ""


class SettingsKept(Event, frozen=True, kw_only=True, tag="settings_kept"):
    """The settings file changed to something that cannot be used."""

    reason: str


class ServerQuiet(Event, frozen=True, kw_only=True, tag="server_quiet"):
    """A server turned a request away and wants no more for a while."""

    asked_ms: float
    kept_ms: float


class OddNotice(Event, frozen=True, kw_only=True, tag="odd_notice"):
    """An answer says something of its server that makes no sense; not obeyed."""

    text: str


class ReportFailed(Event, frozen=True, kw_only=True, tag="report_failed"):
    """An engine was asked for its report and gave none."""

    reason: str
