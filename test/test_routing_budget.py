"""Parts of the fleet's retry budget that nodes take; no network."""

import pytest

from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.stream_exchange import FAILURE_RESERVE
from amaranthlug.routed_node import RETRY_BUDGET_USAGE, retry_burst
from amaranthlug.state.routing.settings import RoutingBounds

GROWN = RoutingBounds(retry_share=0.9, retry_allowance=220.0)
"""Bounds of a fleet of 90 nodes."""


def test_first_weak_answer_of_a_node_in_a_large_fleet():
    """A node that just started may ask the larger model at once."""
    budget = RetryBudget(
        share=GROWN.retry_share * RETRY_BUDGET_USAGE,
        burst=retry_burst(GROWN, nodes=90, in_window=0),
    )
    budget.record_first_attempt("pool")
    assert budget.can_spend("pool", FAILURE_RESERVE)


@pytest.mark.parametrize("requests", [1, 2, 3, 5, 10, 50, 500])
def test_all_nodes_together_stay_within_the_budget(requests):
    """Even if every node spends all it has saved in one window."""
    nodes = 90
    saved = retry_burst(GROWN, nodes, in_window=0)
    earned = GROWN.retry_share * RETRY_BUDGET_USAGE * requests
    allowed = GROWN.retry_share * requests * nodes + GROWN.retry_allowance
    assert nodes * (saved + earned) <= allowed


def test_saved_repeats_follow_own_requests():
    """A node with more requests may save up more."""
    assert retry_burst(GROWN, 90, 100) > retry_burst(GROWN, 90, 10)
