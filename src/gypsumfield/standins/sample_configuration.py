"""Sample configuration for the small fleet that ``gypsumfield-local`` runs."""

import hashlib
import random
from typing import Any
from typing import NamedTuple

import msgspec

from gypsumfield.configuration import AvailabilityZone
from gypsumfield.configuration import ClientAccount
from gypsumfield.configuration import CursorKey
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service

MODEL_SERVICE = "assistant"
PLAIN_SERVICE = "ledger"
SERVICE_KINDS = {MODEL_SERVICE: "model", PLAIN_SERVICE: "plain"}

_ZONE_NAMES = ("guayaquil", "manta", "salinas", "esmeraldas")
_KEY_BITS = 128
_SECRET_BITS = 256


class _AccountLimits(NamedTuple):
    rate_per_s: float
    burst: float
    weight: float


_ACCOUNT_LIMITS = {
    "quinonez_vendors": _AccountLimits(400.0, 800.0, 4.0),
    "guayas_carts": _AccountLimits(40.0, 80.0, 1.0),
    "manabi_carts": _AccountLimits(40.0, 80.0, 1.0),
    "esmeraldas_carts": _AccountLimits(4.0, 8.0, 1.0),
}

PROFILES = {
    "dawn_briefing": Profile(priority=10),
    "short_tag": Profile(
        priority=20,
        first_token_target_ms=300.0,
        queue_wait_limit_ms=1_000.0,
        deadline_ms=10_000.0,
        max_output_tokens=64,
    ),
    "long_write_up": Profile(stall_timeout_ms=5_000.0, queue_wait_limit_ms=10_000.0),
    "plain_ledger": Profile(priority=5, deadline_ms=10_000.0),
}

SERVICES = {
    MODEL_SERVICE: Service(
        kind="model",
        profile="dawn_briefing",
        model=MODEL_SERVICE,
        model_version="1",
    ),
    PLAIN_SERVICE: Service(
        kind="plain",
        profile="plain_ledger",
        open_routes=("GET /prices",),
        idempotent_routes=("GET /balances/{cart}", "GET /prices"),
    ),
}


class SampleAccount(msgspec.Struct, frozen=True):
    """A client account with its key in plain text, to try out the fleet.

    Attributes:
        key: Key to send as ``Authorization: Bearer KEY``.
        rate_per_s: Allowed requests per second over all entry hosts together.
        burst: Number of requests that are accepted at once after an idle time.
    """

    key: str
    rate_per_s: float
    burst: float


def zone_names(count: int) -> tuple[str, ...]:
    """Return ``count`` names of availability zones."""
    generated_names = tuple(
        f"zone-{number}" for number in range(len(_ZONE_NAMES) + 1, count + 1)
    )
    return (_ZONE_NAMES + generated_names)[:count]


def sample_accounts(seed: int) -> dict[str, SampleAccount]:
    """Return the client accounts by name; the keys depend only on ``seed``."""
    rng = random.Random(seed)
    return {
        name: SampleAccount(
            key=f"gf-{rng.getrandbits(_KEY_BITS):032x}",
            rate_per_s=limits.rate_per_s,
            burst=limits.burst,
        )
        for name, limits in _ACCOUNT_LIMITS.items()
    }


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest that is published for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def sample_values(zones: tuple[str, ...], seed: int) -> dict[str, Any]:
    """Return all values to publish by key, as JSON-compatible objects."""
    values: dict[str, msgspec.Struct] = {}
    for zone in zones:
        values[f"availability_zones/{zone}"] = AvailabilityZone("in")
    for name, account in sample_accounts(seed).items():
        values[f"client_accounts/{name}"] = ClientAccount(
            key_digests=(key_digest(account.key),),
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            services=tuple(SERVICE_KINDS),
            weight=_ACCOUNT_LIMITS[name].weight,
        )
    values |= {f"profiles/{name}": profile for name, profile in PROFILES.items()}
    values |= {f"services/{name}": service for name, service in SERVICES.items()}
    secret = random.Random(f"cursor {seed}").getrandbits(_SECRET_BITS)
    values["cursor_keys/first"] = CursorKey(f"{secret:064x}", is_current=True)
    return {key: msgspec.to_builtins(value) for key, value in values.items()}
