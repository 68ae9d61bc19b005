"""Published configuration: typed values, checked one by one, by revision."""

from collections.abc import Mapping
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from gypsumfield.exceptions import ConfigurationError

UnitInterval = msgspec.Meta(ge=0.0, le=1.0)


class AvailabilityZone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``availability_zones/NAME``.

    Attributes:
        status: A zone that is ``out`` gets no new work.
        has_entry_hosts: Whether entry hosts stand in the zone. Zones without
            get no part of the account rates, and entry hosts of another zone
            grant the slots of their backend servers.
    """

    status: Literal["in", "out"]
    has_entry_hosts: bool = True


class ClientAccount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``client_accounts/NAME``.

    Attributes:
        key_digests: Hexadecimal SHA-256 digests of the account's keys.
        rate_per_s: Requests a second over all entry hosts together.
        burst: Requests that may come at once after a pause.
        services: Names of the services the account may use.
        weight: Share of a crowded service relative to other accounts.
    """

    key_digests: tuple[str, ...]
    rate_per_s: float
    burst: float
    services: tuple[str, ...]
    weight: float = 1.0


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``profiles/NAME``: the outcomes a service runs under.

    Attributes:
        priority: Larger is served first.
        first_token_target_ms: Wanted bound on the first token.
        between_tokens_target_ms: Wanted bound between two tokens.
        stall_timeout_ms: Silence after which a stream counts as stalled.
        deadline_ms: Bound on a whole answer.
        queue_wait_limit_ms: Longest wait before a request is refused.
        queue_limit: Requests that may wait on one entry host.
        memory_overrun_probability: Accepted chance that an engine runs out of
            key-value memory.
        max_output_tokens: Largest output a caller may ask for.
        retry_budget_ratio: Retries allowed as a share of first tries.
        on_key_withdrawn: What a running answer does when its key goes.
        cut_off_limit_ms: How long a host that is cut off from the platform
            and all peers serves on; None is without end.
    """

    priority: int = 0
    first_token_target_ms: float = 780.0
    between_tokens_target_ms: float = 47.0
    stall_timeout_ms: float = 2_000.0
    deadline_ms: float = 600_000.0
    queue_wait_limit_ms: float = 2_000.0
    queue_limit: int = 256
    memory_overrun_probability: float = 0.01
    max_output_tokens: int = 32_768
    retry_budget_ratio: float = 0.1
    on_key_withdrawn: Literal["finish", "cut"] = "finish"
    cut_off_limit_ms: float | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``services/NAME``.

    Attributes:
        kind: ``model`` for engines, ``plain`` for other services.
        profile: Name of the profile it runs under.
        model: Model its engines shall hold; empty takes the service's name.
        model_version: Version of the model its engines shall hold.
        adapters: Adapters its engines shall hold.
        open_routes: Routes that need no key, as ``METHOD /path/{name}``.
        idempotent_routes: Routes whose calls may be repeated.
        are_orders_fenced: Whether its engines refuse an old fencing number.
    """

    kind: Literal["model", "plain"]
    profile: str
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    open_routes: tuple[str, ...] = ()
    idempotent_routes: tuple[str, ...] = ()
    are_orders_fenced: bool = True


class CursorKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``cursor_keys/NAME``: key material for resume cursors.

    Attributes:
        secret: 32 bytes, hexadecimal.
        is_current: Whether new cursors are made with it. Others only open
            cursors in use.
    """

    secret: str
    is_current: bool


ConfigurationValue = AvailabilityZone | ClientAccount | Profile | Service | CursorKey

_TYPES_BY_PREFIX: Mapping[str, type[ConfigurationValue]] = {
    "availability_zones": AvailabilityZone,
    "client_accounts": ClientAccount,
    "profiles": Profile,
    "services": Service,
    "cursor_keys": CursorKey,
}

_DIGEST_CHARACTERS = frozenset("0123456789abcdef")
_SHA256_HEX_LENGTH = 64
_SECRET_HEX_LENGTH = 64


class ConfigurationDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes after one revision, as the platform and peers send them.

    Attributes:
        revision: Revision that is reached when all values are applied.
        values: Raw values by key; None is a removal.
        key_revisions: Revision of the change of a key, where it is known and
            lower than ``revision``.
    """

    revision: int
    values: dict[str, Any]
    key_revisions: dict[str, int] = {}


class Configuration(NamedTuple):
    """Immutable view of all accepted values at one revision.

    Attributes:
        revision: Latest revision of which nothing is missing.
        zones: Availability zones by name.
        accounts: Client accounts by name.
        profiles: Profiles by name.
        services: Services by name.
        cursor_keys: Cursor keys by name.
        rejected: Reason by key for published values that were refused.
    """

    revision: int
    zones: Mapping[str, AvailabilityZone]
    accounts: Mapping[str, ClientAccount]
    profiles: Mapping[str, Profile]
    services: Mapping[str, Service]
    cursor_keys: Mapping[str, CursorKey]
    rejected: Mapping[str, str]


EMPTY_CONFIGURATION = Configuration(0, {}, {}, {}, {}, {}, {})


def parse_value(key: str, raw: object) -> ConfigurationValue:
    """Check one published value.

    Args:
        key: ``PREFIX/NAME``.
        raw: Decoded JSON.

    Raises:
        ConfigurationError: The key has no known prefix or the value does not
            fit; the message names key and field.
    """
    prefix, _, name = key.partition("/")
    wanted = _TYPES_BY_PREFIX.get(prefix)
    if wanted is None or not name:
        known = ", ".join(sorted(_TYPES_BY_PREFIX))
        raise ConfigurationError(f"{key}: unknown key, expected one of {known}")
    try:
        value = msgspec.convert(raw, wanted)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"{key}: {error}") from error
    _check_meaning(key, value)
    return value


def _check_meaning(key: str, value: ConfigurationValue) -> None:
    if isinstance(value, ClientAccount):
        _check_account(key, value)
    elif isinstance(value, Profile):
        _check_profile(key, value)
    elif isinstance(value, Service):
        _check_service(key, value)
    elif isinstance(value, CursorKey):
        _check_hex(key, "secret", value.secret, _SECRET_HEX_LENGTH)


def _check_account(key: str, account: ClientAccount) -> None:
    _check_positive(key, "rate_per_s", account.rate_per_s)
    _check_positive(key, "burst", account.burst)
    _check_positive(key, "weight", account.weight)
    for digest in account.key_digests:
        _check_hex(key, "key_digests", digest, _SHA256_HEX_LENGTH)


def _check_profile(key: str, profile: Profile) -> None:
    for field in (
        "first_token_target_ms",
        "between_tokens_target_ms",
        "stall_timeout_ms",
        "deadline_ms",
        "queue_wait_limit_ms",
        "queue_limit",
        "max_output_tokens",
    ):
        _check_positive(key, field, getattr(profile, field))
    for field in ("memory_overrun_probability", "retry_budget_ratio"):
        ratio = getattr(profile, field)
        if not 0.0 <= ratio <= 1.0:
            raise ConfigurationError(
                f"{key}: field `{field}` is {ratio}, expected 0 to 1"
            )


def _check_service(key: str, service: Service) -> None:
    for field in ("open_routes", "idempotent_routes"):
        for route in getattr(service, field):
            method, _, path = route.partition(" ")
            if not method.isupper() or not path.startswith("/"):
                raise ConfigurationError(
                    f"{key}: field `{field}` holds {route!r}, "
                    "expected `METHOD /path/{name}`"
                )


def _check_positive(key: str, field: str, number: float) -> None:
    if not 0 < number < float("inf"):
        raise ConfigurationError(
            f"{key}: field `{field}` is {number}, expected a number above 0"
        )


def _check_hex(key: str, field: str, text: str, length: int) -> None:
    if len(text) != length or not _DIGEST_CHARACTERS.issuperset(text):
        # The text itself may be a secret and is not repeated.
        raise ConfigurationError(
            f"{key}: field `{field}` is not {length} lower-case hexadecimal digits"
        )


class ConfigurationStore:
    """Accepted values of one host; the revision never goes back.

    A value that does not fit is refused alone: the last good value of its key
    stays, the reason is kept, and all other keys advance.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.current = EMPTY_CONFIGURATION
        self._values: dict[str, ConfigurationValue] = {}
        self._raw: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._rejected: dict[str, str] = {}

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply the changes between two revisions.

        Args:
            after_revision: Revision the delta starts from. A delta that starts
                above this store's revision would leave a gap and is refused.
            delta: The changes.

        Returns:
            Whether the revision advanced.
        """
        if after_revision > self.revision or delta.revision <= self.revision:
            return False
        for key, raw in delta.values.items():
            changed = delta.key_revisions.get(key, delta.revision)
            self._apply_value(key, raw, changed)
        self.revision = delta.revision
        self.current = self._build_view()
        return True

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return every key that changed after ``revision``, removals included."""
        values = {
            key: self._raw.get(key)
            for key, changed in self._revisions.items()
            if changed > revision
        }
        key_revisions = {
            key: self._revisions[key]
            for key in values
            if self._revisions[key] < self.revision
        }
        return ConfigurationDelta(self.revision, values, key_revisions)

    def _apply_value(self, key: str, raw: object, revision: int) -> None:
        self._revisions[key] = revision
        if raw is None:
            self._raw.pop(key, None)
            self._values.pop(key, None)
            self._rejected.pop(key, None)
            return
        # Peers get the raw value even when it is refused here: they judge it
        # themselves, and a newer program may know fields that this one does not.
        self._raw[key] = raw
        try:
            self._values[key] = parse_value(key, raw)
        except ConfigurationError as error:
            self._rejected[key] = str(error)
        else:
            self._rejected.pop(key, None)

    def _build_view(self) -> Configuration:
        groups: dict[str, dict[str, Any]] = {prefix: {} for prefix in _TYPES_BY_PREFIX}
        for key, value in self._values.items():
            prefix, _, name = key.partition("/")
            groups[prefix][name] = value
        return Configuration(
            revision=self.revision,
            zones=groups["availability_zones"],
            accounts=groups["client_accounts"],
            profiles=groups["profiles"],
            services=groups["services"],
            cursor_keys=groups["cursor_keys"],
            rejected=dict(self._rejected),
        )
