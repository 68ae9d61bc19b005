from random import Random

import pytest

from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.ownership import PAUSE_LIMIT_MS
from gypsumfield.decisions.ownership import ZoneView

HOLD_DOWN_MS = 3_000.0
STEP_MS = 500.0
RESOURCES = [f"slots/m-{number}" for number in range(40)]


def advance(ownership, hosts, now_ms, duration_ms, is_confirmed=True):
    end_ms = now_ms + duration_ms
    while now_ms < end_ms:
        now_ms += STEP_MS
        ownership.update(ZoneView(frozenset(hosts), is_confirmed), now_ms)
    return now_ms


def owned(ownership, now_ms):
    return {name for name in RESOURCES if ownership.owns(name, now_ms)}


@pytest.mark.parametrize("seed", range(5))
def test_owner_is_the_best_of_all_hosts_of_the_last_hold_down(seed):
    """Compares with a reference that hashes all hosts again at each step."""
    random = Random(seed)
    ownership = Ownership("a-1", 0.0, HOLD_DOWN_MS)
    seen_ms = {"a-1": 0.0}
    now_ms = 0.0
    for _ in range(60):
        hosts = {"a-1", *random.sample([f"a-{n}" for n in range(2, 9)], 3)}
        now_ms = advance(ownership, hosts, now_ms, STEP_MS)
        candidates = hosts | {
            host
            for host, last_ms in seen_ms.items()
            if now_ms - last_ms <= HOLD_DOWN_MS
        }
        seen_ms.update(dict.fromkeys(hosts, now_ms))
        expected = {name for name in RESOURCES if owner_of(name, candidates) == "a-1"}
        assert owned(ownership, now_ms) == (
            expected if now_ms >= HOLD_DOWN_MS else set()
        )


@pytest.mark.parametrize("is_paused", [True, False])
def test_host_that_was_paused_or_unconfirmed_waits_as_if_new(is_paused):
    ownership = Ownership("a-1", 0.0, HOLD_DOWN_MS)
    now_ms = advance(ownership, {"a-1"}, 0.0, HOLD_DOWN_MS)
    assert owned(ownership, now_ms) == set(RESOURCES)
    if is_paused:
        now_ms += PAUSE_LIMIT_MS + 1.0
        assert owned(ownership, now_ms) == set()
    else:
        now_ms = advance(ownership, {"a-1"}, now_ms, STEP_MS, is_confirmed=False)
    now_ms = advance(ownership, {"a-1"}, now_ms, STEP_MS)
    assert owned(ownership, now_ms) == set()
    assert 0.0 < ownership.wait_ms(RESOURCES[0], now_ms) <= HOLD_DOWN_MS
    now_ms = advance(ownership, {"a-1"}, now_ms, HOLD_DOWN_MS)
    assert owned(ownership, now_ms) == set(RESOURCES)


def test_few_resources_move_when_a_host_joins():
    hosts = [f"a-{number}" for number in range(10)]
    before = [owner_of(name, hosts) for name in RESOURCES]
    after = [owner_of(name, [*hosts, "a-new"]) for name in RESOURCES]
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"a-new"}
    assert len(moved) < len(RESOURCES) / 4
    assert owner_of("slots/m-1", []) is None
