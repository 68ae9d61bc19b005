"""Software versions at which streams began, for callers that take a stream up again."""

import msgspec
import xxhash

# Longer than the time limit of any route; a stream that began earlier has ended.
ORIGIN_LIFETIME_MS = 120_000.0
# Some megabytes at most, on hosts that have 128 MB for everything.
MAX_ORIGINS = 16_384


def stream_key(account: str, host: str, target: str, request_id: str) -> int:
    """Return a number for a stream, which callers of other accounts cannot name.

    Args:
        account: Name of the client account, or empty.
        host: Host name of the request.
        target: Path and query of the request.
        request_id: Id of the attempt that brought the first event.
    """
    digest = xxhash.xxh3_64(msgspec.json.encode((account, host, target, request_id)))
    return digest.intdigest() >> 1


class StreamOrigins:
    """Bounded record of the versions at which streams began, by `stream_key`."""

    def __init__(self) -> None:
        # The oldest entry first.
        self._origins: dict[int, tuple[str, float]] = {}

    def record(self, key: int, version: str, now_ms: float) -> None:
        """Record that a stream has begun, or goes on, at a version.

        Contradicting records make the version unknown.
        """
        known, _ = self._origins.pop(key, (version, now_ms))
        self._origins[key] = (version if known == version else "", now_ms)
        self._remove_old(now_ms)

    def find(self, key: int, now_ms: float) -> str | None:
        """Return the version at which a stream began, or None without a record."""
        self._remove_old(now_ms)
        origin = self._origins.get(key)
        return None if origin is None else origin[0]

    def _remove_old(self, now_ms: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins))
            is_expired = now_ms - self._origins[oldest][1] > ORIGIN_LIFETIME_MS
            if not is_expired and len(self._origins) <= MAX_ORIGINS:
                return
            del self._origins[oldest]
