"""Wire format of the updates that the hosts of the fleet exchange."""

import enum
import zlib

import msgspec

from gypsumfield.decoding import decode
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.gateway.scheduling import Advice
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.scheduling import WireLack
from gypsumfield.gateway.wire_loads import WireLoad
from gypsumfield.gateway.wire_loads import WireReport

# Views are mostly JSON with repeated names, so the fastest level compresses them well.
VIEW_COMPRESSION_LEVEL = 1
MAX_VIEW_BYTES = 16 * 1_048_576


class WireItem(msgspec.Struct, frozen=True, array_like=True):
    """One published item; a value of None is a deletion."""

    key: str
    revision: int
    value: bytes | None


class HostCard(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a host.

    Attributes:
        host_id: Its name.
        boot_id: Identifies this start of its process.
        ip: Its address.
        availability_zone: Its zone.
        capacity: Its capacity for work other than serving calls; see ``EdgeSettings``.
    """

    host_id: str
    boot_id: str
    ip: str
    availability_zone: str
    capacity: int


class LeavingServer(msgspec.Struct, frozen=True, array_like=True):
    """A server that announced that it will leave, and the wall time of its start."""

    server_id: str
    started_wall_ms: int


class ColdScoreLimit(msgspec.Struct, frozen=True, array_like=True):
    """Lowest score with which a host may currently send to a cold server."""

    server_id: str
    score: int
    host_id: str


class WireLimit(msgspec.Struct, frozen=True, array_like=True):
    """What one start of a server last said about its limit.

    Attributes:
        server_id: The server.
        started_wall_ms: Wall time of its start.
        limit_per_s: Requests a second from all hosts; None for no limit.
        sent_age_ms: Time since the request was sent whose answer said so, or None.
        received_age_ms: Time since that answer arrived.
    """

    server_id: str
    started_wall_ms: int
    limit_per_s: float | None
    sent_age_ms: int | None
    received_age_ms: int


class WireRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Refusal by a brittle server, and the time since it arrived."""

    server_id: str
    started_wall_ms: int
    age_ms: int


class PermitQuery(msgspec.Struct, frozen=True, array_like=True):
    """Query for a permit to send one request to a server that has named a limit.

    Attributes:
        number: Identifies the query to the asking host.
        server_id: The server.
        max_wait_ms: Longest wait for the permit.
        reply_ip: Address of the asking host.
        is_forwarded: Whether the zone of the asking host has refused the permit.
        home_wait_ms: Time until that zone has the next one; 0 before it has refused.
    """

    number: int
    server_id: str
    max_wait_ms: float
    reply_ip: str
    is_forwarded: bool = False
    home_wait_ms: float = 0.0

    def forwarded(self, home_wait_ms: float) -> "PermitQuery":
        """Return the query for another zone."""
        return msgspec.structs.replace(
            self, is_forwarded=True, home_wait_ms=home_wait_ms
        )


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a query for a permit.

    Attributes:
        number: Number of the query.
        is_granted: Whether the request may be sent after the wait.
        wait_ms: Time until it may be sent; without a grant, the time until the next
            permit.
    """

    number: int
    is_granted: bool
    wait_ms: float


class WirePartCrash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of an engine that held a request with a part.

    Attributes:
        crash_id: Identifies the start of the engine.
        age_ms: Time since the crash.
        was_answering: Whether the answer to the request had begun.
        is_later: Whether the request was sent after an earlier crash of the part.
    """

    crash_id: int
    age_ms: int
    was_answering: bool
    is_later: bool = False


class WirePart(msgspec.Struct, frozen=True, array_like=True):
    """Evidence on a part of requests.

    Attributes:
        part: Id of the part.
        crashes: Crashes since its last answer.
        answered_age_ms: Time since its last answer began, or None.
        is_content: Whether it is the content of a request, not a named part.
    """

    part: int
    crashes: list[WirePartCrash]
    answered_age_ms: int | None
    is_content: bool = False


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Software version at which a stream began.

    Attributes:
        key: The stream; see `gypsumfield.decisions.stream_origins.stream_key`.
        version: The version; empty if unknown.
        number: In a reply, the number of the query.
    """

    key: int
    version: str
    number: int = 0


class OriginQuery(msgspec.Struct, frozen=True, array_like=True):
    """Query for the version at which a stream began; only hosts that know it reply.

    Attributes:
        number: Identifies the query to the asking host.
        key: The stream.
        reply_ip: Address of the asking host.
        is_forwarded: Whether a delegate of the asking host's zone has forwarded it.
    """

    number: int
    key: int
    reply_ip: str
    is_forwarded: bool = False

    def forwarded(self) -> "OriginQuery":
        """Return the query for other zones."""
        return msgspec.structs.replace(self, is_forwarded=True)


class UpdateKind(enum.IntEnum):
    """Purpose of a datagram, and what its loads count.

    Attributes:
        HELLO: Announces the sender; no loads.
        PEER: To every host of a small fleet. Own loads: runs of the sender on servers
            whose runs the receiver counts. Shared loads: all runs but the receiver's
            on servers whose runs the sender counts.
        MEMBER: To the delegates of a large fleet's zone: runs of the sender.
        DIGEST: From a delegate to the hosts of its zone: runs of all hosts.
        ZONE: From a delegate to those of other zones: runs of the sender's zone.
        QUERY: Query to the first delegate of a large fleet's zone.
        ADVICE: Answer to a query.
        PERMIT_QUERY: Query for a permit, to the first delegate of a zone.
        PERMIT: Reply to it.
        ORIGIN: Software version at which a stream of the sender began.
        ORIGIN_QUERY: Query for such a version.
        ORIGIN_REPLY: Reply to it.
    """

    HELLO = 0
    PEER = 1
    MEMBER = 2
    DIGEST = 3
    ZONE = 4
    QUERY = 5
    ADVICE = 6
    PERMIT_QUERY = 7
    PERMIT = 8
    ORIGIN = 9
    ORIGIN_QUERY = 10
    ORIGIN_REPLY = 11


class HostUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One datagram; it may be lost, and replaces the previous one of its kind.

    Attributes:
        kind: Purpose of the datagram, and what its loads count.
        sender: Identity of the sending host.
        revision: Revision up to which the sender's view is complete.
        is_store_reachable: Whether the sender watches the store and gets answers.
        is_receiving_changes: Whether the sender receives changes, from the store or
            from other hosts.
        zone_host_count: Live hosts of its zone when it is a delegate; else 0.
        fleet_host_count: Hosts of a large fleet; 0 when unknown to the sender.
        known_hosts: Some hosts that the sender records as live.
        own_loads: See `UpdateKind`.
        shared_loads: See `UpdateKind`; None where the sender has no count.
        reports: Reports of engines, with their age when they were sent.
        leaving: Servers that recently announced that they will leave.
        cold_limits: Which hosts may send to cold servers of the sender's zone.
        changes: Published items that changed after ``changes_after``.
        changes_after: Lowest revision at which a receiver can apply the changes.
        query: Query of a ``QUERY``.
        advice: Answer of an ``ADVICE``.
        limits: Limits on requests that servers have named.
        permit_query: Query of a ``PERMIT_QUERY``.
        permit_reply: Reply of a ``PERMIT``.
        parts: Evidence on parts of prompts that crash engines.
        origin: Version of an ``ORIGIN`` or an ``ORIGIN_REPLY``.
        origin_query: Query of an ``ORIGIN_QUERY``.
        lost_services: Services whose servers the sender does not reach.
        brittle: Servers that fall over when they refuse many requests; the limit is
            the number of refusals a second.
        refusals: Recent refusals of brittle servers.
        lacks: Streams that lack memory; the hosts counted are those of the loads.
    """

    kind: UpdateKind
    sender: HostCard
    revision: int
    is_store_reachable: bool
    is_receiving_changes: bool
    zone_host_count: int = 0
    fleet_host_count: int = 0
    known_hosts: list[HostCard] = []
    own_loads: list[WireLoad] = []
    shared_loads: list[WireLoad] | None = None
    reports: list[WireReport] = []
    leaving: list[LeavingServer] = []
    cold_limits: list[ColdScoreLimit] = []
    changes: list[WireItem] = []
    changes_after: int = 0
    query: PlacementQuery | None = None
    advice: Advice | None = None
    limits: list[WireLimit] = []
    permit_query: PermitQuery | None = None
    permit_reply: PermitReply | None = None
    parts: list[WirePart] = []
    origin: StreamOrigin | None = None
    origin_query: OriginQuery | None = None
    lost_services: list[str] = []
    brittle: list[WireLimit] = []
    refusals: list[WireRefusal] = []
    lacks: list[WireLack] = []


class View(msgspec.Struct, frozen=True, array_like=True):
    """Published items, and evidence on prompts, for a peer that requested them."""

    revision: int
    items: list[WireItem]
    parts: list[WirePart] = []


_UPDATE_DECODER = msgspec.msgpack.Decoder(HostUpdate)
_VIEW_DECODER = msgspec.msgpack.Decoder(View)
_ENCODER = msgspec.msgpack.Encoder()


def encode_update(update: HostUpdate) -> bytes:
    """Return the datagram of an update."""
    return _ENCODER.encode(update)


def decode_update(data: bytes) -> HostUpdate:
    """Return the update in a datagram.

    Raises:
        InvalidDataError: The datagram holds no update.
    """
    return decode(_UPDATE_DECODER, data)


def encode_view(view: View) -> bytes:
    """Return the compressed wire form of a view."""
    return zlib.compress(_ENCODER.encode(view), VIEW_COMPRESSION_LEVEL)


def decode_view(data: bytes) -> View:
    """Return the view in an answer.

    Raises:
        InvalidDataError: The data hold no view, or one above ``MAX_VIEW_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(data, MAX_VIEW_BYTES)
    except zlib.error as error:
        raise InvalidDataError(f"view: {error}") from error
    if not decompressor.eof:
        raise InvalidDataError("view: truncated, or larger than the limit")
    return decode(_VIEW_DECODER, payload)
