"""Refusals of a host without a configuration, and the retries that follow."""

import random

import pytest

from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.routes import NO_CONFIGURATION_RETRY_MS
from gypsumfield.gateway.routes import permit_call
from gypsumfield.platform.headers import decode_request
from gypsumfield.verdicts import RunVerdict

# Longest time from the start of a host to its configuration when all 71 hosts start
# at once (incident inc-2ef6 of vltava-valce-grown).
LATEST_CONFIGURATION_MS = 912.5
ROUND_TRIP_MS = 3.0


def refusal():
    with pytest.raises(RefusedError) as caught:
        permit_call(None, decode_request([]), "/")
    return caught.value.refusal


def test_a_host_without_a_configuration_states_when_to_retry():
    refused = refusal()
    assert (refused.status, refused.verdict) == (503, RunVerdict.NOT_RUN)
    assert refused.retry_after_ms == NO_CONFIGURATION_RETRY_MS


def served_ratio(retry_after_ms):
    """Return the ratio of callers with one retry that a starting fleet serves.

    Callers arrive at random before the last host has its configuration; each retries
    once, after the time that the refusal states.
    """
    rng = random.Random(1)
    served = 0
    count = 1_000
    for _ in range(count):
        arrival_ms = rng.uniform(0.0, LATEST_CONFIGURATION_MS)
        retry_ms = arrival_ms + ROUND_TRIP_MS + retry_after_ms
        served += retry_ms >= LATEST_CONFIGURATION_MS
    return served / count


def test_one_retry_is_enough_when_all_hosts_start_at_once():
    assert served_ratio(refusal().retry_after_ms) == 1.0
    assert served_ratio(300.0) < 0.4
