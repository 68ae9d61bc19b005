"""Gives up what a host owns before it stops, so that others take over soon."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from gypsumfield.clock import Clock
from gypsumfield.control_loop import ControlLoop
from gypsumfield.messages import OwnershipReleased
from gypsumfield.messages import ReleaseCheck

CHECK_LIFETIME_MS = 1_000.0


class OwnedParts(Protocol):
    """A service that owns something of the zone, such as slots or shares."""

    def retire(self) -> None:
        """Own nothing any more."""

    def record_release(self, host: str) -> None:
        """Learn from a host itself that it has retired."""


class Retirement:
    """Tells the zone's hosts that this one has retired, and hears it of others.

    What a host says is checked with its present boot before it is believed.

    Args:
        loop: Control loop of this host.
        clock: Clock of this host.
        read_hosts: Entry hosts of this host's zone.
        services: What owns something.
    """

    def __init__(
        self,
        loop: ControlLoop,
        clock: Clock,
        read_hosts: Callable[[], frozenset[str]],
        services: Iterable[OwnedParts],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._read_hosts = read_hosts
        self._services = tuple(services)
        self._is_retired = False
        self._checks: dict[str, tuple[str, float]] = {}
        self._check_count = 0
        loop.register(OwnershipReleased, self._take_release)
        loop.register(ReleaseCheck, self._answer_check)

    def retire(self) -> None:
        """Give everything up and tell the others.

        To be called together with leaving the membership, before answers are
        drained: others ask this host in vain as long as they believe it live,
        and count it again some seconds later if it has not left by then.
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

    def _take_release(
        self, sender: str, message: OwnershipReleased
    ) -> ReleaseCheck | None:
        now_ms = self._clock.monotonic_ms()
        check_id, asked_at_ms = self._checks.get(sender, ("", 0.0))
        if message.check_id and message.check_id == check_id:
            del self._checks[sender]
            if now_ms - asked_at_ms <= CHECK_LIFETIME_MS:
                for service in self._services:
                    service.record_release(sender)
            return None
        if message.check_id:
            return None
        self._check_count += 1
        check_id = f"{self._loop.boot_id}/{self._check_count}"
        self._checks[sender] = (check_id, now_ms)
        return ReleaseCheck(check_id=check_id)
