"""What one entry host knows of another one, and which news goes first."""

from typing import NamedTuple

from gypsumfield.messages import MemberNews

_STATE_ORDER = {"live": 0, "silent": 1, "leaving": 2}


class MembershipTimes(NamedTuple):
    """Times of the membership protocol.

    Attributes:
        heartbeat_interval_ms: Time between two heartbeats to a neighbour.
        silent_after_ms: Silence after which a neighbour is reported.
        first_heartbeat_within_ms: Silence after which a new neighbour is reported.
        hold_down_ms: Wait before anybody's share may grow.
        confirmation_lifetime_ms: Age of evidence that this host is heard.
        cross_zone_every: Heartbeat rounds between two to another zone.
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
    """One entry host as this host sees it."""

    def __init__(self, news: MemberNews, now_ms: float) -> None:
        self.news = news
        self.joined_ms = now_ms
        self.ended_ms: float | None = None
        self.heard_ms: float | None = None
        self.watched_since_ms: float | None = None


def is_newer(news: MemberNews, known: MemberNews) -> bool:
    """Return whether news goes before what is known of the same host."""
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    if news.boot_id != known.boot_id:
        return news.boot_id > known.boot_id
    return _STATE_ORDER[news.state] > _STATE_ORDER[known.state]


def with_state(news: MemberNews, state: str) -> MemberNews:
    """Return the news of a host that is silent or leaving."""
    return MemberNews(
        news.host_id,
        news.boot_id,
        news.availability_zone,
        news.incarnation,
        "leaving" if state == "leaving" else "silent",
        news.control_address,
        news.control_public_key,
    )


def with_key(news: MemberNews, public_key: str) -> MemberNews:
    """Return the news with another public key."""
    return MemberNews(
        news.host_id,
        news.boot_id,
        news.availability_zone,
        news.incarnation,
        news.state,
        news.control_address,
        public_key,
    )
