"""Load of a server: runs of this host, copies, and the reports of peers."""

from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import PEER_LOAD_LIFETIME_MS
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.ledger import ServerLoad


def test_the_load_is_the_sum_of_own_runs_and_peers_reports():
    ledger = Ledger()
    run = Run("e1", 1_000, 500)
    ledger.begin(run)
    ledger.update_peer_loads("host-2", {"e1": ServerLoad(2, 5_000, 100)}, 0.0)
    load = ledger.load("e1", 10.0)
    assert load.run_count == 3
    assert load.waiting_prompt_tokens == 1_100
    assert load.committed_tokens == 5_000 + run.planned_tokens


def test_reports_of_an_unresponsive_peer_expire():
    ledger = Ledger()
    ledger.update_peer_loads("host-2", {"e1": ServerLoad(2, 5_000, 100)}, 0.0)
    assert ledger.load("e1", PEER_LOAD_LIFETIME_MS + 1.0) == ServerLoad()


def test_ending_a_run_twice_counts_once():
    ledger = Ledger()
    run = Run("e1", 10, 10)
    changes = []
    ledger.on_change(lambda: changes.append(1))
    ledger.begin(run)
    ledger.end(run)
    ledger.end(run)
    assert ledger.own_loads() == {}
    assert len(changes) == 2


def test_a_copy_takes_memory_and_no_slot():
    ledger = Ledger()
    ledger.begin(Run("e1", 1_000, 500, is_copy=True))
    load = ledger.own_load("e1")
    assert (load.run_count, load.waiting_prompt_tokens) == (0, 0)
    assert load.committed_tokens > 1_000
