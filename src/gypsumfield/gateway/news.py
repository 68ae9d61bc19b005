"""Wire form of what the hosts of the fleet tell each other."""

import enum
import zlib

import msgspec

# Views are mostly JSON with repeated names, which the fastest level shrinks as well.
VIEW_COMPRESSION_LEVEL = 1
VIEW_LIMIT_BYTES = 16 * 1_048_576


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """Load on one engine: runs, planned memory, prompts still to be read."""

    server_id: str
    run_count: int
    committed_tokens: int
    waiting_prompt_tokens: int


class ReportNews(msgspec.Struct, frozen=True, array_like=True):
    """Report of one engine and its age."""

    server_id: str
    waiting_count: int
    used_tokens: int
    is_leaving: bool
    age_ms: int


class ItemNews(msgspec.Struct, frozen=True, array_like=True):
    """One published item; a value of None is a deletion."""

    key: str
    revision: int
    value: bytes | None


class HostCard(msgspec.Struct, frozen=True, array_like=True):
    """Who a host is.

    Attributes:
        host_id: Its name.
        boot_id: Start of its process.
        ip: Its address.
        availability_zone: Its zone.
        capacity: What it can carry beside its calls; see ``EdgeSettings``.
    """

    host_id: str
    boot_id: str
    ip: str
    availability_zone: str
    capacity: int


class LeavingNews(msgspec.Struct, frozen=True, array_like=True):
    """Start of a server that said itself that it leaves."""

    server_id: str
    started_wall_ms: int


class ColdLimitNews(msgspec.Struct, frozen=True, array_like=True):
    """Lowest score with which a host may send to a cold server now."""

    server_id: str
    score: int
    host_id: str


class PlaceQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Which engine a stream should take; see `gypsumfield.gateway.placing.Placer`.

    Attributes:
        number: Names the question to its sender.
        service: Service of the stream.
        peak_tokens: Memory that is planned for it.
        prompt_tokens: Tokens to read before its first event.
        time_left_ms: Time in which its first event earns full credit.
        excluded: Engines that it must not take.
        full: Engines that have just refused it for want of memory.
    """

    number: int
    service: str
    peak_tokens: int
    prompt_tokens: int
    time_left_ms: float
    excluded: list[str] = []
    full: list[str] = []

    def numbered(self, number: int) -> "PlaceQuestion":
        """Return the question with another number."""
        return msgspec.structs.replace(self, number=number)


class Advice(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a question: an engine, or empty when none has room in time."""

    number: int
    server_id: str


class NewsKind(enum.IntEnum):
    """What a datagram is for, and what its loads count.

    Attributes:
        GREETING: Says who is there; no loads.
        PEER: To every host of a small fleet: own runs on servers that the receiver
            keeps count of, and the sum without the receiver's where the sender does.
        MEMBER: To the delegates of a large fleet's zone: own runs.
        DIGEST: From a delegate to the hosts of its zone: runs of all hosts.
        ZONE: From a delegate to those of other zones: runs of the sender's zone.
        QUESTION: To the first delegate of a large fleet's zone.
        ADVICE: Its answer.
    """

    GREETING = 0
    PEER = 1
    MEMBER = 2
    DIGEST = 3
    ZONE = 4
    QUESTION = 5
    ADVICE = 6


class News(msgspec.Struct, frozen=True, array_like=True):
    """One datagram; it may be lost, and replaces the one before of its kind.

    Attributes:
        kind: What it is for.
        sender: Who sends it.
        revision: Revision up to which the sender's view is complete.
        is_reaching: Whether the sender watches the store and is answered.
        is_fed: Whether the sender learns of changes, from whomever.
        zone_host_count: Hosts that a delegate hears in its zone; else 0.
        fleet_host_count: Hosts of a large fleet; 0 when the sender knows no number.
        named: Some hosts that it hears.
        own_loads: See `NewsKind`.
        shared_loads: See `NewsKind`; None where the sender has no count.
        reports: Reports of engines.
        leaving: Servers that said lately that they leave.
        cold_limits: Who may send to cold servers of the sender's zone.
        changes: Published items that changed after ``changes_after``.
        changes_after: Revision that the changes follow on.
        question: What a ``QUESTION`` asks.
        advice: What an ``ADVICE`` answers.
    """

    kind: NewsKind
    sender: HostCard
    revision: int
    is_reaching: bool
    is_fed: bool
    zone_host_count: int = 0
    fleet_host_count: int = 0
    named: list[HostCard] = []
    own_loads: list[LoadNews] = []
    shared_loads: list[LoadNews] | None = None
    reports: list[ReportNews] = []
    leaving: list[LeavingNews] = []
    cold_limits: list[ColdLimitNews] = []
    changes: list[ItemNews] = []
    changes_after: int = 0
    question: PlaceQuestion | None = None
    advice: Advice | None = None


class View(msgspec.Struct, frozen=True, array_like=True):
    """Published items handed to a peer that asked for them."""

    revision: int
    items: list[ItemNews]


_NEWS_DECODER = msgspec.msgpack.Decoder(News)
_VIEW_DECODER = msgspec.msgpack.Decoder(View)
_ENCODER = msgspec.msgpack.Encoder()


def encode_news(news: News) -> bytes:
    """Return the datagram of news."""
    return _ENCODER.encode(news)


def decode_news(data: bytes) -> News:
    """Return the news in a datagram.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return _NEWS_DECODER.decode(data)


def encode_view(view: View) -> bytes:
    """Return the compressed wire form of a view."""
    return zlib.compress(_ENCODER.encode(view), VIEW_COMPRESSION_LEVEL)


def decode_view(data: bytes) -> View:
    """Return the view in an answer.

    Raises:
        msgspec.MsgspecError: It holds none, or one above ``VIEW_LIMIT_BYTES``.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, VIEW_LIMIT_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"view: {error}") from error
    if not inflater.eof:
        raise msgspec.DecodeError("view: it is cut or too large")
    return _VIEW_DECODER.decode(plain)
