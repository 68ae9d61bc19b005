"""Control messages between entry hosts, encoded as MessagePack arrays.

Each message starts with the number of its type and its version. A newer version
of the program may append fields. An older version ignores them, and a field that
an older sender omits has its default.
"""

from typing import Any
from typing import Literal

import msgspec

from gypsumfield.platform_api import HostState

MESSAGE_VERSION = 1

LivenessState = Literal["live", "silent", "leaving"]
SpreadChannel = Literal["configuration", "members"]


class ControlMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all control messages.

    Attributes:
        version: Layout version that the sender uses.
    """

    version: int = MESSAGE_VERSION


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded state of one boot of an entry host, exchanged between hosts.

    Attributes:
        host_id: Host id of the entry host.
        boot_id: Boot of the host to which the entry applies.
        availability_zone: Zone of the host.
        incarnation: Version of the entry; increased only by the host itself, to
            refute a false report.
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


class BackendRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of an engine from its own answers, newer than the platform's list.

    Attributes:
        host_id: Host id of the backend server.
        boot_id: Boot of the server to which the entry applies.
        state: Whether that boot is leaving.
    """

    host_id: str
    boot_id: str
    state: HostState


class Heartbeat(ControlMessage, frozen=True, tag=1):
    """Heartbeat with digests and the latest updates of members.

    Attributes:
        self_record: Entry of the sender itself.
        received_age_ms: Age of the receiver's latest message at the sender; -1 means
            that there was none.
        configuration_revision: Configuration revision in force at the sender.
        members_version: Version of the platform's member list at the sender.
        view_digest: Digest of the live hosts of the sender's zone, as recorded by the
            sender.
        records: Latest updates of entry hosts, a bounded number.
        backend_records: Latest updates of backend servers, a bounded number.
        platform_age_ms: Age of the platform's latest answer to any host that the
            sender knows of, including itself; -1 means that there was none.
    """

    self_record: MemberRecord = MemberRecord("", "", "", 0, "live")
    received_age_ms: int = -1
    configuration_revision: int = 0
    members_version: int = 0
    view_digest: int = 0
    records: tuple[MemberRecord, ...] = ()
    backend_records: tuple[BackendRecord, ...] = ()
    platform_age_ms: int = -1


class ViewRequest(ControlMessage, frozen=True, tag=2):
    """Requests all entries of one zone, sent when the digests differ.

    Attributes:
        availability_zone: Zone whose entries are requested.
    """

    availability_zone: str = ""


class ViewAnswer(ControlMessage, frozen=True, tag=3):
    """All entries that the sender has of the entry hosts of one zone."""

    records: tuple[MemberRecord, ...] = ()


class ValuesDelta(ControlMessage, frozen=True, tag=4):
    """Values that changed between two revisions.

    Attributes:
        channel: Kind of the values.
        after_revision: The changes are complete from this revision on.
        revision: Revision after the changes have been applied.
        values: Raw values by key; None removes the key.
        key_revisions: Revision in which a key changed, where it is known and
            lower than ``revision``.
    """

    channel: SpreadChannel = "configuration"
    after_revision: int = 0
    revision: int = 0
    values: dict[str, Any] = {}
    key_revisions: dict[str, int] = {}


class ValuesDigest(ControlMessage, frozen=True, tag=5):
    """Announces the sender's revision of a channel."""

    channel: SpreadChannel = "configuration"
    revision: int = 0


class ValuesRequest(ControlMessage, frozen=True, tag=6):
    """Requests the changes after a revision; answered by `ValuesDelta`."""

    channel: SpreadChannel = "configuration"
    after_revision: int = 0


class TokenRequest(ControlMessage, frozen=True, tag=10):
    """Requests rate tokens of an account from a host that holds some.

    Attributes:
        request_id: Unique id; the answer has it as ``transfer_id``.
        account: Client account whose tokens are requested.
        token_count: Number of requested tokens.
        held_tokens: Tokens that the sender holds.
        spare_tokens: Tokens that the sender could hold beyond those requested.
    """

    request_id: str = ""
    account: str = ""
    token_count: float = 0.0
    held_tokens: float = 0.0
    spare_tokens: float = 0.0


class TokenTransfer(ControlMessage, frozen=True, tag=11):
    """Transfers rate tokens; the sender has already subtracted them.

    Attributes:
        transfer_id: Id of the request; a repeated transfer is counted once.
        account: Client account to which the tokens belong.
        token_count: Number of transferred tokens; 0 if the sender has none to spare.
        receiver_boot_id: Boot of the receiver for which the tokens are valid.
        level_tokens: Tokens that the sender has left.
        capacity_tokens: Maximum number of tokens that the sender can hold.
        mint_per_s: Tokens that the sender mints per second.
        availability_zone: Zone of the sender.
        zone_share: Fraction of every account's rate that the sender attributes
            to its zone.
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
    """Requests a slot from the owner of a backend server.

    Attributes:
        request_id: Unique id of the caller's request.
        backend_server: Host id of the backend server.
        service: Service of the request.
        profile: Profile of the service.
        account: Client account of the request.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Maximum length of the output.
        priority: Requests with a larger value are served first.
        lease_id: Unique id for the new lease.
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
        lease_id: Unique id of the lease.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server for which the lease is valid.
        lease_ms: Duration of the lease if it is not renewed.
    """

    lease_id: str = ""
    backend_server: str = ""
    boot_id: str = ""
    lease_ms: float = 0.0


class SlotRefused(ControlMessage, frozen=True, tag=22):
    """Refuses the slot that a `SlotRequest` requested.

    Attributes:
        backend_server: Host id of the backend server.
        reason: Reason of the refusal.
        retry_after_ms: Time until the holder should retry.
        lease_id: Id of the requested lease.
        is_account_held_back: Whether a request of another account might get the
            slot.
    """

    backend_server: str = ""
    reason: str = ""
    retry_after_ms: float = 0.0
    lease_id: str = ""
    is_account_held_back: bool = False


class SlotReturn(ControlMessage, frozen=True, tag=23):
    """Returns a lease, with the result of its request.

    Attributes:
        lease_id: Id of the lease.
        backend_server: Host id of the backend server.
        outcome: Value of a `gypsumfield.interfaces.SlotOutcome`.
        generated_tokens: Number of tokens of the answer.
        first_token_ms: Time to the first token; None if there was none.
    """

    lease_id: str = ""
    backend_server: str = ""
    outcome: str = ""
    generated_tokens: int = 0
    first_token_ms: float | None = None


class LeaseReport(msgspec.Struct, frozen=True, array_like=True):
    """One lease in use, with everything that a new owner must know about it.

    Attributes:
        lease_id: Id of the lease.
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server for which the lease is valid.
        generated_tokens: Number of tokens of the answer so far.
        request_id: Unique id of the caller's request.
        service: Service of the request.
        profile: Profile of the service.
        account: Client account of the request.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Maximum length of the output.
        priority: Requests with a larger value are served first.
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
    """Renews leases, or reports them to a new owner."""

    leases: tuple[LeaseReport, ...] = ()


class OwnershipReleased(ControlMessage, frozen=True, tag=26):
    """Announces that the sender has retired: it owns nothing from now on.

    Attributes:
        check_id: Id of the `ReleaseCheck` that this message answers; empty in
            the first announcement.
    """

    check_id: str = ""


class ReleaseCheck(ControlMessage, frozen=True, tag=27):
    """Queries whether the current boot of a host has retired.

    An announcement of an earlier boot may arrive late, when the current boot
    already owns something.
    """

    check_id: str = ""


class PromptCrash(ControlMessage, frozen=True, tag=30):
    """An engine has crashed before the first token of a prompt.

    Attributes:
        parts: Numbers of the prompt's paragraphs.
        crash_id: Identifies the crash.
        is_later: Whether the prompt was sent after an earlier crash of a paragraph.
    """

    parts: list[int] = []
    crash_id: int = 0
    is_later: bool = False


class PromptAnswer(ControlMessage, frozen=True, tag=31):
    """A prompt with suspected paragraphs was answered.

    Attributes:
        parts: Numbers of the prompt's paragraphs.
        age_ms: Time since its request was sent.
    """

    parts: list[int] = []
    age_ms: int = 0


class BackendSummary(ControlMessage, frozen=True, tag=25):
    """Summary of an owner's record of a backend server.

    Attributes:
        backend_server: Host id of the backend server.
        boot_id: Boot of the backend server to which the summary applies.
        state: Whether it is leaving.
        is_cold: Whether it is cold, so that it can serve only a small load.
        running_count: Requests in flight.
        free_slots: Slots that the owner could grant now.
        predicted_memory_ratio: Predicted peak usage of its key-value cache, as a
            fraction from 0 to 1.
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
    | PromptCrash
    | PromptAnswer
)
