"""Guards versions against withdrawal for the failures of their servers."""

from _policy import Policy, catalog_of, version_id

from amaranthlug.state.evidence import Cell


def fail(policy, name, complete, failed):
    """Counts outcomes of a version at four servers."""
    for number in range(4):
        for server in ("", f"server-{number}"):
            cell = Cell(str(version_id(name)), "log", False, server)
            amount = {"complete": complete, "errors": failed}
            policy.evidence.count(cell, **amount)


def test_failures_of_all_versions_withdraw_none():
    """A network fault that takes every version out of service."""
    policy = Policy(catalog_of({"cheap": 10, "mid": 50, "best": 100}))
    for name in ("cheap", "mid", "best"):
        fail(policy, name, 40, 0)
    policy.watch.check()
    for _ in range(5):
        for name in ("cheap", "mid", "best"):
            fail(policy, name, 2, 3)
        policy.watch.check()
    assert policy.view.withdrawn == set()


def test_failures_of_one_version_withdraw_it():
    """A shared reference that hides a version which fails alone."""
    policy = Policy(catalog_of({"cheap": 10, "mid": 50, "best": 100}))
    for name in ("cheap", "mid", "best"):
        fail(policy, name, 40, 0)
    policy.watch.check()
    for _ in range(5):
        fail(policy, "cheap", 2, 3)
        fail(policy, "mid", 5, 0)
        fail(policy, "best", 5, 0)
        policy.watch.check()
    assert policy.view.withdrawn == {version_id("cheap")}
