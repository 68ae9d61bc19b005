import random
import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from event_logs import EPOCH_MS
from event_logs import FleetLogs
from event_logs import HostClock
from event_samples import event_types
from event_samples import filled_event
from gypsumfield import events
from gypsumfield.timeline.explanation import describe_event
from gypsumfield.timeline.merge import index_logs
from gypsumfield.timeline.merge import merge_logs
from gypsumfield.timeline.offsets import ClockBound
from gypsumfield.timeline.offsets import estimate_corrections
from gypsumfield.timeline.records import DamageReport

offsets = st.floats(-600_000.0, 600_000.0)
fleet_clocks = st.lists(
    st.builds(HostClock, offsets, st.floats(-0.001, 0.001)), min_size=2, max_size=5
)


def merge_paths(paths):
    damage = DamageReport()
    index = index_logs(paths, damage)
    return list(merge_logs(index, damage)), damage


def run_timeline(*arguments):
    process = subprocess.run(
        [
            sys.executable,
            "-c",
            "from gypsumfield.commands.timeline import main; "
            "import sys; sys.exit(main())",
            *arguments,
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    return process.returncode, process.stdout, process.stderr


@settings(derandomize=True, deadline=None, max_examples=60)
@given(clocks=fleet_clocks, seed=st.integers(0, 2**32), count=st.integers(0, 60))
def test_no_message_is_received_before_it_is_sent(clocks, seed, count):
    with tempfile.TemporaryDirectory() as directory:
        clocks_by_host = {f"e{number}": clock for number, clock in enumerate(clocks)}
        fleet = FleetLogs(Path(directory), clocks_by_host)
        fleet.exchange(random.Random(seed), count)
        lines, _ = merge_paths(fleet.paths)
    assert len(lines) == 2 * count
    sent = set()
    latest_line_numbers: dict[str, int] = {}
    times_ms = [line.time_ms for line in lines]
    assert times_ms == sorted(times_ms)
    for line in lines:
        fields = line.fields
        assert fields.line > latest_line_numbers.get(fields.host_id, 0)
        latest_line_numbers[fields.host_id] = fields.line
        if fields.event == "message_sent":
            sent.add(fields.message_id)
        else:
            assert fields.message_id in sent


@pytest.mark.parametrize("offset_ms", [0.0, 250.0, -90_000.0])
def test_clock_offset_is_estimated_within_the_message_latency(tmp_path, offset_ms):
    clocks = {"a": HostClock(0.0), "b": HostClock(offset_ms), "c": HostClock(0.0)}
    fleet = FleetLogs(tmp_path, clocks)
    fleet.exchange(random.Random(7), 300)
    index = index_logs(fleet.paths, DamageReport())
    corrections_by_host = {
        key.host_id: value for key, value in index.corrections_ms.items()
    }
    assert index.message_count == 300
    assert corrections_by_host["a"] - corrections_by_host["b"] == pytest.approx(
        offset_ms, abs=2.0
    )


def test_one_way_messages_correct_a_clock_only_as_far_as_needed():
    corrections_ms = estimate_corrections(2, [ClockBound(0, 1, -40.0)]).corrections_ms
    assert corrections_ms[1] - corrections_ms[0] == pytest.approx(40.0)
    assert estimate_corrections(2, [ClockBound(0, 1, 3.0)]).corrections_ms == [0, 0]


def test_hosts_in_one_file_and_restarts_are_distinguished(tmp_path):
    fleet = FleetLogs(tmp_path, {"a": HostClock(0.0), "b": HostClock(70_000.0)})
    fleet.exchange(random.Random(3), 40)
    common = tmp_path / "common"
    common.write_bytes(b"".join(Path(path).read_bytes() for path in fleet.paths))
    separate, _ = merge_paths(fleet.paths)
    combined, _ = merge_paths([str(common)])
    names = [(line.fields.host_id, line.fields.line) for line in separate]
    assert [(line.fields.host_id, line.fields.line) for line in combined] == names
    restarted = FleetLogs(tmp_path, {"a": HostClock(0.0)})
    restarted.true_ms = 1e7
    restarted.emit["a"](events.HostStarted(address="x"))
    last = merge_paths(fleet.paths)[0][-1]
    assert (last.fields.event, last.time_ms) == ("host_started", EPOCH_MS + 1e7)


def test_damaged_lines_are_skipped_and_reported(tmp_path):
    fleet = FleetLogs(tmp_path, {"a": HostClock(0.0), "b": HostClock(0.0)})
    fleet.exchange(random.Random(1), 30)
    intact_lines = Path(fleet.paths[0]).read_bytes().splitlines(keepends=True)
    damage = [b"\x00\xff\n", b"[]\n", b"[" * 100_000 + b"\n", b'{"event": 3}\n']
    damage += [b"x" * 3_000_000 + b"\n", b"\n"]
    Path(fleet.paths[0]).write_bytes(
        b"".join([*intact_lines[:2], *damage, *intact_lines[2:], intact_lines[0][:40]])
    )
    lines, report = merge_paths(
        [*fleet.paths, str(tmp_path / "missing"), str(tmp_path)]
    )
    assert len(lines) == 60
    messages = [skipped.describe() for skipped in report.files()]
    assert sum("not read" in message for message in messages) == 2
    (truncated,) = [message for message in messages if "truncated" in message]
    assert "skipped damaged lines: 6, the first is line 3" in truncated


def log_refused_request(tmp_path):
    fleet = FleetLogs(tmp_path, {"e1": HostClock(0.0), "e2": HostClock(0.0)})
    request_fields = {"request_id": "r1", "account": "cart-7", "service": "assistant"}
    emit = fleet.emit["e1"]
    emit(events.ZoneOut(availability_zone="salinas"))
    fleet.emit["e2"](events.PlatformUnreachable(reason="elsewhere"))
    fleet.true_ms = 5.0
    emit(events.RequestAdmitted(request_id="r2", account="cart-8"))
    emit(events.RequestQueued(queue_length=4, **request_fields))
    fleet.true_ms = 10.0
    emit(
        events.RequestRefused(
            status=429,
            code="account_over_rate",
            verdict="not-run",
            reason="account over its rate, 3 tokens requested, none received in 5 ms",
            retry_after_ms=800.0,
            **request_fields,
        )
    )
    return fleet


def test_a_refused_request_is_explained(tmp_path):
    status, output, _ = run_timeline(
        *log_refused_request(tmp_path).paths, "--explain", "r1"
    )
    assert status == 0
    assert output.splitlines()[0] == (
        "request r1: refused: not run, account over its rate, 3 tokens requested, "
        "none received in 5 ms (account_over_rate, status 429), retry after 800 ms"
    )
    assert "account cart-7, for service assistant" in output
    assert "e1: queued, 4 waiting" in output
    assert "availability zone salinas taken out of service" in output
    assert "elsewhere" not in output
    assert "r2" not in output


@pytest.mark.parametrize(
    ("arguments", "expected_types"),
    [
        (["--request", "r1"], ["request_queued", "request_refused"]),
        (
            ["--request", "r1", "--request", "r2"],
            ["request_admitted"] * 1 + ["request_queued", "request_refused"],
        ),
        (["--account", "cart-8"], ["request_admitted"]),
        (["--availability-zone", "salinas"], ["zone_out"]),
        (["--backend-server", "none"], []),
        (["--from", str(EPOCH_MS + 6)], ["request_refused"]),
        (["--to", "2030-03-17T17:46:40.001"], ["zone_out", "platform_unreachable"]),
    ],
)
def test_filters(tmp_path, arguments, expected_types):
    status, output, _ = run_timeline(*log_refused_request(tmp_path).paths, *arguments)
    assert status == 0
    assert [line.split()[2] for line in output.splitlines()] == expected_types


def test_drawings_contain_every_event(tmp_path):
    fleet = log_refused_request(tmp_path)
    fleet.exchange(random.Random(5), 20)
    for event_type in event_types():
        fleet.emit["e1"](filled_event(event_type))
    count = len(merge_paths(fleet.paths)[0])
    _, lanes, _ = run_timeline(*fleet.paths, "--lanes")
    assert lanes.count("●") == count
    path = tmp_path / "drawing.svg"
    assert run_timeline(*fleet.paths, "--svg", str(path))[0] == 0
    root = ElementTree.parse(path).getroot()
    assert sum(node.tag.endswith("circle") for node in root) == count


def test_every_event_has_a_sentence():
    sentences = [
        describe_event(filled_event(event_type)) for event_type in event_types()
    ]
    assert len(set(sentences)) == len(sentences)
    assert all(sentences)


def test_invalid_arguments_are_reported(tmp_path):
    status, _, error = run_timeline(str(tmp_path / "none"), "--from", "noon")
    assert (status, "--from: 'noon'" in error) == (2, True)
    status, _, error = run_timeline(str(tmp_path / "none"))
    assert (status, "not read" in error) == (1, True)
