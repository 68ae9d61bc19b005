"""HTTP calls for tests, each on a new connection."""

import contextlib
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import msgspec
from geventhttpclient import HTTPClient

TIMEOUT_S = 20.0


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return msgspec.json.decode(self.body)


def call(
    method: str,
    url: str,
    body: Any = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    with open_call(method, url, data, headers) as response:
        answer_headers = {name.lower(): value for name, value in response.items()}
        return Answer(response.status_code, answer_headers, bytes(response.read()))


@contextlib.contextmanager
def open_call(
    method: str, url: str, data: bytes = b"", headers: dict[str, str] | None = None
) -> Iterator[Any]:
    authority, _, path = url.removeprefix("http://").partition("/")
    host, _, port = authority.partition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = client.request(method, f"/{path}", body=data, headers=headers or {})
        try:
            yield response
        finally:
            # Closes the connection if the answer was not read to its end.
            response.release()
    finally:
        client.close()
