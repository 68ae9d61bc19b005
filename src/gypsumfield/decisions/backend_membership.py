"""Backend servers, from the platform's delayed list and the engines' own reports."""

from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.decisions.gossip_queue import GossipQueue
from gypsumfield.messages import BackendRecord
from gypsumfield.platform_api import HostState
from gypsumfield.platform_api import Member


class LiveBackendServer(NamedTuple):
    """Backend server that may get new work, according to membership.

    Attributes:
        host_id: Id of the server.
        availability_zone: Zone of the server.
        address: ``IP:PORT`` for HTTP.
        boot_id: Latest recorded boot id, or empty.
    """

    host_id: str
    availability_zone: str
    address: str
    boot_id: str


class BackendMembership:
    """Backend servers as recorded by one entry host.

    A boot that is recorded as leaving stays so until another boot is reported;
    the platform's list cannot revert it for the same boot.

    Attributes:
        local_zone: Zone of the entry host.
        has_urgent_updates: Whether an update must be sent to peers at once.
        gossip: Updates that are still to be sent.
    """

    def __init__(self, local_zone: str) -> None:
        self.local_zone = local_zone
        self.has_urgent_updates = False
        self.gossip: GossipQueue[str, BackendRecord] = GossipQueue()
        self._listed: dict[str, Member] = {}
        self._records: dict[str, BackendRecord] = {}
        self._ended_boots: dict[str, set[str]] = {}

    def merge_platform_list(self, hosts: Iterable[Member]) -> None:
        """Replace the platform's list, and remove records of servers not on it."""
        self._listed = {
            member.host_id: member for member in hosts if member.role == "backend"
        }
        for host_id in self._records.keys() - self._listed.keys():
            del self._records[host_id]
        for host_id in self._ended_boots.keys() - self._listed.keys():
            del self._ended_boots[host_id]

    def report(self, host_id: str, boot_id: str, state: HostState) -> None:
        """Record a state that an engine itself reported, and queue it for the peers."""
        self.merge_record(BackendRecord(host_id, boot_id, state))

    def merge_record(self, record: BackendRecord) -> None:
        """Merge an update of a peer; one about a boot that has ended is ignored."""
        recorded = self._records.get(record.host_id)
        ended = self._ended_boots.setdefault(record.host_id, set())
        if recorded == record or (record.boot_id in ended and record.state == "live"):
            return
        if recorded is not None and recorded.boot_id != record.boot_id:
            if record.boot_id in ended:
                return
            ended.add(recorded.boot_id)
        if record.state == "leaving":
            ended.add(record.boot_id)
            self.has_urgent_updates = True
        self._records[record.host_id] = record
        self.gossip.add(record.host_id, record)

    @property
    def is_empty(self) -> bool:
        """Whether the platform has listed no backend server yet."""
        return not self._listed

    def boot_id_of(self, host_id: str) -> str:
        """Return the latest recorded boot id, or an empty string."""
        record = self._records.get(host_id)
        if record is not None:
            return record.boot_id
        member = self._listed.get(host_id)
        return member.boot_id if member else ""

    def member_of(self, host_id: str) -> Member | None:
        """Return the platform's entry of a backend server, or None if not listed."""
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
        record = self._records.get(member.host_id)
        if record is None:
            return member.state == "leaving"
        if record.state == "leaving":
            ended = self._ended_boots.get(member.host_id, set())
            is_new_boot = bool(member.boot_id) and member.boot_id not in ended
            return not is_new_boot or member.state == "leaving"
        # The list lags and may still describe the previous boot.
        return member.state == "leaving" and member.boot_id in ("", record.boot_id)
