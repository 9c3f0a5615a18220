"""Tests the fleet, above all that no child process outlives it."""

import sys

import pytest
from click.testing import CliRunner

from amaranthlug_standins.children import ChildError
from amaranthlug_standins.deployments import hengyun, sample_deployments
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_ui.experiment import MISSING_PACKAGE_MESSAGE, experiment


def test_samples_have_true_qualities_and_mixes():
    """A version without a quality would silently get the default one."""
    for deployment in sample_deployments():
        versions = {str(version) for version in deployment.catalog.versions}
        assert versions == set(deployment.qualities)
        mix = sample_mix(deployment, 1.0, 1.0)
        assert set(mix.kinds) == set(deployment.catalog.kinds)
        routes = deployment.catalog.services
        assert {call.service for call in mix.services} == set(routes)


def test_every_sample_target_is_reachable():
    """No router could meet a target above the best quality."""
    for deployment in sample_deployments():
        best = max(quality.hard for quality in deployment.qualities.values())
        for kind in deployment.catalog.kinds.values():
            assert kind.quality_target < best


def test_fleet_in_one_process_publishes_started_addresses():
    """Requests to an address that stays a placeholder would fail."""
    with Fleet(hengyun(), FleetOptions(processes=False)) as fleet:
        fleet.start(with_nodes=False)
        [record] = fleet.records()
        pools = [
            record["parts"][f"pools/{name}"]
            for name in ("drafting", "traffic-desk")
        ]
        published = {
            upstream["address"]
            for pool in pools
            for upstream in pool["upstreams"]
        }
        started = {part.address for part in fleet.engines + fleet.services}
        assert published == started and len(started) == 13


@pytest.mark.processes
def test_fleet_of_processes_ends_all_children():
    """A remaining child would use ports and CPU time of later tests."""
    fleet = Fleet(hengyun(), FleetOptions())
    fleet.start(with_nodes=False)
    children = list(fleet.children)
    assert len(children) == 17
    assert all(child.running() for child in children)
    fleet.engines[0].fault(slow=2)
    assert fleet.engines[0].seen()["runs"] == []
    fleet.stop()
    assert not any(child.running() for child in children)


@pytest.mark.processes
def test_fleet_ends_its_children_when_a_start_fails(monkeypatch):
    """Children of failed starts would accumulate over test runs."""
    fleet = Fleet(hengyun(), FleetOptions())
    children = fleet.children
    seen = []

    def fail():
        seen.extend(children)
        raise ChildError("no")

    monkeypatch.setattr(fleet, "register_upstreams", fail)
    with pytest.raises(ChildError):
        fleet.start(with_nodes=False)
    assert len(seen) == 17
    assert not any(child.running() for child in seen)


def test_experiment_lists_and_refuses_unknown_names():
    """The answer to an unknown name must list the known ones."""
    runner = CliRunner()
    listed = runner.invoke(experiment, ["list"])
    assert "steady" in listed.output and "config-race" in listed.output
    unknown = runner.invoke(experiment, ["run", "nothing"])
    assert unknown.exit_code == 1 and "steady" in unknown.output


def test_experiment_without_standins_says_what_to_install(monkeypatch):
    """Operators without the package need to know which one to install."""
    monkeypatch.setitem(sys.modules, "amaranthlug_standins.experiments", None)
    result = CliRunner().invoke(experiment, ["list"])
    assert result.exit_code == 1 and MISSING_PACKAGE_MESSAGE in result.output


def test_fleets_have_different_peer_keys():
    """With a shared key, fleets merged when one reused a port of the other."""
    first, second = (Fleet(hengyun(), FleetOptions()) for _ in range(2))
    assert first.peer_keys != second.peer_keys
