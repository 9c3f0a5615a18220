"""Guards each node's share of the fleet's retry budget; no network."""

import pytest

from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.stream_exchange import FAILURE_RESERVE
from amaranthlug.routed_node import RETRY_BUDGET_USAGE, retry_burst
from amaranthlug.state.routing.settings import RoutingBounds

LARGE_FLEET = RoutingBounds(retry_share=0.9, retry_allowance=220.0)
"""Limits of a deployment of 90 nodes."""


def test_new_node_in_a_large_fleet_may_escalate():
    """A node that just started may escalate to a larger model at once."""
    budget = RetryBudget(
        share=LARGE_FLEET.retry_share * RETRY_BUDGET_USAGE,
        burst=retry_burst(LARGE_FLEET, nodes=90, in_window=0),
    )
    budget.record_first_attempt("pool")
    assert budget.can_spend("pool", FAILURE_RESERVE)


@pytest.mark.parametrize("requests", [1, 2, 3, 5, 10, 50, 500])
def test_all_nodes_together_stay_within_the_budget(requests):
    """The budget holds even if each node spends its savings in one window."""
    nodes = 90
    saved = retry_burst(LARGE_FLEET, nodes, in_window=0)
    earned = LARGE_FLEET.retry_share * RETRY_BUDGET_USAGE * requests
    allowed = (
        LARGE_FLEET.retry_share * requests * nodes + LARGE_FLEET.retry_allowance
    )
    assert nodes * (saved + earned) <= allowed


def test_saved_retries_grow_with_own_requests():
    """A node with more requests may save more retries."""
    assert retry_burst(LARGE_FLEET, 90, 100) > retry_burst(LARGE_FLEET, 90, 10)
