"""Selection of a call's route, client account and service."""

import hashlib
import random
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.model import Publication
from gypsumfield.gateway.model import Route
from gypsumfield.gateway.model import ServiceShare

KEY_DIGEST_BYTES = 16
# When all hosts of a large fleet start at once, each one has received a configuration
# within this time. A caller that retries earlier finds the other hosts without one too.
NO_CONFIGURATION_RETRY_MS = 1_000.0


class Permit(NamedTuple):
    """Route and client account of a call that passed the checks."""

    route: Route
    account: Account | None


def permit_call(
    publication: Publication | None, request: CallHeaders, path: str
) -> Permit:
    """Check a call against the configuration and return its route and account.

    Args:
        publication: Configuration in force, or None.
        request: Decoded headers of the call.
        path: Path of the call, without the query.

    Raises:
        RefusedError: 503 while there is no configuration, 404 without a route, 401
            without a valid key on a route that needs one.
    """
    if publication is None:
        raise RefusedError(
            Refusal(
                503,
                "no_configuration",
                "this host knows no configuration yet",
                retry_after_ms=NO_CONFIGURATION_RETRY_MS,
            )
        )
    route = find_route(publication.routes, request.host, path)
    if route is None:
        raise RefusedError(Refusal(404, "no_route", "no route has this host and path"))
    account = find_account(publication, request.key)
    if publication.accounts_by_digest is not None and not route.is_open and not account:
        raise RefusedError(Refusal(401, "unknown_key", "the key is not known"))
    return Permit(route, account)


def find_route(routes: Sequence[Route], host: str, path: str) -> Route | None:
    """Return the route of a host with the longest matching path prefix, or None."""
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def find_account(publication: Publication, key: str) -> Account | None:
    """Return the client account of a key, or None."""
    if not key or publication.accounts_by_digest is None:
        return None
    return publication.accounts_by_digest.get(key_digest(key))


def key_digest(key: str) -> bytes:
    """Return the digest that identifies a key; keys themselves are not stored."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()


def select_service(shares: Sequence[ServiceShare], rng: random.Random) -> str:
    """Select one of a route's services at random, in proportion to the weights."""
    if len(shares) == 1:
        return shares[0].service
    weights = [max(share.weight, 0.0) for share in shares]
    if sum(weights) <= 0.0:
        return shares[0].service
    return rng.choices(shares, weights)[0].service
