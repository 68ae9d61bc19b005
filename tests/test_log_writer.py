"""Writing log lines to a pipe that is full."""

import json
import os

from gypsumfield.gateway.log_writer import BoundedWriter
from gypsumfield.gateway.log_writer import PENDING_LIMIT_BYTES

LINE = b'{"event":"filler","text":"' + b"x" * 1_000 + b'"}\n'


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    log = BoundedWriter(writer)
    written = 0
    while not log.dropped_count:
        log.write(LINE)
        written += 1
    for _ in range(9):
        log.write(LINE)
    assert log.dropped_count == 10
    assert written * len(LINE) > PENDING_LIMIT_BYTES
    data = b""
    while chunk := read_all(reader):
        data += chunk
        log.flush()
    log.write(b'{"event":"last"}\n')
    data += read_all(reader)
    events = [json.loads(line) for line in data.splitlines()]
    assert len(events) == written - 1 + 2
    assert events[-2] == {"event": "log_lines_dropped", "line_count": 10}
    assert events[-1] == {"event": "last"}
    os.close(reader)
    os.close(writer)
