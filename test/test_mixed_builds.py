"""Tests of fleets in which nodes of an older build run beside new ones."""

import pytest
from _common import ROOT
from _mixed_builds import MissingCommitError, MixedFleet, extract_build

from amaranthlug_platform_standins.soak_callers import find_violations

FORMER_BUILD = "c1e7324"
"""The build before store readers, whose relays all read the store."""
MIN_SERVED_SHARE = 0.99
"""Least share of requests served while nodes are replaced one by one."""
REPLACED = 4
"""Nodes replaced in a test; two keep the first build."""


@pytest.fixture(scope="module")
def former_build(tmp_path_factory):
    """The sources of the former build."""
    return extract_build(FORMER_BUILD, tmp_path_factory.mktemp("former"))


def check_replacement(folder, first, second):
    """Replaces nodes one by one under load and checks all promises."""
    mixed = MixedFleet(folder, first)
    try:
        mixed.wait_ready()
        mixed.begin_load()
        for number in range(REPLACED):
            mixed.replace(number, second)
        mixed.end_load()
        assert find_violations(mixed.fleet, mixed.callers) == []
        assert len(mixed.callers.calls) > 100
        assert mixed.served_share() >= MIN_SERVED_SHARE
        return mixed.log_text()
    finally:
        mixed.fleet.stop()


def test_new_nodes_replace_old_ones_under_load(tmp_path, former_build):
    """Relays of the old build answer the request for topics with 404."""
    check_replacement(tmp_path, former_build, ROOT)


def test_old_nodes_replace_new_ones_under_load(tmp_path, former_build):
    """Operators go back when an upgrade is bad."""
    log = check_replacement(tmp_path, ROOT, former_build)
    assert '"event":"reader"' in log


def test_missing_history_is_an_error_with_the_remedy(tmp_path):
    """It is not a reason to skip a test."""
    with pytest.raises(MissingCommitError, match="whole history"):
        extract_build("0" * 40, tmp_path)
