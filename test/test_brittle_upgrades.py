"""Tests of brittle servers while the nodes of a fleet run two builds."""

import pytest
from _brittle_builds import BrittleBuilds
from _common import ROOT
from _mixed_builds import extract_build
from _server_load import falls, send_evenly

FORMER_BUILD = "884a31c"
"""The last build whose nodes ask nobody before they send to brittle servers."""
NODES = 8
SERVERS = 9
SLOTS = 4
REQUEST_S = 0.4
MAX_REFUSALS = 4
ALLOWED_FALLS = 2 + SERVERS // 10
LOAD = 1.5
LOAD_S = 10.0


@pytest.fixture(scope="module")
def former_build(tmp_path_factory):
    """The sources of the former build."""
    return extract_build(FORMER_BUILD, tmp_path_factory.mktemp("former"))


def falls_under_load(folder, builds) -> int:
    """Returns the falls of servers under more load than they can run."""
    mixed = BrittleBuilds(folder, builds, SERVERS, SLOTS, REQUEST_S)
    try:
        mixed.say_brittle(MAX_REFUSALS)
        send_evenly(mixed, LOAD * SERVERS * SLOTS / REQUEST_S, LOAD_S)
        return falls(mixed)
    finally:
        mixed.fleet.stop()


@pytest.mark.processes
def test_brittle_servers_fall_over_under_the_former_build(
    tmp_path, former_build
):
    """Else the next tests would show nothing."""
    builds = [former_build] * NODES
    assert falls_under_load(tmp_path, builds) > ALLOWED_FALLS


# Guards against falls of brittle servers in a fleet that is upgraded: requests
# of nodes of the former build come on top of those that owners have granted.
@pytest.mark.processes
@pytest.mark.parametrize("former", [0, 1, 2])
def test_brittle_servers_bear_some_nodes_of_the_former_build(
    tmp_path, former_build, former
):
    """Two and a tenth of the servers may fall over."""
    builds = [former_build] * former + [ROOT] * (NODES - former)
    assert falls_under_load(tmp_path, builds) <= ALLOWED_FALLS
