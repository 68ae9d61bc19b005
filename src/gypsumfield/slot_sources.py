"""Data and functions that the slot service reads from the rest of the host."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.slots import CanAdmit
from gypsumfield.decisions.slots import no_inter_token_target
from gypsumfield.decisions.slots import ReadTarget


def _discard_length(_finished: FinishedLength) -> None:
    return None


class BackendDescription(NamedTuple):
    """Facts about a backend server from membership and configuration.

    Attributes:
        zone: Availability zone whose entry hosts own the server: its own zone, or
            another one if its own has no entry hosts.
        boot_id: Its boot according to the membership; empty if unknown.
        is_reporting: Whether it provides load reports.
    """

    zone: str
    boot_id: str = ""
    is_reporting: bool = False


class SlotSources(NamedTuple):
    """Functions that the slot service calls at every tick and request.

    Attributes:
        read_view: Returns the entry hosts of this host's zone, for ownership.
        read_hosts: Returns the live entry hosts by zone, to find an owner.
        describe_backend: Describes a backend server; None if it is unknown.
        can_admit: Returns whether a candidate fits into the predicted memory.
        read_target_ms: Returns a profile's target for the time between two tokens, in
            milliseconds.
        record_output_length: Records the output length of a generation that another
            host relayed.
    """

    read_view: Callable[[], ZoneView]
    read_hosts: Callable[[], Mapping[str, frozenset[str]]]
    describe_backend: Callable[[str], BackendDescription | None]
    can_admit: CanAdmit
    read_target_ms: ReadTarget = no_inter_token_target
    record_output_length: Callable[[FinishedLength], None] = _discard_length
