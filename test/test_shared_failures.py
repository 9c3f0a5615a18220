"""Tests that failures shared by all versions do not withdraw any of them."""

from _policy import Policy, catalog_of, version_id

from amaranthlug.state.evidence import Cell


def add_outcomes(policy, name, complete, failed):
    """Adds outcomes of a version on four servers."""
    for number in range(4):
        for server in ("", f"server-{number}"):
            cell = Cell(str(version_id(name)), "log", False, server)
            amount = {"complete": complete, "errors": failed}
            policy.evidence.count(cell, **amount)


def test_failures_of_all_versions_withdraw_none():
    """A network fault would take every version out of service."""
    policy = Policy(catalog_of({"cheap": 10, "mid": 50, "best": 100}))
    for name in ("cheap", "mid", "best"):
        add_outcomes(policy, name, 40, 0)
    policy.watch.check()
    for _ in range(5):
        for name in ("cheap", "mid", "best"):
            add_outcomes(policy, name, 2, 3)
        policy.watch.check()
    assert policy.view.withdrawn == set()


def test_failures_of_one_version_withdraw_it():
    """The shared failure rate would hide one failing version."""
    policy = Policy(catalog_of({"cheap": 10, "mid": 50, "best": 100}))
    for name in ("cheap", "mid", "best"):
        add_outcomes(policy, name, 40, 0)
    policy.watch.check()
    for _ in range(5):
        add_outcomes(policy, "cheap", 2, 3)
        add_outcomes(policy, "mid", 5, 0)
        add_outcomes(policy, "best", 5, 0)
        policy.watch.check()
    assert policy.view.withdrawn == {version_id("cheap")}
