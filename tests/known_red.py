"""Reads KNOWN-RED.txt: faults that are known and not mended yet."""

from pathlib import Path
from typing import NamedTuple

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")


class KnownRed(NamedTuple):
    """One entry; a test that fails only now and then says ``often: no``."""

    seen: str
    is_intermittent: bool


def read_known_red(path: Path) -> dict[str, KnownRed]:
    """Return the entries by test id; an incomplete entry is an error."""
    if not path.exists():
        return {}
    blocks = path.read_text().strip().split("\n\n")
    return dict(_read_entry(block) for block in blocks if block)


def _read_entry(block: str) -> tuple[str, KnownRed]:
    entry = dict(line.split(": ", 1) for line in block.splitlines())
    missing = [field for field in FIELDS if field not in entry]
    if missing:
        raise ValueError(f"KNOWN-RED.txt: an entry lacks {', '.join(missing)}")
    return entry["test"], KnownRed(entry["seen"], entry.get("often") == "no")
