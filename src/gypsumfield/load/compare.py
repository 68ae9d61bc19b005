"""Comparison of two results of the load tool."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.load.results import LoadResult
from gypsumfield.load.results import TrafficResult


class ComparedFigure(NamedTuple):
    """One figure of two runs.

    Attributes:
        name: What it is, with its unit.
        before: Figure of the first run, None where it has none.
        after: Figure of the second run.
    """

    name: str
    before: float | None
    after: float | None

    @property
    def change(self) -> str:
        """The change relative to the first run, in percent."""
        if self.before is None or self.after is None:
            return "-"
        if self.before == 0.0:
            return "=" if self.after == 0.0 else "new"
        return f"{(self.after / self.before - 1.0) * 100.0:+.1f} %"


_TRAFFIC_FIGURES: tuple[tuple[str, Callable[[TrafficResult], float]], ...] = (
    ("sent", lambda found: found.sent_count),
    ("whole answers", lambda found: found.outcomes.get("whole", 0)),
    ("refused", lambda found: found.outcomes.get("refused", 0)),
    ("wrongful refusals", lambda found: found.wrongful_refusal_count),
    ("truncated", lambda found: found.outcomes.get("truncated", 0)),
    ("ended with an error", lambda found: found.outcomes.get("ended_with_error", 0)),
    ("corrupt", lambda found: found.outcomes.get("corrupt", 0)),
    ("unreachable", lambda found: found.outcomes.get("unreachable", 0)),
    ("unfinished", lambda found: found.outcomes.get("unfinished", 0)),
    ("tokens", lambda found: found.token_count),
    ("stalls", lambda found: found.stall_count),
    ("stall time ms", lambda found: found.stall_ms),
    ("first token p50 ms", lambda found: found.first_token.p50_ms),
    ("first token p95 ms", lambda found: found.first_token.p95_ms),
    ("first token p99 ms", lambda found: found.first_token.p99_ms),
    ("between tokens p50 ms", lambda found: found.between_tokens.p50_ms),
    ("between tokens p95 ms", lambda found: found.between_tokens.p95_ms),
    ("between tokens p99 ms", lambda found: found.between_tokens.p99_ms),
    ("whole answer p95 ms", lambda found: found.answer.p95_ms),
)

_OF_STREAMS = ("tokens", "stall", "first token", "between tokens")


def list_figures(result: LoadResult) -> dict[str, float | None]:
    """Return the figures of one result by name."""
    figures: dict[str, float | None] = {
        "preemptions": result.preemption_count,
        "worst account share": result.worst_account_share,
        "largest excess over a rate": max(
            account.largest_excess for account in result.accounts.values()
        ),
        "largest lag of the tool ms": result.largest_lag_ms,
    }
    for name, traffic in result.traffic.items():
        for label, read in _TRAFFIC_FIGURES:
            if traffic.first_token.count or not label.startswith(_OF_STREAMS):
                figures[f"{name}: {label}"] = read(traffic)
    return figures


def compare_results(before: LoadResult, after: LoadResult) -> list[ComparedFigure]:
    """Return all figures of both results, side by side."""
    left = list_figures(before)
    right = list_figures(after)
    names = list(dict.fromkeys((*left, *right)))
    return [ComparedFigure(name, left.get(name), right.get(name)) for name in names]


def format_figure(value: float | None) -> str:
    """Return a figure for people, ``-`` for none."""
    if value is None:
        return "-"
    return f"{value:,.3f}".rstrip("0").rstrip(".")


def format_comparison(before: LoadResult, after: LoadResult) -> Iterator[str]:
    """Yield the comparison as a text table."""
    if (before.experiment, before.seed) != (after.experiment, after.seed):
        yield (
            f"note: different runs, {before.experiment} seed {before.seed} and "
            f"{after.experiment} seed {after.seed}"
        )
    yield f"{'':<44}{'before':>16}{'after':>16}{'change':>12}"
    for figure in compare_results(before, after):
        yield (
            f"{figure.name:<44}{format_figure(figure.before):>16}"
            f"{format_figure(figure.after):>16}{figure.change:>12}"
        )


def format_summary(result: LoadResult) -> Iterator[str]:
    """Yield one result as a text table."""
    yield f"{result.experiment}, seed {result.seed}"
    for name, value in list_figures(result).items():
        yield f"{name:<44}{format_figure(value):>16}"
    for name, traffic in result.traffic.items():
        for refusal, count in traffic.refusals.items():
            yield f"{name + ': refused, ' + refusal:<44}{count:>16,}"
