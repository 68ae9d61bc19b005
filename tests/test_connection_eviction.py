"""Which connection of a caller is closed first, and how many may be open."""

from gypsumfield.decisions.connection_eviction import connection_limit
from gypsumfield.decisions.connection_eviction import ConnectionPhase
from gypsumfield.decisions.connection_eviction import ConnectionState
from gypsumfield.decisions.connection_eviction import MIN_CONNECTIONS
from gypsumfield.decisions.connection_eviction import select_eviction


def state(phase, since_ms):
    return ConnectionState(phase, since_ms)


IDLE, RECEIVING, SERVING = ConnectionPhase


def test_the_longest_idle_connection_goes_before_any_that_sends():
    connections = {
        "sends since long": state(RECEIVING, 0.0),
        "idle": state(IDLE, 50.0),
        "idle for longer": state(IDLE, 40.0),
        "serves": state(SERVING, 0.0),
    }
    assert select_eviction(connections.items()) == "idle for longer"


def test_without_idle_connections_the_one_that_sends_longest_goes():
    connections = {"b": state(RECEIVING, 9.0), "a": state(RECEIVING, 3.0)}
    assert select_eviction(connections.items()) == "a"


# Guards against a request that has run and whose answer its caller never gets.
def test_a_connection_whose_request_is_served_is_never_closed():
    assert select_eviction({"a": state(SERVING, 0.0)}.items()) is None
    assert select_eviction([]) is None


def test_a_crowd_that_sends_nothing_takes_no_connection_of_a_served_request():
    connections = {f"served {n}": state(SERVING, n) for n in range(20)}
    connections |= {f"silent {n}": state(RECEIVING, n) for n in range(80)}
    for arrival in range(1_000):
        connections.pop(select_eviction(connections.items()))
        connections[f"new {arrival}"] = state(RECEIVING, 100 + arrival)
    assert sum(name.startswith("served") for name in connections) == 20


def test_the_limit_follows_the_scarcer_of_descriptors_and_memory():
    assert connection_limit(4_100, 128) < connection_limit(4_100, 552)
    assert connection_limit(360, 552) == 80
    assert connection_limit(200, 128) == MIN_CONNECTIONS
    # A caller of a small host keeps several connections, as do load balancers.
    assert connection_limit(4_100, 128) >= 400
