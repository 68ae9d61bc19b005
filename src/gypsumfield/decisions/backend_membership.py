"""Backend servers: the platform's lagging list and what engines say themselves."""

from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.decisions.rumours import RumourQueue
from gypsumfield.messages import BackendNews
from gypsumfield.platform_api import HostState
from gypsumfield.platform_api import Member


class LiveBackendServer(NamedTuple):
    """Backend server that may get new work, as far as membership knows.

    Attributes:
        host_id: Its name.
        availability_zone: Zone it stands in.
        address: ``IP:PORT`` for HTTP.
        boot_id: Latest boot known, or empty.
    """

    host_id: str
    availability_zone: str
    address: str
    boot_id: str


class BackendMembership:
    """Backend servers as one entry host sees them.

    News of a boot that is leaving holds until another boot is heard of; the
    platform's list cannot take it back for the same boot.

    Attributes:
        own_zone: Zone of the entry host.
        has_urgent_news: Whether peers must hear of something at once.
        rumours: News that is still to be passed on.
    """

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self.has_urgent_news = False
        self.rumours: RumourQueue[str, BackendNews] = RumourQueue()
        self._listed: dict[str, Member] = {}
        self._news: dict[str, BackendNews] = {}
        self._ended_boots: dict[str, set[str]] = {}

    def merge_platform_list(self, hosts: Iterable[Member]) -> None:
        """Replace what the platform lists."""
        self._listed = {
            member.host_id: member for member in hosts if member.role == "backend"
        }
        for host_id in self._news.keys() - self._listed.keys():
            del self._news[host_id]
        for host_id in self._ended_boots.keys() - self._listed.keys():
            del self._ended_boots[host_id]

    def report(self, host_id: str, boot_id: str, state: HostState) -> None:
        """Record what an engine's own answer said; it spreads to the peers."""
        self.take_news(BackendNews(host_id, boot_id, state))

    def take_news(self, news: BackendNews) -> None:
        """Merge news of a peer; news of a boot that has ended is ignored."""
        known = self._news.get(news.host_id)
        ended = self._ended_boots.setdefault(news.host_id, set())
        if known == news or (news.boot_id in ended and news.state == "live"):
            return
        if known is not None and known.boot_id != news.boot_id:
            if news.boot_id in ended:
                return
            ended.add(known.boot_id)
        if news.state == "leaving":
            ended.add(news.boot_id)
            self.has_urgent_news = True
        self._news[news.host_id] = news
        self.rumours.add(news.host_id, news)

    @property
    def is_empty(self) -> bool:
        """Whether the platform has listed no backend server yet."""
        return not self._listed

    def boot_id_of(self, host_id: str) -> str:
        """Return the latest boot heard of, or an empty text."""
        news = self._news.get(host_id)
        if news is not None:
            return news.boot_id
        member = self._listed.get(host_id)
        return member.boot_id if member else ""

    def member_of(self, host_id: str) -> Member | None:
        """Return the platform's entry of a backend server."""
        return self._listed.get(host_id)

    def listed(self) -> list[Member]:
        """Return every backend server on the platform's list."""
        return list(self._listed.values())

    def live(self, service: str | None = None) -> list[LiveBackendServer]:
        """Return the backend servers of a service, or all, that are not leaving."""
        return [
            LiveBackendServer(
                member.host_id,
                member.availability_zone,
                member.address,
                self.boot_id_of(member.host_id),
            )
            for member in self._listed.values()
            if (service is None or service in member.services)
            and not self.is_leaving(member)
        ]

    def is_leaving(self, member: Member) -> bool:
        """Return whether a listed backend server must get no new work."""
        news = self._news.get(member.host_id)
        if news is None:
            return member.state == "leaving"
        if news.state == "leaving":
            ended = self._ended_boots.get(member.host_id, set())
            is_new_boot = bool(member.boot_id) and member.boot_id not in ended
            return not is_new_boot or member.state == "leaving"
        # The list may still speak of the boot before.
        return member.state == "leaving" and member.boot_id in ("", news.boot_id)
