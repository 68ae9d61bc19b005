"""A host that stops, and what its callers get, in virtual time."""

import random

from gypsumfield.decisions.draining import accepts_call
from gypsumfield.decisions.draining import accepts_stream
from gypsumfield.decisions.draining import expected_stream_ms
from gypsumfield.decisions.draining import LAST_STREAM_MS

LIMIT_MS = 8_000.0
STEP_MS = 9.5
FIRST_MS = 600.0


def stream_ms(tokens):
    return expected_stream_ms(tokens, STEP_MS)


def test_a_host_that_does_not_drain_takes_everything():
    assert accepts_call(None, LIMIT_MS)
    assert accepts_stream(None, LIMIT_MS, 60_000.0)


def test_short_calls_on_their_way_at_the_signal_are_taken():
    assert accepts_call(LAST_STREAM_MS, LIMIT_MS)
    assert accepts_stream(LAST_STREAM_MS, LIMIT_MS, stream_ms(200))


def test_a_stream_that_would_outlast_the_host_is_refused_at_once():
    # vltava-valce trouble-3: a write-up that came in the millisecond of the signal,
    # and one 1.6 s later, were cut at the end of the host.
    assert not accepts_stream(0.0, LIMIT_MS, stream_ms(900))


def test_a_stream_that_would_be_cut_is_not_taken_late():
    # Hunt on quinonez-coco, mix --seed 1057573640342: a write-up that came on a
    # kept connection 4.7 s after the signal was cut when the host ended.
    assert not accepts_stream(4_700.0, LIMIT_MS, stream_ms(100))
    assert accepts_call(4_700.0, LIMIT_MS)


def test_nothing_is_taken_shortly_before_the_end():
    assert not accepts_call(7_000.0, LIMIT_MS)


def play_stop(is_taken, seed):
    """Return how many streams of a stopping host end whole, of how many.

    Load: 3.4 write-ups a second on eight hosts for the 2 s in which the balancer
    still sends to the host. A refused caller is served by a host that stays.
    """
    rng = random.Random(seed)
    whole = count = 0
    now_ms = 0.0
    while (now_ms := now_ms + rng.expovariate(3.4 / 8 / 1_000.0)) < 2_000.0:
        tokens = rng.randint(190, 1_300)
        guess = tokens * rng.choice([0.6, 0.9, 1.0, 1.1, 1.6])
        count += 1
        if is_taken(now_ms, int(guess)):
            whole += now_ms + FIRST_MS + tokens * STEP_MS <= LIMIT_MS
        else:
            whole += 1
    return whole, count


def test_callers_of_a_stopping_host_get_whole_answers():
    def take_all_early(now_ms, _guess):
        return now_ms <= LAST_STREAM_MS

    def take_what_ends(now_ms, guess):
        return accepts_stream(now_ms, LIMIT_MS, stream_ms(guess))

    before = [play_stop(take_all_early, seed) for seed in range(200)]
    after = [play_stop(take_what_ends, seed) for seed in range(200)]
    count = sum(count for _, count in after)
    assert sum(whole for whole, _ in after) >= 0.95 * count
    assert sum(whole for whole, _ in before) < 0.8 * count
