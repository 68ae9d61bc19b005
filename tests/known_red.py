"""Reads KNOWN-RED.txt: faults that are known and not mended yet."""

from pathlib import Path

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")


def read_known_red(path: Path) -> dict[str, str]:
    """Return what was seen by test id; an incomplete entry is an error."""
    if not path.exists():
        return {}
    blocks = path.read_text().strip().split("\n\n")
    return dict(_read_entry(block) for block in blocks if block)


def _read_entry(block: str) -> tuple[str, str]:
    entry = dict(line.split(": ", 1) for line in block.splitlines())
    missing = [field for field in FIELDS if field not in entry]
    if missing:
        raise ValueError(f"KNOWN-RED.txt: an entry lacks {', '.join(missing)}")
    return entry["test"], entry["seen"]
