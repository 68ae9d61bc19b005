"""Compares two results of the load tool, figure by figure."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.load.results import LoadResult
from gypsumfield.load.results import TrafficResult


class ComparedFigure(NamedTuple):
    """One figure in two runs.

    Attributes:
        name: Name of the figure, with its unit.
        before: Value in the first run; None if the run doesn't have it.
        after: Value in the second run; None if the run doesn't have it.
    """

    name: str
    before: float | None
    after: float | None

    @property
    def change(self) -> str:
        """Change relative to the first run in percent.

        ``-`` if a value is missing, ``=`` if both are 0, ``new`` if only the first is.
        """
        if self.before is None or self.after is None:
            return "-"
        if self.before == 0.0:
            return "=" if self.after == 0.0 else "new"
        return f"{(self.after / self.before - 1.0) * 100.0:+.1f} %"


_TRAFFIC_FIGURES: tuple[tuple[str, Callable[[TrafficResult], float]], ...] = (
    ("sent", lambda traffic: traffic.sent_count),
    ("whole answers", lambda traffic: traffic.outcomes.get("whole", 0)),
    ("refused", lambda traffic: traffic.outcomes.get("refused", 0)),
    ("wrongful refusals", lambda traffic: traffic.wrongful_refusal_count),
    ("truncated", lambda traffic: traffic.outcomes.get("truncated", 0)),
    (
        "ended with an error",
        lambda traffic: traffic.outcomes.get("ended_with_error", 0),
    ),
    ("corrupt", lambda traffic: traffic.outcomes.get("corrupt", 0)),
    ("unreachable", lambda traffic: traffic.outcomes.get("unreachable", 0)),
    ("unfinished", lambda traffic: traffic.outcomes.get("unfinished", 0)),
    ("tokens", lambda traffic: traffic.token_count),
    ("stalls", lambda traffic: traffic.stall_count),
    ("stall time ms", lambda traffic: traffic.stall_ms),
    ("first token p50 ms", lambda traffic: traffic.first_token.p50_ms),
    ("first token p95 ms", lambda traffic: traffic.first_token.p95_ms),
    ("first token p99 ms", lambda traffic: traffic.first_token.p99_ms),
    ("between tokens p50 ms", lambda traffic: traffic.between_tokens.p50_ms),
    ("between tokens p95 ms", lambda traffic: traffic.between_tokens.p95_ms),
    ("between tokens p99 ms", lambda traffic: traffic.between_tokens.p99_ms),
    ("whole answer p95 ms", lambda traffic: traffic.answer.p95_ms),
)

_STREAM_ONLY_LABELS = ("tokens", "stall", "first token", "between tokens")


def list_figures(result: LoadResult) -> dict[str, float | None]:
    """Return the figures of one result by name.

    Figures of streams are left out for traffic without a token.
    """
    figures: dict[str, float | None] = {
        "preemptions": result.preemption_count,
        "worst account share": result.worst_account_share,
        "largest excess over a rate": max(
            account.largest_excess for account in result.accounts.values()
        ),
        "largest lag of the tool ms": result.largest_lag_ms,
    }
    for name, traffic in result.traffic.items():
        for label, read_figure in _TRAFFIC_FIGURES:
            if traffic.first_token.count or not label.startswith(_STREAM_ONLY_LABELS):
                figures[f"{name}: {label}"] = read_figure(traffic)
    return figures


def compare_results(before: LoadResult, after: LoadResult) -> list[ComparedFigure]:
    """Return every figure that either result has, with both values."""
    before_figures = list_figures(before)
    after_figures = list_figures(after)
    names = list(dict.fromkeys((*before_figures, *after_figures)))
    return [
        ComparedFigure(name, before_figures.get(name), after_figures.get(name))
        for name in names
    ]


def format_figure(value: float | None) -> str:
    """Format a value for display, with up to three decimals; ``-`` for None."""
    if value is None:
        return "-"
    return f"{value:,.3f}".rstrip("0").rstrip(".")


def format_comparison(before: LoadResult, after: LoadResult) -> Iterator[str]:
    """Yield the lines of a text table that compares two results."""
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
    """Yield the lines of a text table with the figures of one result."""
    yield f"{result.experiment}, seed {result.seed}"
    for name, value in list_figures(result).items():
        yield f"{name:<44}{format_figure(value):>16}"
    for name, traffic in result.traffic.items():
        for refusal, count in traffic.refusals.items():
            yield f"{name + ': refused, ' + refusal:<44}{count:>16,}"
