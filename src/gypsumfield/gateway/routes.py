"""Which route a call takes, and for whom it runs."""

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
# A host that starts beside all others of a large fleet knows a configuration within
# this time; a caller that comes back earlier finds the others without one as well.
NO_CONFIGURATION_RETRY_MS = 1_000.0


class Permit(NamedTuple):
    """Outcome of the checks of one call."""

    route: Route
    account: Account | None


def permit_call(publication: Publication | None, ask: CallHeaders, path: str) -> Permit:
    """Return route and account of a call.

    Args:
        publication: Configuration in force, or None.
        ask: Headers of the call.
        path: Its path, without the query.

    Raises:
        RefusedError: 503 while no configuration is known, 404 without a route,
            401 without a valid key.
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
    route = find_route(publication.routes, ask.host, path)
    if route is None:
        raise RefusedError(Refusal(404, "no_route", "no route has this host and path"))
    account = find_account(publication, ask.key)
    if publication.accounts_by_digest is not None and not route.is_open and not account:
        raise RefusedError(Refusal(401, "unknown_key", "the key is not known"))
    return Permit(route, account)


def find_route(routes: Sequence[Route], host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix of ``path``."""
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def find_account(publication: Publication, key: str) -> Account | None:
    """Return the account of a key."""
    if not key or publication.accounts_by_digest is None:
        return None
    return publication.accounts_by_digest.get(key_digest(key))


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is known; keys themselves are not kept."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()


def choose_service(shares: Sequence[ServiceShare], rng: random.Random) -> str:
    """Draw one of a route's services by weight."""
    if len(shares) == 1:
        return shares[0].service
    weights = [max(share.weight, 0.0) for share in shares]
    if sum(weights) <= 0.0:
        return shares[0].service
    return rng.choices(shares, weights)[0].service
