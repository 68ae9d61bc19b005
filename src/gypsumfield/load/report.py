"""Writes the HTML report of a load run, with plots as SVG and PNG files."""

import html
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure  # noqa: E402

from gypsumfield.load.compare import format_figure  # noqa: E402
from gypsumfield.load.compare import list_figures  # noqa: E402
from gypsumfield.load.results import decode_histogram  # noqa: E402
from gypsumfield.load.results import DurationSummary  # noqa: E402
from gypsumfield.load.results import LoadResult  # noqa: E402
from gypsumfield.load.results import TrafficResult  # noqa: E402

PICTURE_SIZE_IN = (9.0, 3.6)
PICTURE_DPI = 110
US_PER_MS = 1_000
PLOT_PERCENTILES = (
    *(50.0, 75.0, 90.0, 95.0, 97.0, 98.0, 99.0, 99.5, 99.9),
    *(99.95, 99.99),
)
MS_PER_S = 1_000.0

STYLE = """
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
td { padding: 0 1em 0 0; } td.figure { text-align: right; }
img { max-width: 100%; }
"""


def write_report(result: LoadResult, directory: Path) -> Path:
    """Write ``index.html`` and the plots to ``directory``; return the page's path."""
    directory.mkdir(parents=True, exist_ok=True)
    pictures = []
    for name, draw in _PLOTS.items():
        figure = Figure(figsize=PICTURE_SIZE_IN, layout="constrained")
        draw(figure.subplots(), result)
        figure.savefig(directory / f"{name}.svg")
        figure.savefig(directory / f"{name}.png", dpi=PICTURE_DPI)
        pictures.append(name)
    page = directory / "index.html"
    page.write_text(_render_page(result, pictures), encoding="utf-8")
    return page


def _render_page(result: LoadResult, pictures: list[str]) -> str:
    title = html.escape(f"{result.experiment}, seed {result.seed}")
    rows = [
        _row(name, format_figure(value)) for name, value in list_figures(result).items()
    ]
    for name, traffic in result.traffic.items():
        rows += [
            _row(f"{name}: refused, {refusal}", f"{count:,}")
            for refusal, count in traffic.refusals.items()
        ]
    faults = [
        f"<li>{fault.at_ms / MS_PER_S:.1f} s: {html.escape(fault.label)}, "
        f"status {fault.status}</li>"
        for fault in result.faults
    ]
    images = [
        f'<p><img src="{name}.svg" alt="{name.replace("_", " ")}"></p>'
        for name in pictures
    ]
    return (
        f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{STYLE}</style></head><body>"
        f"<h1>{title}</h1>"
        f"<p>{result.duration_ms / MS_PER_S:,.0f} s against "
        f"{result.entry_host_count} entry hosts. Worst-served account: "
        f"{html.escape(result.worst_account)}.</p>"
        + "".join(images)
        + (f"<h2>Faults</h2><ul>{''.join(faults)}</ul>" if faults else "")
        + f"<h2>Figures</h2><table>{''.join(rows)}</table></body></html>\n"
    )


def _row(name: str, figure: str) -> str:
    return (
        f"<tr><td>{html.escape(name)}</td>"
        f'<td class="figure">{html.escape(figure)}</td></tr>'
    )


def _draw_answers(axes: Any, result: LoadResult) -> None:
    times_s = [second.at_s for second in result.seconds]
    for label, counts in (
        ("whole", [second.whole_count for second in result.seconds]),
        ("refused", [second.refused_count for second in result.seconds]),
        ("broken", [second.broken_count for second in result.seconds]),
    ):
        axes.plot(times_s, counts, label=label)
    _mark_faults(axes, result)
    axes.set(xlabel="time (s)", ylabel="answers a second", title="Answers")
    axes.legend()


def _draw_tokens(axes: Any, result: LoadResult) -> None:
    times_s = [second.at_s for second in result.seconds]
    axes.plot(times_s, [second.first_token_p95_ms for second in result.seconds])
    _mark_faults(axes, result)
    axes.set(
        xlabel="time of the answer's end (s)",
        ylabel="first token p95 (ms)",
        title="First token over time",
    )


def _draw_accounts(axes: Any, result: LoadResult) -> None:
    names = list(result.accounts)
    axes.bar(names, [result.accounts[name].served_share for name in names])
    axes.set(ylim=(0.0, 1.05), ylabel="whole by within rate", title="Accounts")
    axes.tick_params(axis="x", rotation=45)


def _draw_first_token(axes: Any, result: LoadResult) -> None:
    _draw_percentiles(axes, result, "First token", lambda traffic: traffic.first_token)


def _draw_between_tokens(axes: Any, result: LoadResult) -> None:
    _draw_percentiles(
        axes, result, "Between tokens", lambda traffic: traffic.between_tokens
    )


def _draw_percentiles(
    axes: Any,
    result: LoadResult,
    title: str,
    select_durations: Callable[[TrafficResult], DurationSummary],
) -> None:
    for name, traffic in result.traffic.items():
        durations = select_durations(traffic)
        if durations.count == 0:
            continue
        histogram = decode_histogram(durations)
        values_ms = [
            histogram.get_value_at_percentile(percentile) / US_PER_MS
            for percentile in PLOT_PERCENTILES
        ]
        positions = [100.0 / (100.0 - percentile) for percentile in PLOT_PERCENTILES]
        axes.plot(positions, values_ms, marker=".", label=name)
    ticks = (50.0, 90.0, 99.0, 99.9, 99.99)
    axes.set_xscale("log")
    axes.set_xticks([100.0 / (100.0 - tick) for tick in ticks])
    axes.set_xticklabels([f"{tick:g}" for tick in ticks])
    axes.set(xlabel="percentile", ylabel="ms", title=title)
    if axes.lines:
        axes.legend()


def _mark_faults(axes: Any, result: LoadResult) -> None:
    for fault in result.faults:
        at_s = fault.at_ms / MS_PER_S
        axes.axvline(at_s, color="grey", linestyle=":")
        axes.text(
            at_s,
            axes.get_ylim()[1],
            fault.label,
            rotation=90,
            verticalalignment="top",
            fontsize=7,
        )


_PLOTS: dict[str, Callable[[Any, LoadResult], None]] = {
    "answers": _draw_answers,
    "first_token_over_time": _draw_tokens,
    "first_token": _draw_first_token,
    "between_tokens": _draw_between_tokens,
    "accounts": _draw_accounts,
}
