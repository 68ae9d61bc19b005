"""Decides whether a stream may be sent to a further engine after a failure."""

from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.run_ends import NOT_ENDED_CODE
from gypsumfield.gateway.stream_dependencies import StreamDependencies
from gypsumfield.verdicts import RunVerdict

# Refusals after which a stream may try a further engine: one more than a plain call.
MAX_REFUSED_ATTEMPTS = 3


def may_retry(
    deps: StreamDependencies,
    job: Job,
    error: BackendError,
    run_count: int,
    refused_count: int,
) -> bool:
    """Return whether a stream may try a further engine; a retry is then counted.

    Args:
        deps: Dependencies of the stream.
        job: The call.
        error: How the last attempt failed.
        run_count: Attempts that have run or may have run.
        refused_count: Attempts that have not.
    """
    attempts = deps.attempts
    is_over = bool(job.abort.reason) or job.remaining_ms(attempts.clock) <= 0.0
    if is_over or error.code == NOT_ENDED_CODE:
        return False
    if attempts.part_guard.is_condemned(job) or attempts.placer.should_forward(job):
        return False
    max_runs = job.route.max_attempts if job.route.is_resumable else 0
    if error.verdict is RunVerdict.NOT_RUN:
        if refused_count > MAX_REFUSED_ATTEMPTS:
            return False
    elif run_count >= max_runs:
        return False
    share = deps.retry_share(job.service)
    return share.take(attempts.clock.monotonic_ms(), deps.host_count())
