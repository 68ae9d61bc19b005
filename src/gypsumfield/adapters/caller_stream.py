"""Response body that sends the events of one generation to its caller."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from gypsumfield.adapters.caller_server import DisconnectWatcher
from gypsumfield.caller_api import DONE_EVENT
from gypsumfield.caller_api import error_event
from gypsumfield.exceptions import RefusedError
from gypsumfield.relay import Delivery
from gypsumfield.serving import Serving


class CallerStream:
    """Iterable over the server-sent events of one generation; a WSGI response body.

    Args:
        first: First delivery, which was already read.
        rest: Further deliveries; closed with the stream.
        encode: Encodes a delivery as a server-sent event.
        watch: Watches for a disconnect of the caller; stopped with the stream.
        request_id: Id of the request, for the log and the error event.
        serving: Receives how the request ended, if it was not complete.
    """

    def __init__(
        self,
        first: Delivery,
        rest: Iterator[Delivery],
        encode: Callable[[Delivery], bytes],
        watch: DisconnectWatcher,
        request_id: str,
        serving: Serving,
    ) -> None:
        self._rest = rest
        self._watch = watch
        self._request_id = request_id
        self._serving = serving
        self._events = self._encode_events(first, encode)

    def __iter__(self) -> Any:
        return self._events

    def close(self) -> None:
        """Release all resources; a generation that still runs is cancelled."""
        self._watch.stop()
        self._events.close()
        self._rest.close()  # type: ignore[attr-defined]

    def _encode_events(
        self, first: Delivery, encode: Callable[[Delivery], bytes]
    ) -> Any:
        try:
            yield encode(first)
            for delivery in self._rest:
                yield encode(delivery)
        except RefusedError as error:
            if self._watch.has_disconnected:
                self._serving.log_caller_gone(self._request_id)
                return
            self._serving.log_failed_answer(self._request_id, error.refusal)
            yield error_event(error.refusal, self._request_id)
            return
        except GeneratorExit:
            self._serving.log_caller_gone(self._request_id)
            raise
        yield DONE_EVENT
