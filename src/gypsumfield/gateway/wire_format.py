"""The functions with which an edge host reads and writes HTTP headers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.calls import TakeUp

HeaderItems = Sequence[tuple[str, str]]


class WireFormat(NamedTuple):
    """Functions of the platform's adapter that read and write HTTP headers.

    Attributes:
        request_id_header: Name of the header that holds the request id, in requests
            and in answers.
        decode_request: Decodes the headers of a caller's request.
        encode_request: Returns the headers of a request to a server.
        forwarded_headers: Returns the headers of a caller's request that another host
            receives with it, and of a stream that goes on there.
        decode_answer: Decodes the headers of a server's answer.
        answer_headers: Returns the headers of a server's answer that are forwarded
            to the caller.
        error_headers: Returns the headers of an answer that this host generates.
    """

    request_id_header: str
    decode_request: Callable[[Iterable[tuple[str, str]]], CallHeaders]
    encode_request: Callable[[HeaderItems, str, SendOptions], Mapping[str, str]]
    forwarded_headers: Callable[[HeaderItems, TakeUp | None], dict[str, str]]
    decode_answer: Callable[[Iterable[tuple[str, str]]], AnswerMetadata]
    answer_headers: Callable[[Iterable[tuple[str, str]]], list[tuple[str, str]]]
    error_headers: Callable[[str], list[tuple[str, str]]]
