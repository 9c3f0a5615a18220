"""Guards the watch over configurations: a blind one hides broken promises."""

import dataclasses

import gevent

from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.config_watch import (
    RevisionWatcher,
    count_nodes_behind,
)
from amaranthlug_standins.counts import Counts


@dataclasses.dataclass
class PlantedNode:
    """A node that shows planted revisions, the last one for good."""

    address: str
    revisions: list[int | None]

    def status(self):
        """Returns the next planted status."""
        first = self.revisions[0]
        if len(self.revisions) > 1:
            self.revisions.pop(0)
        return None if first is None else {"revision": first}


def test_a_planted_fall_of_a_revision_is_found():
    """A node that reverts between two looks of a watch is the worst case."""
    falling = PlantedNode("a", [4, 9, None, 4, 9])
    rising = PlantedNode("b", [4, 4, 9])
    watch = RevisionWatcher([falling, rising])
    for _ in range(5):
        watch.look()
    assert watch.revert_count == 1
    counts = Counts("t", 1, config_reverted=watch.revert_count)
    assert counts.broken() == ["config_reverted"] and counts.exit_code() == 1


def test_a_running_watch_finds_a_fall():
    """A watch that looks once would miss all later falls."""
    watch = RevisionWatcher([PlantedNode("a", [4, 2])])
    running = gevent.spawn(watch.run)
    gevent.sleep(0.35)
    running.kill()
    assert watch.revert_count == 1


def test_a_planted_node_without_the_revision_is_found():
    """Nodes behind, ahead by a rejected record or silent are not in force."""
    nodes = [
        PlantedNode("right", [7]),
        PlantedNode("late", [4, 7]),
        PlantedNode("behind", [4]),
        PlantedNode("ahead", [8]),
        PlantedNode("silent", [None]),
    ]
    behind = count_nodes_behind(nodes, 7, 0.3)
    assert behind == 3
    counts = Counts("t", 1, config_not_in_force=behind)
    assert counts.broken() == ["config_not_in_force"]
    assert count_nodes_behind(nodes[:2], 7, 0.3) == 0


def test_accepted_publications_follow_the_rule_of_the_log():
    """A watch with another rule would wait for a rejected publication."""
    bases = {0: -1, 1: 0, 2: 0, 3: 1}
    records = [
        {"type": "publication", "offset": offset, "base": base, "operator": ""}
        for offset, base in bases.items()
    ]
    found = [item.offset for item in accepted_revisions(records)]
    assert found == [0, 1, 3]


def test_a_missed_bound_of_a_scenario_fails_it():
    """A scenario that misses its own bound must not exit with 0."""
    counts = Counts("t", 1)
    counts.require(True, "never")
    assert counts.exit_code() == 0
    counts.require(False, "too many crashes")
    assert counts.broken() == ["too many crashes"] and counts.exit_code() == 1
