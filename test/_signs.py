"""A directory of node addresses with a fake clock and fake other nodes."""

import random

from _fakes_log import FakeMetrics
from _routing import FakeClock, make_node_entry

from amaranthlug.coordination.routing.entry_directory import (
    EntryDirectory,
    LifeAnswer,
)
from amaranthlug.coordination.routing.node_signs import NodeSigns


class FakeNodes:
    """Other nodes that are asked for signs of life.

    Attributes:
        answers: Node -> its answer, None for one of an earlier build, or the
            error that it causes.
        asked: Names of the nodes in the order in which they were asked.
    """

    def __init__(self, entries):
        """Creates nodes that all serve."""
        self.names = {entry.peer_address: entry.node for entry in entries}
        self.answers = {e.node: LifeAnswer(e.node, True) for e in entries}
        self.asked = []

    def ask_life(self, address, request, timeout_s):
        """Returns the answer of a node or raises its error."""
        node = self.names[address]
        self.asked.append(node)
        answer = self.answers[node]
        if isinstance(answer, Exception):
            raise answer
        return answer


class DirectoryCase:
    """The directory of `n0` in a zone of `count` nodes."""

    def __init__(self, count=3):
        """Creates it without any sign of life."""
        self.clock = FakeClock()
        self.entries = [make_node_entry(f"n{i}") for i in range(count)]
        self.listed = list(self.entries)
        self.signs = NodeSigns(self.clock)
        self.others = FakeNodes(self.entries)
        self.confirmed = True
        self.directory = EntryDirectory(
            "n0",
            lambda: self.listed,
            self.signs,
            self.others,
            lambda: self.confirmed,
            FakeMetrics(),
            random.Random(1),
            self.clock,
        )

    def hear_all(self):
        """Records a sign of each other node."""
        for entry in self.entries[1:]:
            self.signs.record(entry.node, self.clock())

    def named(self):
        """Returns the names of the nodes in an answer to a caller."""
        addresses = self.directory.addresses("zone-a", "region")
        return sorted(address.partition(":")[0] for address in addresses)
