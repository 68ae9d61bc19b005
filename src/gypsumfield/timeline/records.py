"""Reading of event logs line by line, with damage skipped and counted."""

import math
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO
from typing import NamedTuple

import msgspec

LINE_LIMIT_BYTES = 1_048_576


class LogLine(msgspec.Struct, frozen=True, gc=False):
    """The fields that order and select lines; others stay in the raw text."""

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


class ReadLine(NamedTuple):
    """One line as it was read."""

    fields: LogLine
    raw: bytes


class SkippedFile(NamedTuple):
    """What could not be read of one log.

    Attributes:
        path: The log.
        line_count: Lines that are no event.
        first_line: Number of the first of them in the file, from 1.
        is_last_torn: Whether the file ends within a line that is no event.
        reason: Why the file could not be read at all, or empty.
    """

    path: str
    line_count: int = 0
    first_line: int = 0
    is_last_torn: bool = False
    reason: str = ""

    def describe(self) -> str:
        """Return one sentence for the operator."""
        if self.reason:
            return f"{self.path}: not read: {self.reason}"
        torn = ", the last one torn" if self.is_last_torn else ""
        return (
            f"{self.path}: skipped damaged lines: {self.line_count}, "
            f"the first is line {self.first_line}{torn}"
        )


class DamageReport:
    """What was skipped, by file; reading a file again counts nothing twice."""

    def __init__(self) -> None:
        self._files: dict[str, SkippedFile] = {}

    def add(self, skipped: SkippedFile) -> None:
        """Keep ``skipped`` in place of what was known of its file."""
        self._files[skipped.path] = skipped

    def files(self) -> list[SkippedFile]:
        """Return the damaged files by path."""
        return [self._files[path] for path in sorted(self._files)]


_decoder = msgspec.json.Decoder(LogLine)


def decode_line(raw: bytes) -> LogLine | None:
    """Return the event in ``raw``, or None when it holds none."""
    try:
        fields = _decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
    if not math.isfinite(fields.wall_ms + fields.monotonic_ms):
        return None
    return fields


def read_log(path: str, damage: DamageReport) -> Iterator[ReadLine]:
    """Yield the events of one log in the order of the file.

    Memory is bounded by `LINE_LIMIT_BYTES`, whatever the file holds.

    Args:
        path: The log.
        damage: Takes what was skipped, once the file was read to its end.
    """
    try:
        with Path(path).open("rb") as file:
            yield from _read_lines(path, file, damage)
    except OSError as error:
        damage.add(SkippedFile(path, reason=error.strerror or str(error)))


def _read_lines(path: str, file: BinaryIO, damage: DamageReport) -> Iterator[ReadLine]:
    skipped_count = 0
    first_skipped = 0
    is_last_torn = False
    for number, raw in enumerate(_bounded_lines(file), start=1):
        fields = decode_line(raw)
        if fields is not None:
            yield ReadLine(fields, raw)
        elif raw.strip():
            skipped_count += 1
            first_skipped = first_skipped or number
            is_last_torn = not raw.endswith(b"\n")
    if skipped_count:
        damage.add(SkippedFile(path, skipped_count, first_skipped, is_last_torn))


def _bounded_lines(file: BinaryIO) -> Iterator[bytes]:
    while raw := file.readline(LINE_LIMIT_BYTES):
        rest = raw
        while len(rest) == LINE_LIMIT_BYTES and not rest.endswith(b"\n"):
            rest = file.readline(LINE_LIMIT_BYTES)
        yield raw
