"""Wire form of what the hosts of the fleet tell each other."""

import msgspec


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


class News(msgspec.Struct, frozen=True, array_like=True):
    """One datagram; it may be lost, and replaces the one before.

    Attributes:
        host_id: Sender.
        boot_id: Start of the sender's process.
        ip: Address of the sender.
        availability_zone: Zone of the sender.
        revision: Revision up to which its view is complete.
        is_reaching: Whether the store answers it.
        peer_ips: Some of the hosts it has heard lately.
        own_loads: Its runs on engines that the receiver keeps count of.
        shared_loads: Runs of all hosts but the receiver on engines that the
            sender keeps count of.
        reports: Reports of engines that the sender has asked for.
        changes: Published items that changed after ``changes_after``.
        changes_after: Revision that the changes follow on.
    """

    host_id: str
    boot_id: str
    ip: str
    availability_zone: str
    revision: int
    is_reaching: bool
    peer_ips: list[str]
    own_loads: list[LoadNews]
    shared_loads: list[LoadNews]
    reports: list[ReportNews]
    changes: list[ItemNews] = []
    changes_after: int = 0


class View(msgspec.Struct, frozen=True, array_like=True):
    """Published items handed to a peer that asked for them."""

    revision: int
    items: list[ItemNews]


_NEWS_DECODER = msgspec.msgpack.Decoder(News)
_VIEW_DECODER = msgspec.msgpack.Decoder(View)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: News | View) -> bytes:
    """Return the wire form of a message."""
    return _ENCODER.encode(message)


def decode_news(data: bytes) -> News:
    """Return the news in a datagram.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return _NEWS_DECODER.decode(data)


def decode_view(data: bytes) -> View:
    """Return the view in an answer.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return _VIEW_DECODER.decode(data)
