"""Tests placement and urgency ranks in the offline simulation."""

import pytest
from click.testing import CliRunner

from amaranthlug_standins.simulation.run import Deployment, Simulation
from amaranthlug_ui.main import main

NORMAL_LOAD = Deployment(rate=80.0, seconds=30.0)
"""Engines spend three quarters of the time on prompts."""
OVERLOAD = Deployment(engines=5, rate=57.0, seconds=30.0)
"""Engines spend nearly all of the time on prompts."""


def simulate(deployment: Deployment, chooser: str):
    """Returns the summary of a run."""
    return Simulation(deployment, chooser, seed=1).run()


@pytest.mark.parametrize("chooser", ["random", "least-loaded", "unranked"])
def test_product_meets_more_objectives_than_baseline(chooser):
    """The product answers more requests on time than each baseline."""
    assert (
        simulate(NORMAL_LOAD, "product").in_aim
        > simulate(NORMAL_LOAD, chooser).in_aim
    )


def test_ranks_keep_most_prompts_on_time_in_overload():
    """Ranks keep 90% on time, at least 20 points more than without ranks."""
    ranked = simulate(OVERLOAD, "product").in_aim
    assert ranked >= 0.9
    assert ranked > simulate(OVERLOAD, "unranked").in_aim + 0.2


def test_no_prompt_starves_in_overload():
    """Every request gets its first event within the 20 s deadline."""
    simulation = Simulation(OVERLOAD, "product", seed=1)
    simulation.run()
    longest_ms = max(request.first_ms for request in simulation.requests)
    assert longest_ms < 20_000


def test_product_beats_random_choice_with_slow_engines():
    """Placement sends fewer prompts to the slow quarter of the engines."""
    slow = Deployment(engines=12, rate=60.0, seconds=30.0, slow_share=0.25)
    assert (
        simulate(slow, "product").in_aim > simulate(slow, "random").in_aim + 0.1
    )


def test_command_prints_summary_per_chooser():
    """`amaranthlug experiment simulate` prints a line for each chooser."""
    arguments = "experiment simulate --seconds 2 --choice product"
    result = CliRunner().invoke(main, arguments.split())
    assert result.exit_code == 0
    assert result.output.startswith("product")
    assert "in aim" in result.output


def test_command_lists_choosers_for_an_unknown_one():
    """The error for an unknown chooser lists the known ones."""
    arguments = "experiment simulate --choice best"
    result = CliRunner().invoke(main, arguments.split())
    assert result.exit_code == 1
    assert "least-loaded" in result.output
