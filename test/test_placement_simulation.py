"""Placement and ranks in the off-line simulation; no network."""

import pytest
from click.testing import CliRunner

from amaranthlug_standins.simulation.run import Deployment, Simulation
from amaranthlug_ui.main import main

USUAL = Deployment(rate=80.0, seconds=30.0)
"""Engines that read prompts three quarters of the time."""
OVERLOAD = Deployment(engines=5, rate=57.0, seconds=30.0)
"""Engines that read prompts nearly all of the time."""


def summary(deployment: Deployment, chooser: str):
    """Returns how the requests of a deployment fared."""
    return Simulation(deployment, chooser, seed=1).run()


@pytest.mark.parametrize("chooser", ["random", "least-loaded", "unranked"])
def test_usual_load_is_served_in_time_more_often_than_by(chooser):
    """The product serves more in time than each baseline."""
    assert summary(USUAL, "product").in_aim > summary(USUAL, chooser).in_aim


def test_overload_reaches_few_short_prompts():
    """Ranks keep nine of ten in time, a fifth more than reading in turn."""
    ranked = summary(OVERLOAD, "product").in_aim
    assert ranked >= 0.9
    assert ranked > summary(OVERLOAD, "unranked").in_aim + 0.2


def test_nobody_starves_in_overload():
    """Every prompt is read before its caller leaves, the longest too."""
    run = Simulation(OVERLOAD, "product", seed=1)
    run.run()
    longest = max(asked.first_ms for asked in run.requests)
    assert longest < 20_000


def test_quarter_of_the_engines_slow():
    """Engines that read at a fifth of the pace get less to read."""
    slow = Deployment(engines=12, rate=60.0, seconds=30.0, slow_share=0.25)
    assert (
        summary(slow, "product").in_aim > summary(slow, "random").in_aim + 0.1
    )


def test_command_compares_ways_to_choose():
    """`amaranthlug experiment simulate` prints a line for each way."""
    arguments = "experiment simulate --seconds 2 --choice product"
    result = CliRunner().invoke(main, arguments.split())
    assert result.exit_code == 0
    assert result.output.startswith("product")
    assert "in aim" in result.output


def test_command_names_the_ways_there_are():
    """An unknown way is answered by the known ones."""
    arguments = "experiment simulate --choice best"
    result = CliRunner().invoke(main, arguments.split())
    assert result.exit_code == 1
    assert "least-loaded" in result.output
