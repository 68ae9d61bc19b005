"""Reads event logs line by line; skips and counts lines that hold no event."""

import math
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO
from typing import NamedTuple

import msgspec

LINE_LIMIT_BYTES = 1_048_576


class LineFields(msgspec.Struct, frozen=True, gc=False):
    """The fields by which lines are ordered and filtered.

    All other fields are left in the raw text.
    """

    event: str
    host_id: str
    wall_ms: float
    monotonic_ms: float
    line: int
    availability_zone: str = ""
    request_id: str = ""
    account: str = ""
    service: str = ""
    backend_server: str = ""
    message_id: str = ""
    sender: str = ""
    receiver: str = ""


class ParsedLine(NamedTuple):
    """One line of a log that holds an event.

    Attributes:
        fields: The fields that were decoded.
        raw: The bytes of the whole line.
    """

    fields: LineFields
    raw: bytes


class SkippedFile(NamedTuple):
    """The lines of one log that could not be read.

    Attributes:
        path: Path of the log.
        line_count: Number of lines that hold no event.
        first_line: Line number of the first of them, counted from 1.
        is_last_truncated: Whether the last skipped line was read without its line
            end: the file ends within it, or it exceeds `LINE_LIMIT_BYTES`.
        reason: Why the file could not be read at all; empty if it was read.
    """

    path: str
    line_count: int = 0
    first_line: int = 0
    is_last_truncated: bool = False
    reason: str = ""

    def describe(self) -> str:
        """Return a message for the operator."""
        if self.reason:
            return f"{self.path}: not read: {self.reason}"
        truncated = ", the last one truncated" if self.is_last_truncated else ""
        return (
            f"{self.path}: skipped damaged lines: {self.line_count}, "
            f"the first is line {self.first_line}{truncated}"
        )


class DamageReport:
    """The skipped lines of each file.

    A file that is read twice is counted once.
    """

    def __init__(self) -> None:
        self._files: dict[str, SkippedFile] = {}

    def add(self, skipped: SkippedFile) -> None:
        """Store ``skipped`` in place of an earlier entry for the same file."""
        self._files[skipped.path] = skipped

    def files(self) -> list[SkippedFile]:
        """Return an entry for each damaged file, sorted by path."""
        return [self._files[path] for path in sorted(self._files)]


_decoder = msgspec.json.Decoder(LineFields)


def decode_fields(raw: bytes) -> LineFields | None:
    """Decode one line; return None when it holds no event."""
    try:
        fields = _decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
    if not math.isfinite(fields.wall_ms + fields.monotonic_ms):
        return None
    return fields


def read_log(path: str, damage: DamageReport) -> Iterator[ParsedLine]:
    """Yield the events of one log in the order of the file.

    Memory is bounded, whatever the file holds: a line is read in pieces of at most
    `LINE_LIMIT_BYTES`, and only its first piece is decoded.

    Args:
        path: Path of the log.
        damage: Receives the skipped lines once the file has been read to its end.
    """
    try:
        with Path(path).open("rb") as file:
            yield from _read_lines(path, file, damage)
    except OSError as error:
        damage.add(SkippedFile(path, reason=error.strerror or str(error)))


def _read_lines(
    path: str, file: BinaryIO, damage: DamageReport
) -> Iterator[ParsedLine]:
    skipped_count = 0
    first_skipped_line = 0
    is_last_truncated = False
    for number, raw in enumerate(_bounded_lines(file), start=1):
        fields = decode_fields(raw)
        if fields is not None:
            yield ParsedLine(fields, raw)
        elif raw.strip():
            skipped_count += 1
            first_skipped_line = first_skipped_line or number
            is_last_truncated = not raw.endswith(b"\n")
    if skipped_count:
        damage.add(
            SkippedFile(path, skipped_count, first_skipped_line, is_last_truncated)
        )


def _bounded_lines(file: BinaryIO) -> Iterator[bytes]:
    while raw := file.readline(LINE_LIMIT_BYTES):
        remainder = raw
        while len(remainder) == LINE_LIMIT_BYTES and not remainder.endswith(b"\n"):
            remainder = file.readline(LINE_LIMIT_BYTES)
        yield raw
