"""Small HTTP calls for tests, on fresh connections."""

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
        names = {name.lower(): value for name, value in response.items()}
        return Answer(response.status_code, names, bytes(response.read()))


@contextlib.contextmanager
def open_call(
    method: str, url: str, data: bytes = b"", headers: dict[str, str] | None = None
) -> Iterator[Any]:
    base, _, path = url.removeprefix("http://").partition("/")
    host, _, port = base.partition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = client.request(method, f"/{path}", body=data, headers=headers or {})
        try:
            yield response
        finally:
            # An answer that was not read to its end closes its connection here.
            response.release()
    finally:
        client.close()
