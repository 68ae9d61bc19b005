"""Published configuration: typed and validated values with their revisions."""

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
        status: The backend servers of a zone that is ``out`` receive no new requests.
        has_entry_hosts: Whether the zone has entry hosts. A zone without them gets
            no share of the account rates, and entry hosts of another zone grant
            the slots of its backend servers.
    """

    status: Literal["in", "out"]
    has_entry_hosts: bool = True


class ClientAccount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``client_accounts/NAME``.

    Attributes:
        key_digests: Hexadecimal SHA-256 digests of the account's API keys.
        rate_per_s: Allowed requests per second over all entry hosts together.
        burst: Requests that may arrive at once after a pause.
        services: Names of the services that the account may use.
        weight: Weight of the account, relative to other accounts, in the fair
            shares of an overloaded service.
    """

    key_digests: tuple[str, ...]
    rate_per_s: float
    burst: float
    services: tuple[str, ...]
    weight: float = 1.0


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of ``profiles/NAME``: latency targets and limits of a service.

    Attributes:
        priority: Requests with a larger priority are served first.
        first_token_target_ms: Target for the time to the first token.
        between_tokens_target_ms: Target for the time between two tokens.
        stall_timeout_ms: Time without a token after which a stream counts as
            stalled.
        deadline_ms: Limit on the duration of a whole answer.
        queue_wait_limit_ms: Longest wait in the queue before a request is refused.
        queue_limit: Number of requests that may wait on one entry host.
        memory_overrun_probability: Accepted probability that an engine runs out of
            key-value cache memory.
        max_output_tokens: Largest output that a caller may request.
        retry_budget_ratio: Allowed retries as a fraction of first attempts.
        on_key_withdrawn: What happens to a running answer when the API key of its
            request is withdrawn.
        cut_off_limit_ms: How long a host continues to serve while it is isolated
            from the platform and from all peers. None sets no limit.
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
        profile: Name of the profile of the service.
        model: Model that its engines should have loaded. Empty means a model with
            the name of the service.
        model_version: Version of the model that its engines should have loaded.
        adapters: Adapters that its engines should have loaded.
        open_routes: Routes that need no API key, as ``METHOD /path/{name}``.
        idempotent_routes: Routes whose calls may be retried.
        are_orders_fenced: Whether its engines refuse orders with an outdated
            fencing number.
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
        is_current: Whether new cursors are sealed with this key. The other keys
            only open cursors that were issued before.
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

_HEX_CHARACTERS = frozenset("0123456789abcdef")
_SHA256_HEX_LENGTH = 64
_SECRET_HEX_LENGTH = 64


class ConfigurationDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes since a revision, as the platform and peers send them.

    Attributes:
        revision: Revision of the configuration after all values are applied.
        values: Raw values by key. None removes the key.
        key_revisions: Revision in which a key changed, where it is known and lower
            than ``revision``.
    """

    revision: int
    values: dict[str, Any]
    key_revisions: dict[str, int] = {}


class Configuration(NamedTuple):
    """Immutable view of all accepted values at one revision.

    Attributes:
        revision: Latest revision up to which all changes have been applied.
        zones: Availability zones by name.
        accounts: Client accounts by name.
        profiles: Profiles by name.
        services: Services by name.
        cursor_keys: Cursor keys by name.
        rejected: Reason of rejection by key, for published values that are invalid.
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
    """Convert one published value to its type and validate it.

    Args:
        key: Key of the value, ``PREFIX/NAME``.
        raw: Value as decoded from JSON.

    Raises:
        ConfigurationError: The prefix of the key is unknown or the value is
            invalid. The message names the key and the field.
    """
    prefix, _, name = key.partition("/")
    value_type = _TYPES_BY_PREFIX.get(prefix)
    if value_type is None or not name:
        known_prefixes = ", ".join(sorted(_TYPES_BY_PREFIX))
        raise ConfigurationError(
            f"{key}: unknown key, expected one of {known_prefixes}"
        )
    try:
        value = msgspec.convert(raw, value_type)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"{key}: {error}") from error
    _validate(key, value)
    return value


def _validate(key: str, value: ConfigurationValue) -> None:
    if isinstance(value, ClientAccount):
        _validate_account(key, value)
    elif isinstance(value, Profile):
        _validate_profile(key, value)
    elif isinstance(value, Service):
        _validate_service(key, value)
    elif isinstance(value, CursorKey):
        _require_hex(key, "secret", value.secret, _SECRET_HEX_LENGTH)


def _validate_account(key: str, account: ClientAccount) -> None:
    _require_positive(key, "rate_per_s", account.rate_per_s)
    _require_positive(key, "burst", account.burst)
    _require_positive(key, "weight", account.weight)
    for digest in account.key_digests:
        _require_hex(key, "key_digests", digest, _SHA256_HEX_LENGTH)


def _validate_profile(key: str, profile: Profile) -> None:
    for field in (
        "first_token_target_ms",
        "between_tokens_target_ms",
        "stall_timeout_ms",
        "deadline_ms",
        "queue_wait_limit_ms",
        "queue_limit",
        "max_output_tokens",
    ):
        _require_positive(key, field, getattr(profile, field))
    for field in ("memory_overrun_probability", "retry_budget_ratio"):
        ratio = getattr(profile, field)
        if not 0.0 <= ratio <= 1.0:
            raise ConfigurationError(
                f"{key}: field `{field}` is {ratio}, expected 0 to 1"
            )


def _validate_service(key: str, service: Service) -> None:
    for field in ("open_routes", "idempotent_routes"):
        for route in getattr(service, field):
            method, _, path = route.partition(" ")
            if not method.isupper() or not path.startswith("/"):
                raise ConfigurationError(
                    f"{key}: field `{field}` holds {route!r}, "
                    "expected `METHOD /path/{name}`"
                )


def _require_positive(key: str, field: str, number: float) -> None:
    if not 0 < number < float("inf"):
        raise ConfigurationError(
            f"{key}: field `{field}` is {number}, expected a number above 0"
        )


def _require_hex(key: str, field: str, text: str, length: int) -> None:
    if len(text) != length or not _HEX_CHARACTERS.issuperset(text):
        # The message does not contain the text, because it may be a secret.
        raise ConfigurationError(
            f"{key}: field `{field}` is not {length} lower-case hexadecimal digits"
        )


class ConfigurationStore:
    """Accepted configuration values of one host. The revision never decreases.

    An invalid value is rejected without affecting other keys: the last valid value
    of its key stays in force and the reason is stored.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.current = EMPTY_CONFIGURATION
        self._values: dict[str, ConfigurationValue] = {}
        self._raw: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._rejected: dict[str, str] = {}

    def profile_name(self, service: str) -> str:
        """Return the name of a service's profile, or an empty string."""
        definition = self.current.services.get(service)
        return definition.profile if definition else ""

    def profile(self, name: str) -> Profile:
        """Return a profile; the default one for requests whose own was withdrawn."""
        return self.current.profiles.get(name, Profile())

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply the changes between two revisions.

        Args:
            after_revision: Revision from which the delta starts. A delta that
                starts above the revision of this store would leave a gap and is
                not applied.
            delta: Changes since that revision.

        Returns:
            Whether the delta was applied and the revision increased.
        """
        if after_revision > self.revision or delta.revision <= self.revision:
            return False
        for key, raw in delta.values.items():
            changed_revision = delta.key_revisions.get(key, delta.revision)
            self._apply_value(key, raw, changed_revision)
        self.revision = delta.revision
        self.current = self._build_view()
        return True

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return all keys that changed after ``revision``, including removed keys."""
        values = {
            key: self._raw.get(key)
            for key, changed_revision in self._revisions.items()
            if changed_revision > revision
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
        # Peers receive the raw value even if it is rejected here. They validate it
        # themselves, and a newer program version may know fields that this one
        # does not.
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
