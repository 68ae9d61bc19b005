"""Fair shares of client accounts in the engines while streams lack memory.

They serve accounts of very different size that compete for the engines' memory. Without
shares an account with many streams keeps the others waiting. What an account does not
use of its share is lent to those that need more.
"""

from collections.abc import Mapping
from functools import reduce
from typing import NamedTuple

from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import Lacks

# Streams above its fair share that an account may have: counts of other hosts are up to
# a second old, and streams are whole.
SHARE_SLACK = 1.0
# Accounts that one statement lists for each kind, those with most streams first. It
# bounds datagrams; the streams of the others count without an account.
MAX_STATED_ACCOUNTS = 24


class AccountUse(NamedTuple):
    """Streams of one account on one service, running or lacking memory."""

    running_count: int
    lacking_count: int


def fair_level(uses: Mapping[str, AccountUse]) -> float:
    """Return the running streams up to which every account may have what it needs.

    The streams that run now are divided so that no account gets more than it needs,
    and all that get less than they need get the same number.
    """
    left = float(sum(use.running_count for use in uses.values()))
    needs = sorted(use.running_count + use.lacking_count for use in uses.values())
    for index, need in enumerate(needs):
        level = left / (len(needs) - index)
        if need >= level:
            return level
        left -= need
    return float("inf")


def uses_of(lacks: Lacks, service: str) -> dict[str, AccountUse]:
    """Return the use of a service by each account that is named."""
    uses: dict[str, AccountUse] = {}
    for key, lack in lacks.items():
        if key.service == service and key.account:
            running, lacking = uses.get(key.account, AccountUse(0, 0))
            uses[key.account] = AccountUse(
                running + lack.running_count, lacking + lack.stream_count
            )
    return uses


def below_share(lacks: Lacks, key: LackKey) -> Lack | None:
    """Return what accounts below their fair share lack; None for such an account.

    Args:
        lacks: Streams of all hosts.
        key: Kind and account of a stream. Only streams of its priority count: the
            priority goes before the shares.
    """
    uses = uses_of(lacks, key.service)
    use = uses.get(key.account)
    if use is None:
        return None
    level = fair_level(uses)
    if use.running_count <= level + SHARE_SLACK:
        return None
    lacking = [
        lack
        for other, lack in lacks.items()
        if (other.service, other.priority) == (key.service, key.priority)
        and other.account
        and lack.stream_count
        and uses[other.account].running_count < level
    ]
    return reduce(Lack.plus, lacking) if lacking else None


def bounded(lacks: Lacks) -> Lacks:
    """Return a statement of bounded size with the same sums for each kind."""
    kept: dict[LackKey, Lack] = {}
    counts: dict[tuple[str, int], int] = {}
    ranked = sorted(
        lacks.items(),
        key=lambda item: item[1].stream_count + item[1].running_count,
        reverse=True,
    )
    for key, lack in ranked:
        kind = (key.service, key.priority)
        counts[kind] = counts.get(kind, 0) + 1
        if counts[kind] > MAX_STATED_ACCOUNTS:
            key = LackKey(*kind)
        kept[key] = lack.plus(kept[key]) if key in kept else lack
    return kept
