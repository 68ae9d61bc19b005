"""Counts what the requests of a WSGI application hold until their answers are sent."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from gypsumfield.adapters.caller_server import CONNECTION_KEY
from gypsumfield.adapters.caller_server import WsgiApplication
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import Hold

HOLD_KEY = "gypsumfield.hold"


def hold_of(environ: dict[str, Any]) -> Hold:
    """Return the account of the request."""
    hold: Hold = environ[HOLD_KEY]
    return hold


def held_application(
    application: WsgiApplication, memory: HeldMemory
) -> WsgiApplication:
    """Return an application that opens an account for each request."""

    def serve(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        hold = environ[HOLD_KEY] = memory.open(environ.get(CONNECTION_KEY))
        try:
            return _HeldAnswer(application(environ, start_response), hold)
        except BaseException:
            hold.release()
            raise

    return serve


class _HeldAnswer:
    def __init__(self, answer: Iterable[bytes], hold: Hold) -> None:
        self._answer = answer
        self._hold = hold

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._answer)

    def close(self) -> None:
        """Close the application's answer and release what its request holds."""
        try:
            close = getattr(self._answer, "close", None)
            if close is not None:
                close()
        finally:
            self._hold.release()
