import math

import pytest

from gypsumfield.decisions.account_shares import AccountUse
from gypsumfield.decisions.account_shares import below_share
from gypsumfield.decisions.account_shares import bounded
from gypsumfield.decisions.account_shares import fair_level
from gypsumfield.decisions.account_shares import MAX_STATED_ACCOUNTS
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import memory_ratio
from shortage_load import ENGINES
from shortage_load import Load
from shortage_load import MEMORY_TOKENS
from shortage_load import promised_times
from shortage_load import SUMMARY

SEEDS = range(3)
ACCOUNTS = ("a", "b", "c", "d")
CROWDED = SUMMARY._replace(per_second=14.0)


def key(account, priority=1):
    return LackKey("engine", priority, account)


def lack(running, waiting=0):
    return Lack(waiting, 0, 3_000, 0.0, running)


def share_ratio(load, stream):
    below = below_share(load.shared, stream.key)
    return memory_ratio(below, ENGINES, MEMORY_TOKENS, stream.draw)


def in_time(ratio, accounts):
    counts = [
        Load(promised_times(), ratio, seed, (CROWDED,), CROWDED, ACCOUNTS).play().counts
        for seed in SEEDS
    ]
    return sum(c["in time", a] for c in counts for a in accounts) / sum(
        c["sent", a] for c in counts for a in accounts
    )


def test_small_accounts_are_served_more_often_and_the_largest_keeps_a_share():
    # Guards against one account that holds most of the memory while others wait.
    others = ACCOUNTS[1:]
    assert in_time(share_ratio, others) > in_time(None, others)
    everyone = in_time(share_ratio, ACCOUNTS)
    assert in_time(share_ratio, ACCOUNTS[:1]) >= 0.25 * everyone


@pytest.mark.parametrize(
    ("uses", "expected"),
    [
        ({}, math.inf),
        ({"a": AccountUse(10, 0)}, 10.0),
        # What b does not need is lent to a.
        ({"a": AccountUse(18, 4), "b": AccountUse(2, 0)}, 18.0),
        ({"a": AccountUse(18, 4), "b": AccountUse(2, 30)}, 10.0),
        ({"a": AccountUse(8, 0), "b": AccountUse(3, 1), "c": AccountUse(1, 1)}, 6.0),
    ],
)
def test_the_fair_level_lends_unused_shares(uses, expected):
    assert fair_level(uses) == expected


def test_only_accounts_above_their_share_leave_memory():
    lacks = {key("a"): lack(18), key("b"): lack(2, 5), key("c"): lack(2)}
    assert below_share(lacks, key("a")) == lack(2, 5)
    assert below_share(lacks, key("b")) is None
    assert below_share(lacks, key("c")) is None
    assert below_share(lacks, key("unknown")) is None


def test_without_waiting_streams_of_others_no_account_leaves_memory():
    lacks = {key("a"): lack(18, 9), key("b"): lack(2)}
    assert below_share(lacks, key("a")) is None


def test_shares_do_not_go_before_priorities():
    lacks = {key("a", 0): lack(18), key("b", 1): lack(2, 5)}
    assert below_share(lacks, key("a", 0)) is None


def test_one_stream_above_the_share_is_tolerated():
    lacks = {key("a"): lack(6), key("b"): lack(4, 3)}
    assert below_share(lacks, key("a")) is None


def test_a_statement_is_bounded_and_keeps_the_sums():
    lacks = {key(f"a{number}"): lack(number, 1) for number in range(100)}
    stated = bounded(lacks)
    assert len(stated) == MAX_STATED_ACCOUNTS + 1
    assert sum(entry.waiting_count for entry in stated.values()) == 100
    assert sum(entry.running_count for entry in stated.values()) == sum(range(100))
    assert key("a99") in stated
    assert bounded({key("a"): lack(1)}) == {key("a"): lack(1)}
