"""Requests to backend servers and their bytes on the wire."""

from collections.abc import Mapping
from typing import NamedTuple

from geventhttpclient import HTTPClient

from gypsumfield.engine_api import REQUEST_ID_HEADER

# A larger body is sent as it is instead of being joined to the headers.
JOINED_BODY_LIMIT_BYTES = 16_384
# Used only to serialize requests: it rejects bytes in the method, the target and the
# headers that a server could interpret as a second request.
_SERIALIZER = HTTPClient("127.0.0.1", port=0)


class OutgoingRequest(NamedTuple):
    """One request to a backend server.

    Attributes:
        address: ``IP:PORT`` of the backend server.
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: Headers to send, without the request id, which is added.
        body: Complete body, empty for none.
        request_id: Id that the answer must echo.
        request_id_header: Header of the request that carries the id.
        must_echo_id: Whether an answer without the id is rejected.
    """

    address: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    request_id_header: str = REQUEST_ID_HEADER
    must_echo_id: bool = True


def serialize_request(request: OutgoingRequest) -> list[bytes]:
    """Return the parts of a request to send one after the other."""
    headers = {
        "Host": request.address,
        **request.headers,
        request.request_id_header: request.request_id,
    }
    head = _SERIALIZER._build_request(
        request.method, request.target, body=request.body, headers=headers
    )
    head_bytes = bytes(head.encode("latin-1"))
    if len(request.body) <= JOINED_BODY_LIMIT_BYTES:
        return [head_bytes + request.body]
    return [head_bytes, request.body]
