"""What the slots of one entry host read of membership and policy."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.slots import CanAdmit
from gypsumfield.decisions.slots import no_inter_token_target
from gypsumfield.decisions.slots import ReadTarget


def _learn_nothing(_finished: FinishedLength) -> None:
    return None


class BackendDescription(NamedTuple):
    """What the owner must know of a backend server beforehand.

    Attributes:
        zone: Availability zone whose entry hosts own it; its own zone, or
            another one where its own has no entry hosts.
        boot_id: Its boot as the membership list says; empty if unknown.
        is_reporting: Whether it answers with load reports.
    """

    zone: str
    boot_id: str = ""
    is_reporting: bool = False


class SlotSources(NamedTuple):
    """What the service reads, at every tick and request.

    Attributes:
        read_view: Entry hosts of this host's zone, for ownership.
        read_hosts: Live entry hosts by zone, to find the owner to ask.
        describe_backend: Describes a backend server; None if it is unknown.
        can_admit: Judges a candidate by predicted memory.
        read_target_ms: Returns the target between tokens of a profile.
        record_output_length: Learns from an answer that another host carried.
    """

    read_view: Callable[[], ZoneView]
    read_hosts: Callable[[], Mapping[str, frozenset[str]]]
    describe_backend: Callable[[str], BackendDescription | None]
    can_admit: CanAdmit
    read_target_ms: ReadTarget = no_inter_token_target
    record_output_length: Callable[[FinishedLength], None] = _learn_nothing
