import copy
import json
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from xml.etree import ElementTree

import gevent
import msgspec
import pytest
from gevent.pywsgi import WSGIServer
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumfield.clock import Clock
from gypsumfield.clock import system_clock
from gypsumfield.configuration import parse_value
from gypsumfield.exceptions import SettingsError
from gypsumfield.load import compare as load_compare
from gypsumfield.load.arrivals import draw_length
from gypsumfield.load.arrivals import plan_requests
from gypsumfield.load.client import send_request
from gypsumfield.load.driver import Fleet
from gypsumfield.load.driver import FleetHost
from gypsumfield.load.driver import LoadDriver
from gypsumfield.load.experiment import account_key
from gypsumfield.load.experiment import Experiment
from gypsumfield.load.experiment import Lengths
from gypsumfield.load.experiment import published_values
from gypsumfield.load.experiment import read_experiment
from gypsumfield.load.oracle import BoundMeter
from gypsumfield.load.oracle import RateOracle
from gypsumfield.load.report import write_report
from gypsumfield.load.results import decode_histogram
from gypsumfield.load.results import LoadResult

DATA = Path(__file__).parents[1] / "src" / "gypsumfield" / "data"
READY = sorted(DATA.glob("*.json"))
OUTPUT_TOKENS = 4
STREAM = {"Content-Type": "text/event-stream"}
NOT_RUN = {"code": "account_over_rate", "message": "m", "run": "not-run"}


def make_experiment(**changes) -> Experiment:
    raw = {
        "name": "small",
        "seed": 5,
        "duration_ms": 60_000,
        "traffic": [
            {
                "name": "tag",
                "service": "assistant",
                "kind": "model",
                "arrivals": {"kind": "poisson", "rate_per_s": 30},
                "output": {"kind": "constant", "median_tokens": OUTPUT_TOKENS},
            }
        ],
        "accounts": [
            {"name": "large", "rate_per_s": 100, "burst": 200, "share": 3},
            {"name": "small", "rate_per_s": 100, "burst": 200},
        ],
    }
    return msgspec.convert(raw | changes, Experiment)


def token_event(number, text=None, reason=None):
    text = f"w{number} " if text is None else text
    chunk = {"choices": [{"index": 0, "text": text, "finish_reason": reason}]}
    return f"id: c{number}\ndata: {json.dumps(chunk)}\n\n".encode()


def error_answer(detail):
    return json.dumps({"error": detail | {"request_id": "r"}}).encode()


TOKENS = [token_event(number) for number in range(1, OUTPUT_TOKENS + 1)]
FINISH = token_event(9, "", "stop")
DONE = b"data: [DONE]\n\n"
ERROR_EVENT = b"event: error\ndata: " + error_answer(NOT_RUN | {"run": "ran"}) + b"\n\n"


@pytest.fixture
def serve():
    servers = []

    def start(application):
        server = WSGIServer(("127.0.0.1", 0), application, log=None, error_log=None)
        server.start()
        servers.append(server)
        return f"http://127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


def scripted(status, headers, pieces):
    def application(environ, start_response):
        environ["wsgi.input"].read()
        start_response(status, list(headers.items()))
        return iter(pieces)

    return application


@pytest.mark.parametrize(
    ("pieces", "kind", "token_count"),
    [
        ([*TOKENS, FINISH, DONE], "whole", 4),
        ([*TOKENS, FINISH], "truncated", 4),
        ([*TOKENS[:2]], "truncated", 2),
        ([*TOKENS[:2], ERROR_EVENT], "ended_with_error", 2),
        ([*TOKENS[:2], *TOKENS[1:], FINISH, DONE], "corrupt", 5),
        ([TOKENS[0], *TOKENS[2:], FINISH, DONE], "corrupt", 3),
        ([*TOKENS[:3], FINISH, DONE], "corrupt", 3),
        ([*TOKENS, DONE], "corrupt", 4),
    ],
)
def test_stream_outcomes(serve, pieces, kind, token_count):
    request = next(plan_requests(make_experiment()))
    url = serve(scripted("200 OK", STREAM, pieces))
    outcome = send_request(request, 1, "k", [url])
    assert (outcome.kind, outcome.token_count) == (kind, token_count)
    assert len(outcome.gaps_ms) == token_count - 1
    assert outcome.first_token_ms is not None


def test_refusal_names_code_and_verdict_and_closed_hosts_are_passed_over(serve):
    request = next(plan_requests(make_experiment()))
    answer = scripted("429 Too Many Requests", {}, [error_answer(NOT_RUN)])
    url = serve(answer)
    closed = "http://127.0.0.1:9"
    outcome = send_request(request, 1, "k", [closed, url])
    found = (outcome.kind, outcome.status, outcome.code, outcome.verdict)
    assert found == ("refused", 429, "account_over_rate", "not-run")
    assert send_request(request, 1, "k", [closed]).kind == "unreachable"


def test_plan_is_the_same_for_a_seed_and_follows_rate_share_and_phases():
    flood = {
        "phases": [{"from_ms": 20_000, "factor": 5}, {"from_ms": 40_000, "factor": 0}]
    }
    accounts = [
        {"name": "large", "rate_per_s": 9, "burst": 9, "share": 3},
        {"name": "small", "rate_per_s": 9, "burst": 9, **flood},
    ]
    experiment = make_experiment(accounts=accounts)
    plan = list(plan_requests(experiment))
    assert plan == list(plan_requests(experiment))
    assert plan != list(plan_requests(make_experiment(accounts=accounts, seed=6)))
    times_ms = [request.at_ms for request in plan]
    assert times_ms == sorted(times_ms)
    counts = Counter(
        (request.account.name, int(request.at_ms // 20_000)) for request in plan
    )
    for third in range(3):
        assert counts["large", third] == pytest.approx(450, rel=0.15)
    assert counts["small", 0] == pytest.approx(150, rel=0.25)
    assert counts["small", 1] == pytest.approx(750, rel=0.15)
    assert counts["small", 2] == 0


def test_constant_arrivals_have_equal_gaps():
    arrivals = {"kind": "constant", "rate_per_s": 10, "phases": []}
    traffic = [{"name": "t", "service": "s", "kind": "plain", "arrivals": arrivals}]
    accounts = [{"name": "a", "rate_per_s": 1, "burst": 1}]
    plan = list(plan_requests(make_experiment(traffic=traffic, accounts=accounts)))
    gaps = {round(b.at_ms - a.at_ms, 6) for a, b in zip(plan, plan[1:], strict=False)}
    assert (gaps, len(plan)) == ({100.0}, 599)


def test_lengths_follow_their_distribution():
    rng = random.Random(3)
    humps = Lengths("two_humped", 10, 0.1, 1_000, 0.25, 1_100)
    drawn = [draw_length(humps, rng) for _ in range(4_000)]
    assert sum(length > 100 for length in drawn) == pytest.approx(1_000, rel=0.1)
    assert max(drawn) == 1_100
    assert min(drawn) >= 1


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.integers(0, 2_000), max_size=60),
    st.integers(1, 20),
    st.integers(1, 10),
)
def test_oracle_takes_all_that_the_bound_allows_and_no_more(gaps, rate_per_s, burst):
    oracle = RateOracle(rate_per_s, burst, 0.0)
    meter = BoundMeter(rate_per_s, burst, 0.0)
    now_ms = 0.0
    for gap_ms in gaps:
        now_ms += gap_ms
        if oracle.take(now_ms):
            meter.admit(now_ms)
            assert meter.largest_excess < 1e-6
        else:
            probe = copy.deepcopy(meter)
            probe.admit(now_ms)
            assert probe.largest_excess > 0.0


def test_oracle_counts_a_flood_up_to_the_rate():
    oracle = RateOracle(2.0, 4.0, 0.0)
    taken = sum(oracle.take(number * 10.0) for number in range(1_000))
    assert taken == 4 + 2 * 10 - 1


def test_meter_sees_what_is_above_the_bound():
    meter = BoundMeter(1.0, 2.0, 0.0)
    for _ in range(5):
        meter.admit(0.0)
    assert meter.largest_excess == 3.0


def gevent_clock() -> Clock:
    return system_clock()._replace(sleep_ms=lambda ms: gevent.sleep(ms / 1_000))


def entry_host(refused_every):
    """Return an application that refuses one request in so many."""
    seen = Counter()
    keys = {account_key(make_experiment(), name) for name in ("large", "small")}

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        if environ["REQUEST_METHOD"] == "PUT":
            seen[environ["PATH_INFO"]] += 1
            start_response("200 OK", [])
            return [b'{"revision": 7}']
        if environ["PATH_INFO"] == "/metrics":
            start_response("200 OK", [])
            return [b"gypsumfield_configuration_revision 7.0\n"]
        assert environ["HTTP_AUTHORIZATION"].removeprefix("Bearer ") in keys
        assert f"[tokens={OUTPUT_TOKENS}]" in json.loads(body)["prompt"]
        seen["asked"] += 1
        if seen["asked"] % refused_every == 0:
            start_response("503 Service Unavailable", [])
            return [error_answer(NOT_RUN | {"code": "no_capacity"})]
        start_response("200 OK", list(STREAM.items()))
        return iter([*TOKENS, FINISH, DONE])

    return application, seen


def run_small(serve, refused_every=4):
    application, seen = entry_host(refused_every)
    url = serve(application)
    fault = {"type": "value", "at_ms": 300, "key": "availability_zones/m", "value": {}}
    experiment = make_experiment(duration_ms=1_000, faults=[fault])
    fleet = Fleet((FleetHost("e1", url),), platform=url)
    driver = LoadDriver(experiment, fleet, gevent_clock(), lambda _: None)
    return driver.run(), seen


def test_run_counts_what_the_hosts_did(serve):
    result, seen = run_small(serve)
    tag = result.traffic["tag"]
    assert seen["/standin/values/client_accounts/large"] == 1
    assert seen["/standin/values/availability_zones/m"] == 1
    assert [fault.status for fault in result.faults] == [200]
    assert tag.sent_count == seen["asked"] > 8
    refused_count = seen["asked"] // 4
    assert tag.outcomes["refused"] == tag.wrongful_refusal_count == refused_count
    assert tag.refusals == {"no_capacity not-run": refused_count}
    whole_count = tag.sent_count - refused_count
    assert tag.outcomes == {"refused": refused_count, "whole": whole_count}
    assert tag.token_count == OUTPUT_TOKENS * whole_count
    assert tag.between_tokens.count == (OUTPUT_TOKENS - 1) * whole_count
    assert sum(second.whole_count for second in result.seconds) == whole_count
    shares = [account.served_share for account in result.accounts.values()]
    assert result.worst_account_share == min(shares) < 1.0
    decoded = msgspec.json.decode(msgspec.json.encode(result), type=LoadResult)
    assert decoded == result
    assert decode_histogram(tag.answer).get_total_count() == whole_count


def test_report_and_comparison(serve, tmp_path):
    result, _ = run_small(serve)
    better, _ = run_small(serve, refused_every=10_000)
    page = write_report(result, tmp_path)
    text = page.read_text()
    for name in ("answers", "first_token", "between_tokens", "accounts"):
        assert f'src="{name}.svg"' in text
        assert ElementTree.parse(tmp_path / f"{name}.svg").getroot().tag.endswith("svg")
        assert (tmp_path / f"{name}.png").read_bytes().startswith(b"\x89PNG")
    assert "no_capacity not-run" in text
    figures = {each.name: each for each in load_compare.compare_results(result, better)}
    assert figures["tag: wrongful refusals"].change == "-100.0 %"
    assert figures["tag: truncated"].change == "="
    lines = list(load_compare.format_comparison(result, better))
    assert any(line.startswith("tag: first token p95 ms") for line in lines)


@pytest.mark.parametrize("path", READY, ids=lambda path: path.stem)
def test_ready_experiments_fit_their_fleet(path):
    experiment = read_experiment(str(path))
    values = published_values(experiment)
    for key, value in values.items():
        parse_value(key, value)
    assert experiment.fleet is not None
    hosts = {
        f"{group.service}-{number + 1}"
        for group in experiment.fleet.backends
        for number in range(group.count)
    }
    services = {group.service for group in experiment.fleet.backends}
    assert {traffic.service for traffic in experiment.traffic} == services
    assert {f"services/{service}" for service in services} <= set(values)
    for fault in experiment.faults:
        assert getattr(fault, "host_id", next(iter(hosts))) in hosts
    assert len(experiment.accounts) == 10


def test_both_deployments_are_ready():
    assert {path.stem for path in READY} >= {"quinonez", "gangseo"}


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"duration_ms": -1}, "duration_ms"),
        ({"accounts": []}, "accounts"),
        ({"speed": 3}, "speed"),
        ({"traffic": [{"name": "x"}]}, "traffic"),
        ({"faults": [{"type": "storm", "at_ms": 1}]}, "faults"),
    ],
)
def test_a_bad_experiment_is_refused_by_field(tmp_path, change, named):
    path = tmp_path / "e.json"
    raw = msgspec.to_builtins(make_experiment())
    path.write_text(json.dumps(raw | change))
    with pytest.raises(SettingsError, match=named):
        read_experiment(str(path))


def run_program(*arguments):
    program = Path(sys.executable).with_name("gypsumfield-load")
    done = subprocess.run(
        [program, *arguments], capture_output=True, text=True, check=False, timeout=60
    )
    return done.returncode, done.stdout, done.stderr


def test_program_compares_reports_and_names_what_is_wrong(serve, tmp_path):
    result, _ = run_small(serve)
    path = tmp_path / "result.json"
    path.write_bytes(msgspec.json.encode(result))
    status, told, _ = run_program("compare", str(path), str(path))
    assert status == 0
    assert "wrongful refusals" in told
    assert run_program("report", str(path), "--out", str(tmp_path / "r"))[0] == 0
    assert (tmp_path / "r" / "index.html").exists()
    path.write_text("{}")
    status, _, error = run_program("compare", str(path), str(path))
    assert (status, "experiment" in error) == (2, True)
    status, _, error = run_program("run", "quinonez")
    assert (status, "--fleet" in error) == (2, True)
