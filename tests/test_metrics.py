"""Metrics: the documented list, histograms, refusals and bounded label values."""

import re
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from event_samples import event_types
from event_samples import filled_event
from gypsumfield import events
from gypsumfield.adapters.metric_specs import HostState
from gypsumfield.adapters.metrics import BUCKET_BOUNDS_MS
from gypsumfield.adapters.metrics import LABEL_VALUE_LIMIT
from gypsumfield.adapters.metrics import Metrics

METRICS_PAGE = Path(__file__).parents[1] / "docs" / "metrics.md"


def make_metrics(**options) -> Metrics:
    return Metrics(lambda service: f"{service}-profile", **options)


def parse(metrics: Metrics):
    text = metrics.render().decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_page_and_code_list_the_same_metrics():
    metrics = make_metrics()
    for event_type in event_types():
        status = {"status": 503} if event_type is events.RequestRefused else {}
        metrics.observe_event(filled_event(event_type, **status))
    metrics.record_between_tokens("p", 1.0)
    metrics.record_queue_wait("p", 1.0)
    metrics.record_loop_held(1.0)
    metrics.record_server_connection(is_reused=True)
    metrics.record_hedge_declined("busy")
    metrics.record_engines_avoided("s", 1)
    exposed_labels = {}
    for family in metrics.collect():
        assert family.samples, f"{family.name} has no samples"
        name = family.name + ("_total" if family.type == "counter" else "")
        labels = set(family.samples[0].labels) - {"le"}
        exposed_labels[name] = labels
    documented_labels = {}
    for row in METRICS_PAGE.read_text().splitlines():
        row_match = re.match(r"\| `(gypsumfield_\w+)` \|(.*)", row)
        if row_match:
            cells = [cell.strip() for cell in row_match[2].strip(" |").split("|")]
            has_labels = len(row_match[2].strip().strip("|").split("|")) == 3
            labels = set(re.findall(r"`(\w+)`", cells[0])) if has_labels else set()
            documented_labels[row_match[1]] = labels
            assert all(cells[-2:]), row
    assert documented_labels == exposed_labels


def test_times_are_counted_in_buckets_and_quantiles():
    metrics = make_metrics()
    for duration_ms in range(1, 101):
        metrics.record_between_tokens("brief", float(duration_ms))
    metrics.observe_event(events.StreamStalled(service="tag", silent_ms=2_500.0))
    samples = parse(metrics)

    def bucket_count(bound):
        labels = (("le", bound), ("profile", "brief"))
        return samples["gypsumfield_between_tokens_ms_bucket", labels]

    assert bucket_count("10.0") in (9.0, 10.0)
    assert bucket_count("100.0") in (99.0, 100.0)
    assert bucket_count("+Inf") == 100.0
    counts = [bucket_count(f"{float(bound)}") for bound in BUCKET_BOUNDS_MS]
    assert counts == sorted(counts)
    brief = (("profile", "brief"),)
    assert samples["gypsumfield_between_tokens_ms_sum", brief] == 5_050.0
    name = "gypsumfield_between_tokens_ms_quantile"
    p95_ms = samples[name, (("profile", "brief"), ("quantile", "0.95"))]
    assert abs(p95_ms - 95.0) <= 1.0
    stalled = (("profile", "tag-profile"),)
    assert samples["gypsumfield_stall_ms_sum", stalled] == 2_500.0


def test_refusals_within_rate_exclude_those_for_account_or_key():
    metrics = make_metrics()
    for status, code in ((429, "account_over_rate"), (503, "no_capacity"), (401, "k")):
        metrics.observe_event(
            events.RequestRefused(
                status=status, code=code, verdict="not-run", reason="r"
            )
        )
    samples = parse(metrics)
    names_within_rate = [name for name in samples if "within_rate" in name[0]]
    assert names_within_rate == [
        ("gypsumfield_refusals_within_rate_total", (("code", "no_capacity"),))
    ]


def test_memory_is_bounded_for_any_number_of_codes_and_accounts():
    metrics = make_metrics()
    for number in range(2_000):
        metrics.observe_event(
            events.RequestFailed(
                code=f"code-{number}",
                account=f"account-{number}",
                verdict="may-have-run",
                reason="r",
            )
        )
    failed_counts = {
        key: count
        for key, count in parse(metrics).items()
        if "requests_failed" in key[0]
    }
    assert len(failed_counts) == LABEL_VALUE_LIMIT + 1
    assert sum(failed_counts.values()) == 2_000
    assert "account-" not in metrics.render().decode()


def test_state_is_read_at_each_scrape():
    revisions = iter((4, 7))
    metrics = make_metrics(read_state=lambda: HostState(next(revisions)))
    name = ("gypsumfield_configuration_revision", ())
    assert [parse(metrics)[name], parse(metrics)[name]] == [4.0, 7.0]
