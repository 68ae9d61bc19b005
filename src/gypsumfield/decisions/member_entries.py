"""Records of other entry hosts, and the precedence of updates about a host."""

from typing import NamedTuple

from gypsumfield.messages import MemberRecord

_STATE_ORDER = {"live": 0, "silent": 1, "leaving": 2}


class MembershipTimes(NamedTuple):
    """Intervals and timeouts of the membership protocol.

    Attributes:
        heartbeat_interval_ms: Time between two heartbeats to a neighbour.
        silent_after_ms: Time without a heartbeat after which a neighbour is
            reported as silent.
        first_heartbeat_within_ms: The same for a new neighbour that has not sent a
            heartbeat since it became one.
        hold_down_ms: Wait before the share of any host may grow.
        confirmation_lifetime_ms: Largest age of the evidence that peers receive this
            host's heartbeats.
        cross_zone_every: Interval, in rounds, of heartbeats to a random host of
            another zone.
        view_request_interval_ms: Shortest time between two requests for a view.
    """

    heartbeat_interval_ms: float = 1_000.0
    silent_after_ms: float = 3_500.0
    first_heartbeat_within_ms: float = 2_500.0
    hold_down_ms: float = 10_000.0
    confirmation_lifetime_ms: float = 3_500.0
    cross_zone_every: int = 2
    view_request_interval_ms: float = 2_000.0


DEFAULT_TIMES = MembershipTimes()


class MemberEntry:
    """State of one entry host in the view of this host.

    Attributes:
        record: Latest record of the host, from itself, a peer or the platform.
        joined_ms: When the host joined or last rejoined, for the hold-down.
        ended_ms: When it left or was reported silent; None while it is live.
        received_ms: When its latest own heartbeat arrived; None if none did.
        watched_since_ms: When this host began to monitor it as a neighbour; None
            when it is not a neighbour.
    """

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record = record
        self.joined_ms = now_ms
        self.ended_ms: float | None = None
        self.received_ms: float | None = None
        self.watched_since_ms: float | None = None


def is_newer(record: MemberRecord, recorded: MemberRecord) -> bool:
    """Return whether an update supersedes the recorded one of the same host."""
    if record.incarnation != recorded.incarnation:
        return record.incarnation > recorded.incarnation
    if record.boot_id != recorded.boot_id:
        return record.boot_id > recorded.boot_id
    return _STATE_ORDER[record.state] > _STATE_ORDER[recorded.state]


def with_state(record: MemberRecord, state: str) -> MemberRecord:
    """Return a copy with ``state`` if that is ``leaving``, otherwise ``silent``."""
    return MemberRecord(
        record.host_id,
        record.boot_id,
        record.availability_zone,
        record.incarnation,
        "leaving" if state == "leaving" else "silent",
        record.control_address,
        record.control_public_key,
    )


def with_key(record: MemberRecord, public_key: str) -> MemberRecord:
    """Return a copy of the record with another public key."""
    return MemberRecord(
        record.host_id,
        record.boot_id,
        record.availability_zone,
        record.incarnation,
        record.state,
        record.control_address,
        public_key,
    )
