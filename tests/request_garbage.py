"""Finds requests that have ended and are left to the garbage collector."""

import contextlib
import gc

from gypsumfield.adapters.caller_connections import CallerConnection
from gypsumfield.adapters.caller_server import CallerHandler
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.streams import Stream
from gypsumfield.request_validation import GenerationRequest
from gypsumfield.request_validation import PlainRequest

REQUEST_TYPES = (
    CallerConnection,
    CallerHandler,
    GenerationRequest,
    Job,
    PlainRequest,
    Stream,
)


@contextlib.contextmanager
def collected_types():
    """Yield a set that holds, at the end, the names of the types that were garbage."""
    names = set()
    gc.disable()
    # A collection of all objects of the process would hold up its event loop.
    gc.freeze()
    try:
        yield names
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        names |= {type(item).__name__ for item in gc.garbage if _is_request(item)}
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.unfreeze()
        gc.enable()


def _is_request(item):
    """Return whether an object belongs to a caller's request.

    The host's own calls have no body.
    """
    is_sent = isinstance(item, OutgoingRequest) and item.body
    return bool(is_sent) or isinstance(item, REQUEST_TYPES)
