"""Reads KNOWN-RED.txt, the list of tests with known failures not yet fixed."""

from pathlib import Path
from typing import NamedTuple

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")


class KnownRed(NamedTuple):
    """One entry of the file. ``often: no`` marks an intermittent failure."""

    seen: str
    is_intermittent: bool


def read_known_red(path: Path) -> dict[str, KnownRed]:
    """Return the entries by test id; an incomplete entry raises `ValueError`."""
    if not path.exists():
        return {}
    blocks = path.read_text().strip().split("\n\n")
    return dict(_read_entry(block) for block in blocks if block)


def _read_entry(block: str) -> tuple[str, KnownRed]:
    entry = dict(line.split(": ", 1) for line in block.splitlines())
    missing = [field for field in FIELDS if field not in entry]
    if missing:
        raise ValueError(
            f"KNOWN-RED.txt: an entry lacks the fields {', '.join(missing)}"
        )
    return entry["test"], KnownRed(entry["seen"], entry.get("often") == "no")
