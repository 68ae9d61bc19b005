"""Sessions with a fleet, recorded without the parts that differ between runs.

``python tests/golden_sessions.py`` rewrites the files that the tests compare with.
"""

import contextlib
import json
import re
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from gypsumfield.standins.faults import Fault
from httpcalls import Answer
from httpcalls import call
from httpcalls import open_call
from processes import MultiProcessFleet
from small_fleet import bearer
from small_fleet import complete
from small_fleet import OTHER_KEY
from small_fleet import small_fleet
from small_fleet import SmallFleet
from small_fleet import stream_events
from small_fleet import wait_for

FOLDER = Path(__file__).parent / "golden"
RECORDED_HEADERS = ("connection", "content-type", "retry-after", "www-authenticate")

Session = list[dict[str, Any]]


def write_step(action: str, answer: Answer) -> dict[str, Any]:
    headers = {
        name: answer.headers[name] for name in RECORDED_HEADERS & answer.headers.keys()
    }
    request_id = answer.headers.get("x-request-id", "")
    text = answer.body.decode()
    if request_id:
        text = text.replace(request_id, "REQUEST")
    # The wording of a connection error depends on which packet arrives first.
    text = re.sub(r"(at stage \w+): [^;\"]*", r"\1", text)
    body: Any = text
    if headers.get("content-type") == "text/event-stream":
        body = [write_event(event) for event in stream_events(text.encode())]
    elif text.startswith("{"):
        body = json.loads(text)
    return {"did": action, "status": answer.status, "headers": headers, "body": body}


def write_event(event: Any) -> dict[str, Any]:
    data = event.data if event.data == "[DONE]" else json.loads(event.data)
    return {"kind": event.kind, "has_cursor": bool(event.cursor), "data": data}


def write_runs(fleet: SmallFleet) -> dict[str, Any]:
    ledgers = [fleet.runs(ledger)["runs"] for ledger in fleet.ledgers]
    routes = {route for runs in ledgers for route in runs}
    generations = [
        {name: run[name] for name in ("start_count", "generated_tokens", "state")}
        for run in fleet.engine_runs().values()
    ]
    return {
        "did": "runs counted by the stand-ins",
        "generations": sorted(generations, key=lambda run: run["generated_tokens"]),
        "ledger": {
            route: sum(runs.get(route, 0) for runs in ledgers)
            for route in sorted(routes)
        },
    }


def dawn_briefing() -> Session:
    with small_fleet() as fleet:
        prompt = "Briefing for cart 7: tide, stock, weather [tokens=5]"
        return [
            write_step("briefing", complete(fleet.urls[0], prompt, stream=True)),
            write_step("short answer", complete(fleet.urls[0], "Rain? [tokens=2]")),
            write_runs(fleet),
        ]


def sale_reset_after_body() -> Session:
    with small_fleet() as fleet:
        for ledger in fleet.ledgers:
            ledger.server.arm((Fault("crash", "body-sent"),))
        url = f"{fleet.urls[0]}/services/ledger"
        sale = {"cart": "c7", "amount": 3}
        first = call("POST", f"{url}/sales", sale, bearer())
        session = [write_step("sale, reset once it was read", first), write_runs(fleet)]
        for ledger in fleet.ledgers:
            ledger.server.arm(())
        session.append(write_step("prices", call("GET", f"{url}/prices")))
        return [*session, write_runs(fleet)]


def write_up_resumed_elsewhere() -> Session:
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = MultiProcessFleet(folder, stack)
        first, second = processes.entries
        body = {"model": "assistant", "prompt": "frame [tokens=200]", "stream": True}
        received = b""
        url = f"{first.ready['url']}/v1/completions"
        with open_call("POST", url, json.dumps(body).encode(), bearer()) as response:
            while received.count(b"\n\n") < 20:
                received += response.read(64)
            first.signal(signal.SIGKILL)
            first.wait()
        first_events = stream_events(received[: received.rindex(b"\n\n")])[:20]
        headers = bearer() | {"Last-Event-ID": first_events[-1].cursor}
        resume = f"{second.ready['url']}/v1/generations/resume"
        rest = stream_events(call("GET", resume, headers=headers).body)
        second_resume = stream_events(call("GET", resume, headers=headers).body)
        runs = processes.generations().values()
        return [
            {
                "did": "first host killed",
                "text": [event.text for event in first_events],
            },
            {
                "did": "resumed on the second host",
                "text": [event.text for event in rest[:-1]],
                "finish_reason": rest[-2].choice["finish_reason"],
                "last": rest[-1].data,
            },
            {
                "did": "resumed once more",
                "is_same": [event.data for event in second_resume]
                == [event.data for event in rest],
            },
            {
                "did": "runs counted by the stand-ins",
                "generations": [[run["start_count"], run["state"]] for run in runs],
            },
        ]


def refused_key() -> Session:
    with small_fleet() as fleet:
        url = fleet.urls[0]
        sales = f"{url}/services/ledger/sales"
        sale = {"cart": "c7", "amount": 3}
        session = [
            write_step("no key", call("POST", sales, sale)),
            write_step("unknown key", call("POST", sales, sale, bearer("wrong"))),
            write_step("not allowed", call("POST", sales, sale, bearer(OTHER_KEY))),
            write_step("allowed", complete(url, "x [tokens=1]", OTHER_KEY)),
        ]
        withdrawn = {
            "key_digests": [],
            "rate_per_s": 10,
            "burst": 10,
            "services": ["assistant"],
        }
        fleet.publish_and_wait("client_accounts/office", withdrawn)
        answer = complete(url, "x [tokens=1]", OTHER_KEY)
        return [*session, write_step("withdrawn key", answer), write_runs(fleet)]


def drain() -> Session:
    with small_fleet() as fleet:
        url = fleet.urls[0]
        body = {"model": "assistant", "prompt": "x [tokens=200]", "stream": True}
        data = json.dumps(body).encode()
        with open_call("POST", f"{url}/v1/completions", data, bearer()) as response:
            received = response.read(16)
            fleet.hosts[0].begin_drain()
            session = [
                write_step("health", call("GET", f"{url}/healthz")),
                write_step("late request", complete(url, "x [tokens=1]")),
            ]
            drained = gevent.spawn(fleet.hosts[0].drain)
            events = stream_events(received + response.read())
        session.append(
            {
                "did": "running stream",
                "token_count": len(events) - 2,
                "finish_reason": events[-2].choice["finish_reason"],
                "last": events[-1].data,
                "cut_count": drained.get(timeout=20),
            }
        )
        wait_for(lambda: drained.ready())
        return [*session, write_runs(fleet)]


SESSIONS: dict[str, Callable[[], Session]] = {
    "dawn_briefing": dawn_briefing,
    "sale_reset_after_body": sale_reset_after_body,
    "write_up_resumed_elsewhere": write_up_resumed_elsewhere,
    "refused_key": refused_key,
    "drain": drain,
}


def main() -> None:
    for name, run in SESSIONS.items():
        text = json.dumps(run(), indent=1) + "\n"
        (FOLDER / f"{name}.json").write_text(text)


if __name__ == "__main__":
    main()
