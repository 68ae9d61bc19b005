"""Opens the addresses of a host when it starts."""

import errno
from collections.abc import Callable

from gypsumfield.clock import Clock
from gypsumfield.connection_events import AddressInUse
from gypsumfield.exceptions import ListenError
from gypsumfield.interfaces import EmitEvent

# The process before may still end, or an outgoing connection of this machine may have
# the port for a moment.
ADDRESS_WAIT_MS = 5_000.0
ADDRESS_CHECK_INTERVAL_MS = 100.0


def start_listening(
    start: Callable[[], None], address: str, clock: Clock, emit: EmitEvent
) -> None:
    """Call ``start`` until the address can be used; wait for a while if it is in use.

    Args:
        start: Opens the address, or raises `OSError`.
        address: What is opened, as ``IP:PORT``, for the log and the error.
        clock: Clock of the host.
        emit: Logs that the address is in use, once.

    Raises:
        ListenError: The address is still in use, or cannot be used at all.
    """
    ends_ms = clock.monotonic_ms() + ADDRESS_WAIT_MS
    is_logged = False
    while True:
        try:
            start()
            return
        except OSError as error:
            is_over = clock.monotonic_ms() >= ends_ms
            if error.errno != errno.EADDRINUSE or is_over:
                message = f"cannot listen on {address}: {error.strerror}"
                raise ListenError(message) from error
        if not is_logged:
            emit(AddressInUse(address=address))
            is_logged = True
        clock.sleep_ms(ADDRESS_CHECK_INTERVAL_MS)
