"""Messages between entry hosts, as MessagePack arrays.

Each message is tagged with a number and starts with its version. A newer
program may append fields: an older one ignores them, and a field that an older
sender left out takes its default.
"""

from typing import Any
from typing import Literal

import msgspec

from gypsumfield.platform_api import HostState

MESSAGE_VERSION = 1

LivenessState = Literal["live", "silent", "leaving"]
SpreadChannel = Literal["configuration", "members"]


class ControlMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages.

    Attributes:
        version: Version of the message's layout at its sender.
    """

    version: int = MESSAGE_VERSION


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """What a host believes of one boot of an entry host.

    Attributes:
        host_id: The entry host.
        boot_id: The boot it concerns.
        availability_zone: Zone of the host.
        incarnation: Raised by the host itself to refute a false report.
        state: Whether it is live, silent or leaving.
        control_address: ``IP:PORT`` of its control socket.
        control_public_key: CURVE public key of that socket.
    """

    host_id: str
    boot_id: str
    availability_zone: str
    incarnation: int
    state: LivenessState
    control_address: str = ""
    control_public_key: str = ""


class BackendNews(msgspec.Struct, frozen=True, array_like=True):
    """What an engine's own answers said of it, ahead of the platform's list.

    Attributes:
        host_id: The backend server.
        boot_id: The boot it concerns.
        state: Whether that boot is leaving.
    """

    host_id: str
    boot_id: str
    state: HostState


class Heartbeat(ControlMessage, frozen=True, tag=1):
    """Sign of life, with digests and the latest news of members.

    Attributes:
        self_news: The sender itself.
        heard_age_ms: How long ago the sender heard the receiver; -1 is never.
        configuration_revision: Revision in force at the sender.
        members_version: Version of the platform's member list at the sender.
        view_digest: Digest of the entry hosts that the sender's zone knows.
        news: Latest news of entry hosts, a bounded number.
        backend_news: Latest news of backend servers, a bounded number.
        platform_age_ms: How long ago the platform's latest answer left it, as
            far as the sender knows of its own or others'; -1 is never.
    """

    self_news: MemberNews = MemberNews("", "", "", 0, "live")
    heard_age_ms: int = -1
    configuration_revision: int = 0
    members_version: int = 0
    view_digest: int = 0
    news: tuple[MemberNews, ...] = ()
    backend_news: tuple[BackendNews, ...] = ()
    platform_age_ms: int = -1


class ViewRequest(ControlMessage, frozen=True, tag=2):
    """Asks for all news of one zone, after digests differed.

    Attributes:
        availability_zone: Zone that is asked for.
    """

    availability_zone: str = ""


class ViewAnswer(ControlMessage, frozen=True, tag=3):
    """All that the sender knows of one zone's entry hosts."""

    news: tuple[MemberNews, ...] = ()


class ValuesDelta(ControlMessage, frozen=True, tag=4):
    """Values that changed between two revisions.

    Attributes:
        channel: What the values are.
        after_revision: Revision from which on the changes are complete.
        revision: Revision reached with the changes.
        values: Raw values by key; None is a removal.
        key_revisions: Revision of the change of a key, where it is known and
            lower than ``revision``.
    """

    channel: SpreadChannel = "configuration"
    after_revision: int = 0
    revision: int = 0
    values: dict[str, Any] = {}
    key_revisions: dict[str, int] = {}


class ValuesDigest(ControlMessage, frozen=True, tag=5):
    """Tells the revision that the sender has reached in a channel."""

    channel: SpreadChannel = "configuration"
    revision: int = 0


class ValuesRequest(ControlMessage, frozen=True, tag=6):
    """Asks for the changes after a revision; answered by `ValuesDelta`."""

    channel: SpreadChannel = "configuration"
    after_revision: int = 0


class TokenRequest(ControlMessage, frozen=True, tag=10):
    """Asks a holder of an account's rate tokens for some of them.

    Attributes:
        request_id: Unique name; a repeated request is answered once.
        account: Client account.
        token_count: Tokens wanted.
        held_tokens: Tokens that the sender has.
        spare_tokens: Tokens that it could hold besides those wanted.
    """

    request_id: str = ""
    account: str = ""
    token_count: float = 0.0
    held_tokens: float = 0.0
    spare_tokens: float = 0.0


class TokenTransfer(ControlMessage, frozen=True, tag=11):
    """Moves rate tokens; the sender has subtracted them already.

    Attributes:
        transfer_id: Unique name; a repeated transfer is counted once.
        account: Client account.
        token_count: Tokens moved; 0 tells that none can be spared.
        receiver_boot_id: Boot of the receiver that the tokens are for.
        level_tokens: Tokens that the sender has left.
        capacity_tokens: Tokens that the sender can hold at most.
        mint_per_s: Tokens a second that the sender mints.
        availability_zone: Zone of the sender.
        zone_share: Part of every rate that the sender takes for its zone's.
    """

    transfer_id: str = ""
    account: str = ""
    token_count: float = 0.0
    receiver_boot_id: str = ""
    level_tokens: float = 0.0
    capacity_tokens: float = 0.0
    mint_per_s: float = 0.0
    availability_zone: str = ""
    zone_share: float = 0.0


class SlotRequest(ControlMessage, frozen=True, tag=20):
    """Asks the owner of a backend server for a slot.

    Attributes:
        request_id: Unique name of the caller's request.
        backend_server: Host id of the backend server.
        service: Service of the request.
        profile: Profile of the service.
        account: Client account.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Largest output.
        priority: Larger is served first.
        lease_id: Unique name that the lease shall have.
    """

    request_id: str = ""
    backend_server: str = ""
    service: str = ""
    profile: str = ""
    account: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 0
    lease_id: str = ""


class SlotGrant(ControlMessage, frozen=True, tag=21):
    """Grants a slot of a backend server.

    Attributes:
        lease_id: Unique name of the lease.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server that the lease is for.
        lease_ms: How long the lease lasts unless it is renewed.
    """

    lease_id: str = ""
    backend_server: str = ""
    boot_id: str = ""
    lease_ms: float = 0.0


class SlotRefused(ControlMessage, frozen=True, tag=22):
    """Refuses a slot.

    Attributes:
        backend_server: Host id of the backend server.
        reason: Why.
        retry_after_ms: When to ask again.
        lease_id: Name that the lease should have had.
        is_account_held_back: Whether another account might get the slot.
    """

    backend_server: str = ""
    reason: str = ""
    retry_after_ms: float = 0.0
    lease_id: str = ""
    is_account_held_back: bool = False


class SlotReturn(ControlMessage, frozen=True, tag=23):
    """Returns a lease with its evidence.

    Attributes:
        lease_id: Name of the lease.
        backend_server: Host id of the backend server.
        outcome: Value of a `gypsumfield.interfaces.SlotOutcome`.
        generated_tokens: Tokens the answer had.
        first_token_ms: Time to the first token, or None.
    """

    lease_id: str = ""
    backend_server: str = ""
    outcome: str = ""
    generated_tokens: int = 0
    first_token_ms: float | None = None


class LeaseReport(msgspec.Struct, frozen=True, array_like=True):
    """One lease in use, with all that a new owner must know of it.

    Attributes:
        lease_id: Name of the lease.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server that the lease is for.
        generated_tokens: Tokens its answer has so far.
        request_id: Unique name of the caller's request.
        service: Service of the request.
        profile: Profile of the service.
        account: Client account.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Largest output.
        priority: Larger is served first.
    """

    lease_id: str
    backend_server: str
    boot_id: str
    generated_tokens: int
    request_id: str
    service: str
    profile: str
    account: str
    prompt_tokens: int
    max_tokens: int
    priority: int


class SlotProgress(ControlMessage, frozen=True, tag=24):
    """Renews leases, or tells a new owner of them."""

    leases: tuple[LeaseReport, ...] = ()


class OwnershipReleased(ControlMessage, frozen=True, tag=26):
    """Tells that the sender has retired: it owns nothing and will not again.

    Attributes:
        check_id: Repeats the id of the check it answers; empty at first.
    """

    check_id: str = ""


class ReleaseCheck(ControlMessage, frozen=True, tag=27):
    """Asks whether the host's present boot has retired.

    A message of an earlier boot may arrive late, when a new one owns something.
    """

    check_id: str = ""


class BackendSummary(ControlMessage, frozen=True, tag=25):
    """What an owner knows of a backend server.

    Attributes:
        backend_server: Host id of the backend server.
        boot_id: Boot it speaks of.
        state: Whether it is leaving.
        is_cold: Whether it bears only a little load.
        running_count: Requests in flight.
        free_slots: Slots that the owner could grant now.
        predicted_memory_ratio: Predicted peak of its key-value memory, 0 to 1.
    """

    backend_server: str = ""
    boot_id: str = ""
    state: HostState = "live"
    is_cold: bool = True
    running_count: int = 0
    free_slots: int = 0
    predicted_memory_ratio: float = 0.0


AnyMessage = (
    Heartbeat
    | ViewRequest
    | ViewAnswer
    | ValuesDelta
    | ValuesDigest
    | ValuesRequest
    | TokenRequest
    | TokenTransfer
    | SlotRequest
    | SlotGrant
    | SlotRefused
    | SlotReturn
    | SlotProgress
    | BackendSummary
    | OwnershipReleased
    | ReleaseCheck
)
