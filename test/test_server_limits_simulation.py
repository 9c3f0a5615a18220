"""Simulates servers that limit what they take, without network."""

import dataclasses

import pytest

from amaranthlug_standins.simulation.server_limits import (
    LimitScenario,
    LimitSimulation,
)

BRITTLE = LimitScenario(slots=4, request_s=0.4, notice_s=3.0)
"""Eight nodes and nine brittle servers, 90 requests a second fit."""
ALLOWED_FALLS = 2 + BRITTLE.servers // 10
LOAD = 1.5
LOAD_S = 20.0


def play(load: float = LOAD, **changes) -> LimitSimulation:
    """Returns a simulation after its load."""
    scenario = dataclasses.replace(BRITTLE, **changes)
    simulation = LimitSimulation(scenario)
    simulation.play(load * scenario.fits_per_s, LOAD_S)
    return simulation


# Guards against falls of brittle servers while a fleet is upgraded: nodes of an
# earlier build ask nobody, and their requests come on top of what is granted.
@pytest.mark.parametrize(
    ("unaware", "load"), [(1, 1.5), (2, 1.0), (2, 1.5), (4, 0.8)]
)
def test_brittle_servers_bear_nodes_that_do_not_ask(unaware, load):
    """Load beyond the slots, part of it from nodes of another build."""
    simulation = play(load, unaware=unaware)
    assert simulation.falls <= ALLOWED_FALLS
    assert simulation.served >= 0.5 * BRITTLE.fits_per_s * LOAD_S


# Guards against capacity left unused where servers run fewer requests than
# they state: refusals stopped all requests again and again.
@pytest.mark.parametrize("max_refusals", [1, 4])
def test_capacity_is_found_where_stated_slots_are_wrong(max_refusals):
    """Servers that state twice their slots are used as well as others."""
    sound = play(max_refusals=max_refusals)
    wrong = play(max_refusals=max_refusals, stated_slots=8)
    assert wrong.falls <= ALLOWED_FALLS
    assert wrong.served >= 0.95 * sound.served
