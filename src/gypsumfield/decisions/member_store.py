"""The platform's member list as values by revision, so that it spreads alike."""

from collections.abc import Iterable
from typing import Any

import msgspec

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList


class MemberStore:
    """Members by host id at one version of the list; it never goes back.

    Attributes:
        revision: Version of the list.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._members: dict[str, Member] = {}
        self._revisions: dict[str, int] = {}

    def members(self) -> Iterable[Member]:
        """Return all members."""
        return self._members.values()

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply changes; an entry that is no member is left out alone.

        Returns:
            Whether the version advanced.
        """
        if after_revision > self.revision or delta.revision <= self.revision:
            return False
        for host_id, raw in delta.values.items():
            changed = delta.key_revisions.get(host_id, delta.revision)
            self._apply_member(host_id, raw, changed)
        self.revision = delta.revision
        return True

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return every member that changed after ``revision``; None is removed."""
        changed = {
            host_id: at for host_id, at in self._revisions.items() if at > revision
        }
        values = {host_id: self._raw(host_id) for host_id in changed}
        earlier = {host_id: at for host_id, at in changed.items() if at < self.revision}
        return ConfigurationDelta(self.revision, values, earlier)

    def delta_to(self, listed: MemberList) -> ConfigurationDelta:
        """Return what differs between this store and a list of the platform."""
        hosts = {member.host_id: member for member in listed.hosts}
        values: dict[str, Any] = {
            host_id: msgspec.to_builtins(member)
            for host_id, member in hosts.items()
            if self._members.get(host_id) != member
        }
        values.update(dict.fromkeys(self._members.keys() - hosts))
        return ConfigurationDelta(listed.version, values)

    def _raw(self, host_id: str) -> Any:
        member = self._members.get(host_id)
        return None if member is None else msgspec.to_builtins(member)

    def _apply_member(self, host_id: str, raw: object, changed: int) -> None:
        self._revisions[host_id] = changed
        if raw is None:
            self._members.pop(host_id, None)
            return
        try:
            self._members[host_id] = msgspec.convert(raw, Member)
        except msgspec.ValidationError:
            # The last good entry stays; the next list brings the host again.
            return
