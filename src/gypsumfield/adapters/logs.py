"""Event log of one host as eliot JSON lines.

Each host has its own destination, so that several of them in one process keep
apart; eliot's process-wide destinations are not used.
"""

import itertools
import sys
import uuid
from pathlib import Path
from typing import Any
from typing import BinaryIO
from typing import Protocol

import msgspec
import xxhash
from eliot import FileDestination

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.redaction import redact
from gypsumfield.events import Event
from gypsumfield.events import MessageReceived
from gypsumfield.events import MessageSent
from gypsumfield.interfaces import EmitEvent

STANDARD_ERROR_PATH = "-"
HOT_SAMPLE_INTERVAL = 16
TEXT_LIMIT_CHARACTERS = 512
TEXT_READ_LIMIT_CHARACTERS = 4 * TEXT_LIMIT_CHARACTERS


class LogStream(Protocol):
    """Where log lines are written."""

    def write(self, line: bytes, /) -> int:
        """Take one line."""

    def flush(self) -> None:
        """Pass on what was taken."""


def open_event_log(
    host_id: str,
    availability_zone: str,
    log_path: str,
    clock: Clock,
    hot_sample_interval: int = HOT_SAMPLE_INTERVAL,
) -> EmitEvent:
    """Open a log and return the function that appends events to it.

    Every line carries ``event``, ``host_id``, ``availability_zone``,
    ``request_id``, ``wall_ms``, ``monotonic_ms`` and a ``line`` number that
    grows by one, beside eliot's own ``task_uuid``, ``task_level`` and
    ``timestamp``. Text is cut to `TEXT_LIMIT_CHARACTERS` and never holds a
    key.

    Args:
        host_id: Host whose log it is.
        availability_zone: Zone of that host.
        log_path: File to append to; ``-`` is standard error.
        clock: Time of the host.
        hot_sample_interval: One of so many messages is logged, chosen by its
            id so that sender and receiver log the same ones. All other events
            are always logged.

    Raises:
        OSError: The file cannot be opened.
    """
    return open_event_stream(
        host_id, availability_zone, _open_binary(log_path), clock, hot_sample_interval
    )


def open_event_stream(
    host_id: str,
    availability_zone: str,
    stream: LogStream,
    clock: Clock,
    hot_sample_interval: int = HOT_SAMPLE_INTERVAL,
) -> EmitEvent:
    """Return the function that appends events to an open binary stream.

    Args:
        host_id: Host whose log it is.
        availability_zone: Zone of that host.
        stream: Where the lines go.
        clock: Time of the host.
        hot_sample_interval: As for `open_event_log`.
    """
    write = FileDestination(file=stream)
    process_task_uuid = str(uuid.uuid4())
    line_numbers = itertools.count(1)

    def emit(event: Event) -> None:
        if not _is_sampled(event, hot_sample_interval):
            return
        line = next(line_numbers)
        wall_ms = clock.wall_ms()
        fields = _event_fields(event)
        message = {
            "timestamp": wall_ms / MS_PER_S,
            "task_uuid": fields.get("request_id", process_task_uuid),
            "task_level": [line],
            "host_id": host_id,
            "availability_zone": availability_zone,
            "request_id": "",
            "wall_ms": wall_ms,
            "monotonic_ms": clock.monotonic_ms(),
            "line": line,
        }
        write(message | fields)

    return emit


def _open_binary(log_path: str) -> BinaryIO:
    if log_path == STANDARD_ERROR_PATH:
        return sys.stderr.buffer
    return Path(log_path).open("ab")


def _event_fields(event: Event) -> dict[str, Any]:
    fields = msgspec.to_builtins(event)
    return {
        name: _clean_text(value) if isinstance(value, str) else value
        for name, value in fields.items()
    }


def _clean_text(text: str) -> str:
    # The last cut comes after the redaction, so that it leaves no part of a key
    # too short to be recognised.
    return redact(text[:TEXT_READ_LIMIT_CHARACTERS])[:TEXT_LIMIT_CHARACTERS]


def _is_sampled(event: Event, hot_sample_interval: int) -> bool:
    if not event.IS_HOT:
        return True
    if not isinstance(event, MessageSent | MessageReceived):
        return True
    digest = xxhash.xxh32_intdigest(event.message_id.encode())
    return digest % hot_sample_interval == 0
