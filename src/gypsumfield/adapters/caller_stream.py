"""Server-sent events of one generation towards its caller."""

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
    """Server-sent events of one generation; closing it frees all it holds."""

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
        self._events = self._encode_all(first, encode)

    def __iter__(self) -> Any:
        return self._events

    def close(self) -> None:
        """Stop the generation if it still runs."""
        self._watch.stop()
        self._events.close()
        self._rest.close()  # type: ignore[attr-defined]

    def _encode_all(self, first: Delivery, encode: Callable[[Delivery], bytes]) -> Any:
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
