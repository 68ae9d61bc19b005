"""The platform's member list by version, spread like the configuration."""

from collections.abc import Iterable
from typing import Any

import msgspec

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList


class MemberStore:
    """Members by host id at one version of the list; the version never decreases.

    Attributes:
        revision: Version of the list, 0 when there is none yet.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._members: dict[str, Member] = {}
        self._revisions: dict[str, int] = {}

    def members(self) -> Iterable[Member]:
        """Return all members of the current version."""
        return self._members.values()

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply changes; an invalid entry is skipped and the others are applied.

        Args:
            after_revision: Version that the changes are based on.
            delta: Raw members by host id, None for a removed one.

        Returns:
            Whether the version advanced; False when the changes leave a gap or
            are not newer.
        """
        if after_revision > self.revision or delta.revision <= self.revision:
            return False
        for host_id, raw in delta.values.items():
            changed_revision = delta.key_revisions.get(host_id, delta.revision)
            self._apply_member(host_id, raw, changed_revision)
        self.revision = delta.revision
        return True

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return every member that changed after ``revision``, None if removed."""
        changed = {
            host_id: last_changed
            for host_id, last_changed in self._revisions.items()
            if last_changed > revision
        }
        values = {host_id: self._to_raw(host_id) for host_id in changed}
        earlier = {
            host_id: last_changed
            for host_id, last_changed in changed.items()
            if last_changed < self.revision
        }
        return ConfigurationDelta(self.revision, values, earlier)

    def delta_to(self, listed: MemberList) -> ConfigurationDelta:
        """Return the changes that lead from this store to a list of the platform."""
        hosts = {member.host_id: member for member in listed.hosts}
        values: dict[str, Any] = {
            host_id: msgspec.to_builtins(member)
            for host_id, member in hosts.items()
            if self._members.get(host_id) != member
        }
        values.update(dict.fromkeys(self._members.keys() - hosts))
        return ConfigurationDelta(listed.version, values)

    def _to_raw(self, host_id: str) -> Any:
        member = self._members.get(host_id)
        return None if member is None else msgspec.to_builtins(member)

    def _apply_member(self, host_id: str, raw: object, changed_revision: int) -> None:
        self._revisions[host_id] = changed_revision
        if raw is None:
            self._members.pop(host_id, None)
            return
        try:
            self._members[host_id] = msgspec.convert(raw, Member)
        except msgspec.ValidationError:
            # The last valid entry is retained until a later list replaces it.
            return
