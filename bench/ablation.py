r"""What each mechanism is worth: days played with one of them switched off.

Needs the users' bench and a checkout that may be written to:

    python bench/ablation.py --bench PATH --site SITE --scratch DIR \
        --day trouble-1 --day scale-1 --seed 0 --jobs 4

Each mechanism is replaced by the plainest thing that could stand there, in a copy of
the work tree whose edge program patches it; the product has no switch for that. Prints
one JSON object: by mechanism and day the worth, and its difference from the whole.
"""

import argparse
import json
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
COPIED = ("src", "deploy", "requirements.txt", ".git", "target")
WHOLE = "nothing"
GATEWAY = "gypsumfield.gateway"


class Substitute(NamedTuple):
    """One name and what it is set to, in Python."""

    module: str
    target: str
    value: str


MECHANISMS: dict[str, list[Substitute]] = {
    WHOLE: [],
    "copies from the start": [
        Substitute(
            f"{GATEWAY}.placing", "should_copy_from_start", "lambda is_large: False"
        )
    ],
    "copies at a notice": [
        Substitute(
            f"{GATEWAY}.protection",
            "Protector.check_leaving_engines",
            "lambda self: None",
        )
    ],
    "going on from a copy": [
        Substitute(
            f"{GATEWAY}.run_copies", "RunCopies.resume_points", "lambda self: []"
        )
    ],
    "growth planned ahead": [
        Substitute("gypsumfield.decisions.placement", "GROWTH_TOKENS", "0")
    ],
    "expected time to the first event": [
        Substitute(
            "gypsumfield.decisions.placement",
            "expected_start_ms",
            "lambda engine, need: 0.0",
        )
    ],
    "own zone first": [
        Substitute("gypsumfield.decisions.placement", "REMOTE_ZONE_COST", "0.0")
    ],
    "holding streams back": [
        Substitute(f"{GATEWAY}.stream_queue", "remaining_wait_ms", "lambda stream: 0.0")
    ],
    "urgent streams first": [
        Substitute(f"{GATEWAY}.job", "Job.priority", "property(lambda self: 0)")
    ],
    "ejection": [
        Substitute(
            "gypsumfield.decisions.ejection",
            "Ejector.excluded",
            "lambda self, now_ms: frozenset()",
        )
    ],
    "unreachable servers left alone": [
        Substitute(
            "gypsumfield.decisions.avoidance",
            "Avoidance.is_unreachable",
            "lambda self, server_id, now_ms: False",
        )
    ],
    "suspect zones last": [
        Substitute(
            "gypsumfield.decisions.avoidance",
            "Avoidance.is_zone_suspect",
            "lambda self, zone, now_ms: False",
        )
    ],
    "repeats of plain calls": [
        Substitute(
            f"{GATEWAY}.plain_calls", "_may_run_again", "lambda job, tries: False"
        )
    ],
    "breaking off silent streams": [
        Substitute(
            f"{GATEWAY}.protection",
            "Protector._probe_unresponsive",
            "lambda self: None",
        )
    ],
    "reports of engines": [
        Substitute(
            f"{GATEWAY}.engine_reports",
            "EngineReportCache.find",
            "lambda self, server_id: None",
        )
    ],
    "late refusal while draining": [
        Substitute(
            f"{GATEWAY}.application", "accepts_stream", "lambda *arguments: True"
        ),
        Substitute(f"{GATEWAY}.application", "accepts_call", "lambda *arguments: True"),
    ],
    "advice on engines": [
        Substitute(
            f"{GATEWAY}.advice", "Adviser.request_engine", "lambda self, question: None"
        )
    ],
    "a few engines compared": [
        Substitute(f"{GATEWAY}.placing", "LARGE_FLEET_SAMPLE", "None")
    ],
    "reservations": [
        Substitute(
            f"{GATEWAY}.stream_queue",
            "StreamQueue._reserve_memory",
            "lambda self, job, place, peak_tokens: ''",
        )
    ],
}


class Play(NamedTuple):
    """One day to be played."""

    mechanism: str
    day: str
    seed: int


def edge_program(substitutes: list[Substitute]) -> str:
    """Return the source of an edge program without a mechanism."""
    lines = ["import importlib", "import sys", ""]
    for each in substitutes:
        owner, _, name = each.target.rpartition(".")
        place = f"importlib.import_module({each.module!r})"
        if owner:
            place = f"getattr({place}, {owner!r})"
        lines.append(f"setattr({place}, {name!r}, {each.value})")
    lines += ["", "from gypsumfield.commands.edge import main", "", "sys.exit(main())"]
    return "\n".join(lines) + "\n"


def copy_tree(scratch: Path, name: str) -> Path:
    """Return a fresh copy of the work tree below ``scratch``."""
    directory = scratch / name
    if directory.exists():
        shutil.rmtree(directory)
    directory.mkdir(parents=True)
    (directory / "journal").mkdir()
    for entry in COPIED:
        source = ROOT / entry
        if source.is_dir():
            shutil.copytree(source, directory / entry)
        elif source.exists():
            shutil.copy2(source, directory / entry)
    return directory


def play(arguments: argparse.Namespace, tree: Path, each: Play) -> float | None:
    """Play one day; return its worth, or None when it gave none."""
    report = tree / "report.json"
    report.unlink(missing_ok=True)
    command = [arguments.bench, "run", arguments.site, each.day, "--no-cpu"]
    command += ["--jobs", "1", "--report", str(report)]
    command += ["--why", f"ablation: without {each.mechanism}, seed {each.seed}"]
    if each.seed:
        command += ["--seed", str(each.seed)]
    if arguments.small:
        command.append("--small")
    if arguments.until:
        command += ["--until", str(arguments.until)]
    subprocess.run(command, cwd=tree, stdout=subprocess.DEVNULL, check=False)
    if not report.exists():
        return None
    worth = json.loads(report.read_text())["G"]
    return float(worth)


def read_arguments() -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--site", required=True, help="site file")
    parser.add_argument("--scratch", required=True, type=Path, help="for copies")
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument(
        "--mechanism", action="append", choices=[*MECHANISMS], metavar="NAME"
    )
    parser.add_argument("--jobs", type=int, default=2, help="days played at once")
    parser.add_argument("--small", action="store_true", help="small twins of days")
    parser.add_argument("--until", type=float, default=0.0, help="seconds of a day")
    return parser.parse_args()


def main() -> None:
    """Play the days and print the table."""
    arguments = read_arguments()
    names = arguments.mechanism or list(MECHANISMS)
    names = list(dict.fromkeys([WHOLE, *names]))
    seeds = arguments.seed or [0]

    def measure(name: str) -> dict[str, float | None]:
        tree = copy_tree(arguments.scratch, name.replace(" ", "-"))
        (tree / "src" / "edge.py").write_text(edge_program(MECHANISMS[name]))
        return {
            f"{day} {seed}": play(arguments, tree, Play(name, day, seed))
            for day in arguments.day
            for seed in seeds
        }

    with ThreadPoolExecutor(arguments.jobs) as pool:
        worths = dict(zip(names, pool.map(measure, names), strict=True))
    whole = worths[WHOLE]
    table = {}
    for name in names:
        differences = [
            whole_worth - worth
            for key, whole_worth in whole.items()
            if whole_worth is not None and (worth := worths[name][key]) is not None
        ]
        table[name] = {
            "worth": worths[name],
            "is_worth": round(fmean(differences), 4) if differences else None,
        }
    json.dump(table, sys.stdout, indent=1)
    sys.stdout.write("\n")


if __name__ == "__main__":
    main()
