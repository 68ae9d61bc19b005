"""Releases what a host owns before it stops, so that others take over sooner."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from gypsumfield.clock import Clock
from gypsumfield.control_loop import ControlLoop
from gypsumfield.messages import OwnershipReleased
from gypsumfield.messages import ReleaseCheck

CHECK_LIFETIME_MS = 1_000.0


class OwningService(Protocol):
    """A service that owns a part of the zone, such as slots or account shares."""

    def retire(self) -> None:
        """Release everything that this host owns."""

    def record_release(self, host: str) -> None:
        """Record that another host has retired, as that host itself has confirmed."""


class Retirement:
    """Announces to the hosts of the zone that this host has retired.

    Also receives such announcements of other hosts. An announcement takes effect
    only after the current boot of its sender has confirmed it.

    Args:
        loop: Control loop of this host.
        clock: Monotonic clock.
        read_hosts: Returns the live entry hosts of this host's zone.
        services: Services that own something.
    """

    def __init__(
        self,
        loop: ControlLoop,
        clock: Clock,
        read_hosts: Callable[[], frozenset[str]],
        services: Iterable[OwningService],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._read_hosts = read_hosts
        self._services = tuple(services)
        self._is_retired = False
        self._checks: dict[str, tuple[str, float]] = {}
        self._check_count = 0
        loop.register(OwnershipReleased, self._receive_release)
        loop.register(ReleaseCheck, self._answer_check)

    def retire(self) -> None:
        """Release everything that this host owns and announce it to the zone.

        Call it together with leaving the membership, before answers are drained.
        Other hosts send slot requests to this host as long as they record it as live,
        and it must refuse them. Some seconds later they count it as an owner again,
        unless it has left by then.
        """
        self._is_retired = True
        for service in self._services:
            service.retire()
        for host in self._read_hosts() - {self._loop.host_id}:
            self._loop.send(host, OwnershipReleased())

    def _answer_check(
        self, _sender: str, check: ReleaseCheck
    ) -> OwnershipReleased | None:
        if not self._is_retired:
            return None
        return OwnershipReleased(check_id=check.check_id)

    def _receive_release(
        self, sender: str, message: OwnershipReleased
    ) -> ReleaseCheck | None:
        now_ms = self._clock.monotonic_ms()
        check_id, requested_at_ms = self._checks.get(sender, ("", 0.0))
        if message.check_id and message.check_id == check_id:
            del self._checks[sender]
            if now_ms - requested_at_ms <= CHECK_LIFETIME_MS:
                for service in self._services:
                    service.record_release(sender)
            return None
        if message.check_id:
            return None
        self._check_count += 1
        check_id = f"{self._loop.boot_id}/{self._check_count}"
        self._checks[sender] = (check_id, now_ms)
        return ReleaseCheck(check_id=check_id)
