"""Refusals of a host that has just started."""

import random

import pytest

from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.routes import NO_CONFIGURATION_RETRY_MS
from gypsumfield.gateway.routes import permit_call
from gypsumfield.platform.headers import decode_request
from gypsumfield.verdicts import RunVerdict

# Incident inc-2ef6 of vltava-valce-grown: from the start of a host to its
# configuration when all 71 start at once.
LATEST_CONFIGURATION_MS = 912.5
WAY_BACK_MS = 3.0


def refusal():
    with pytest.raises(RefusedError) as caught:
        permit_call(None, decode_request([]), "/")
    return caught.value.refusal


def test_a_host_without_a_configuration_says_when_to_come_back():
    told = refusal()
    assert (told.status, told.verdict) == (503, RunVerdict.NOT_RUN)
    assert told.retry_after_ms == NO_CONFIGURATION_RETRY_MS


def served_ratio(retry_after_ms):
    """Return the share of callers with one repeat that a starting fleet serves."""
    rng = random.Random(1)
    served = 0
    count = 1_000
    for _ in range(count):
        arrival_ms = rng.uniform(0.0, LATEST_CONFIGURATION_MS)
        repeat_ms = arrival_ms + WAY_BACK_MS + retry_after_ms
        served += repeat_ms >= LATEST_CONFIGURATION_MS
    return served / count


def test_one_repeat_is_enough_when_all_hosts_start_at_once():
    assert served_ratio(refusal().retry_after_ms) == 1.0
    assert served_ratio(300.0) < 0.4
