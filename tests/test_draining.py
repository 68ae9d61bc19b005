from gypsumfield.decisions.draining import ANY_CALL_MS
from gypsumfield.decisions.draining import CallLength
from gypsumfield.decisions.draining import takes_call

LIMIT_MS = 8_000.0


def test_a_host_that_does_not_drain_takes_everything():
    assert takes_call(None, LIMIT_MS, CallLength.UNKNOWN)


def test_calls_on_their_way_at_the_signal_are_taken():
    assert takes_call(ANY_CALL_MS, LIMIT_MS, CallLength.UNKNOWN)


def test_a_long_call_that_would_be_cut_is_not_taken():
    # Hunt on quinonez-coco, mix --seed 1057573640342: a write-up that came on a
    # kept connection 4.7 s after the signal was cut when the host ended.
    assert not takes_call(4_700.0, LIMIT_MS, CallLength.UNKNOWN)
    assert takes_call(4_700.0, LIMIT_MS, CallLength.SHORT)


def test_nothing_is_taken_shortly_before_the_end():
    assert not takes_call(7_000.0, LIMIT_MS, CallLength.SHORT)
