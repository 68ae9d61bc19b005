"""Checks keys, accounts, services and routes of requests."""

import hashlib
import hmac
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.configuration import ClientAccount
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import Service
from gypsumfield.exceptions import Refusal

BEARER_PREFIX = "bearer "
UNKNOWN_KEY = Refusal(401, "unknown_key", "the key is missing, unknown or withdrawn")


class Identity(NamedTuple):
    """Client account that a key belongs to, and the SHA-256 digest of the key."""

    account: str
    key_digest: str


class KeyIndex:
    """Index of accounts by key digest, rebuilt when the accounts change."""

    def __init__(self) -> None:
        self._accounts: Mapping[str, ClientAccount] | None = None
        self._by_digest: dict[str, str] = {}

    def find(self, configuration: Configuration, key: str) -> Identity | None:
        """Return the identity of ``key``, or None when it belongs to no account."""
        self._refresh(configuration)
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = self._by_digest.get(digest)
        # The timing of the dictionary look-up reveals nothing useful, because a
        # sender cannot choose the digest of its key. The final comparison takes
        # constant time.
        for published in self._digests_of(configuration, account):
            if hmac.compare_digest(published, digest):
                return Identity(account or "", digest)
        return None

    def _digests_of(
        self, configuration: Configuration, account: str | None
    ) -> tuple[str, ...]:
        if account is None:
            return ()
        return configuration.accounts[account].key_digests

    def _refresh(self, configuration: Configuration) -> None:
        if self._accounts is configuration.accounts:
            return
        self._accounts = configuration.accounts
        self._by_digest = {
            digest: name
            for name, account in configuration.accounts.items()
            for digest in account.key_digests
        }


def bearer_key(authorization: str | None) -> str:
    """Return the key of an ``Authorization`` header, or an empty string."""
    if not authorization or not authorization.lower().startswith(BEARER_PREFIX):
        return ""
    return authorization[len(BEARER_PREFIX) :].strip()


def is_key_in_force(configuration: Configuration, identity: Identity) -> bool:
    """Return whether the key that a request was admitted with is still published."""
    account = configuration.accounts.get(identity.account)
    return account is not None and identity.key_digest in account.key_digests


def check_service(
    configuration: Configuration, name: str, kind: str
) -> Service | Refusal:
    """Return the service of that name and kind, or a refusal."""
    service = configuration.services.get(name)
    if service is None or service.kind != kind:
        return Refusal(404, "unknown_service", f"there is no {kind} service {name!r}")
    if service.profile not in configuration.profiles:
        return Refusal(
            503, "profile_missing", f"service {name!r} names a profile that is missing"
        )
    return service


def check_permission(
    configuration: Configuration, identity: Identity, service: str
) -> Refusal | None:
    """Return a refusal when the account may not use the service, else None."""
    account = configuration.accounts.get(identity.account)
    if account is None:
        return UNKNOWN_KEY
    if service in account.services:
        return None
    return Refusal(
        403,
        "service_not_allowed",
        f"account {identity.account!r} may not use service {service!r}",
    )


def matches_route(routes: tuple[str, ...], method: str, path: str) -> bool:
    """Return whether a call matches one of the routes ``METHOD /path/{name}``."""
    return any(_matches_template(route, method, path) for route in routes)


def _matches_template(route: str, method: str, path: str) -> bool:
    route_method, _, template = route.partition(" ")
    if route_method != method:
        return False
    template_segments = template.split("/")
    path_segments = path.split("/")
    if len(template_segments) != len(path_segments):
        return False
    return all(map(_matches_segment, template_segments, path_segments))


def _matches_segment(template_segment: str, path_segment: str) -> bool:
    if template_segment.startswith("{") and template_segment.endswith("}"):
        return bool(path_segment)
    return template_segment == path_segment
