"""The policy benches print JSON with the expected fields, and their invariants hold."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

BENCH = Path(__file__).resolve().parent.parent / "bench"
FIELDS = {
    "preemptions",
    "stall_ms_p99",
    "between_tokens_ms_p99",
    "first_token_ms_p95",
    "tokens_per_s",
    "worst_account_share",
    "refused",
}


def run_bench(name, *arguments):
    command = [sys.executable, str(BENCH / name), "--json", "--quick", *arguments]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    output = subprocess.run(command, check=True, capture_output=True, env=environment)
    result = json.loads(output.stdout)
    for measures in result["policies"].values():
        assert set(measures) >= FIELDS
        assert measures["tokens_per_s"] > 0.0
        assert measures["worst_account_share"] >= 0.0
    return result


@pytest.mark.parametrize("shape", ["heavy_tail", "two_humped"])
def test_admission_bench(shape):
    result = run_bench("admission.py", "--shape", shape, "--seed", "3")
    policies = result["policies"]
    assert result["seed"] == 3
    assert set(policies) >= {
        "fixed_concurrency",
        "max_tokens",
        "mean_length",
        "predicted",
        "oracle",
    }
    # The oracle knows every length: its engine never runs out of memory.
    assert policies["oracle"]["preemptions"] == 0


def test_fairness_bench():
    policies = run_bench("fairness.py", "--seed", "2")["policies"]
    assert set(policies) >= {"first_come_first_served", "ours", "without_flood"}
    for measures in policies.values():
        assert all(share >= 0.0 for share in measures["account_shares"].values())
        assert measures["worst_account_share"] == min(
            measures["account_shares"].values()
        )


def test_estimates_bench():
    command = [sys.executable, str(BENCH / "estimates.py"), "--json", "--quick"]
    output = subprocess.run(command, check=True, capture_output=True)
    floods = json.loads(output.stdout)["floods"]
    assert set(floods) == {"short", "long"}
    for poolings in floods.values():
        # The flood's odd lengths must not reach the estimate of the others.
        plain, clean = (
            poolings[pooling]["shared_estimate_error"] for pooling in poolings
        )
        assert clean < plain


def test_routing_bench():
    policies = run_bench("routing.py", "--seed", "2")["policies"]
    expected = {"random", "round_robin", "least_in_flight", "two_choices", "ours"}
    assert set(policies) == expected
    # Light load on six engines: every policy serves all that is offered.
    assert [measures["refused"] for measures in policies.values()] == [0] * 5
