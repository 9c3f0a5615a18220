"""Tests the detection of reverted and late configuration revisions."""

import dataclasses

import gevent

from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.config_watch import (
    RevisionWatcher,
    count_nodes_behind,
)
from amaranthlug_standins.counts import Counts


@dataclasses.dataclass
class FakeNode:
    """A node that reports given revisions in turn and repeats the last one."""

    address: str
    revisions: list[int | None]

    def status(self):
        """Returns the next status, None for an unreachable node."""
        revision = self.revisions[0]
        if len(self.revisions) > 1:
            self.revisions.pop(0)
        return None if revision is None else {"revision": revision}


def test_decrease_of_a_revision_is_counted():
    """A decrease must be found even if the poll before it failed."""
    reverting = FakeNode("a", [4, 9, None, 4, 9])
    rising = FakeNode("b", [4, 4, 9])
    watcher = RevisionWatcher([reverting, rising])
    for _ in range(5):
        watcher.poll()
    assert watcher.revert_count == 1
    counts = Counts("t", 1, config_reverted=watcher.revert_count)
    assert counts.broken() == ["config_reverted"] and counts.exit_code() == 1


def test_running_watcher_finds_a_decrease():
    """A watcher that polls only once would miss later decreases."""
    watcher = RevisionWatcher([FakeNode("a", [4, 2])])
    running = gevent.spawn(watcher.run)
    gevent.sleep(0.35)
    running.kill()
    assert watcher.revert_count == 1


def test_nodes_without_the_revision_are_counted():
    """Nodes that are behind, ahead by a rejected record or silent count."""
    nodes = [
        FakeNode("right", [7]),
        FakeNode("late", [4, 7]),
        FakeNode("behind", [4]),
        FakeNode("ahead", [8]),
        FakeNode("silent", [None]),
    ]
    behind = count_nodes_behind(nodes, 7, 0.3)
    assert behind == 3
    counts = Counts("t", 1, config_not_in_force=behind)
    assert counts.broken() == ["config_not_in_force"]
    assert count_nodes_behind(nodes[:2], 7, 0.3) == 0


def test_accepted_publications_need_the_current_base():
    """Otherwise a check would wait for a rejected publication."""
    bases = {0: -1, 1: 0, 2: 0, 3: 1}
    records = [
        {"type": "publication", "offset": offset, "base": base, "operator": ""}
        for offset, base in bases.items()
    ]
    offsets = [revision.offset for revision in accepted_revisions(records)]
    assert offsets == [0, 1, 3]


def test_missed_requirement_fails_the_scenario():
    """A scenario that misses its own requirement must not exit with 0."""
    counts = Counts("t", 1)
    counts.require(True, "never")
    assert counts.exit_code() == 0
    counts.require(False, "too many crashes")
    assert counts.broken() == ["too many crashes"] and counts.exit_code() == 1
