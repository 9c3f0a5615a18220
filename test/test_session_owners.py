"""Tests of the owners of sessions; no network."""

import pytest
from _fakes_log import FakeMetrics
from _routing import FakeClock, make_node_entry

from amaranthlug.coordination.routing.session_owners import (
    AVOID_S,
    SessionOwners,
)
from amaranthlug.state.routing.session_claims import (
    CLAIM_TTL_S,
    MAX_CLAIMS,
    SessionClaim,
    SessionRegister,
)
from amaranthlug.transport.routing.peer_http import (
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_NODES,
    HttpPeers,
)


class OwnerFleet:
    """Nodes that send each other claims in this process."""

    def __init__(self, count):
        """Starts `count` nodes that know each other."""
        self.clock = FakeClock()
        self.parts = {}
        self.lost = set()
        self.messages = 0
        for number in range(count):
            self.add(f"n{number}")

    def add(self, name):
        """Starts a node with an empty register."""
        self.parts[name] = SessionOwners(
            name, self.entries, self, FakeMetrics(), self.clock
        )

    def entries(self):
        """Returns the nodes that are listed."""
        return [make_node_entry(name) for name in self.parts]

    def claim(self, address, request, timeout_s):
        """Passes a claim on, unless its receiver is lost."""
        self.messages += 1
        name = address.partition(":")[0]
        if name in self.lost:
            raise TimeoutError("no answer")
        return self.parts[name].answer(request)

    def settle(self, node, session, on_target):
        """Settles a session at a node."""
        return self.parts[node].settle(
            SessionClaim("pool|v2|5", session, on_target)
        )

    def owner_of(self, session):
        """Returns the name of a session's owner."""
        return next(iter(self.parts.values())).ranked_nodes(session)[0].node


@pytest.fixture
def fleet():
    """Returns eight nodes."""
    return OwnerFleet(8)


@pytest.mark.parametrize("on_target", [False, True])
def test_first_claim_counts_at_every_node(fleet, on_target):
    """A session that goes from node to node keeps its first version."""
    for number in range(50):
        session = f"s{number}"
        assert fleet.settle("n0", session, on_target) is on_target
        for node in fleet.parts:
            assert fleet.settle(node, session, not on_target) is on_target


def test_version_outlives_the_owner(fleet):
    """An owner that crashes or leaves has left a copy."""
    fleet.settle("n0", "s", False)
    owner = fleet.owner_of("s")
    fleet.lost.add(owner)
    others = [name for name in fleet.parts if name != owner]
    assert not any(fleet.settle(name, "s", True) for name in others)
    del fleet.parts[owner]
    assert not any(fleet.settle(name, "s", True) for name in others)


def test_copy_of_a_long_session_does_not_expire(fleet):
    """The owner renews it while the session is in use."""
    owner = fleet.owner_of("s")
    for _ in range(8):
        assert not fleet.settle(owner, "s", False)
        fleet.clock.advance(CLAIM_TTL_S / 4)
    fleet.lost.add(owner)
    other = next(name for name in fleet.parts if name != owner)
    assert not fleet.settle(other, "s", True)


def test_lost_copy_is_sent_again(fleet):
    """The next claim must bring the copy that a lost message did not."""
    owner, holder, _ = (e.node for e in fleet.parts["n0"].ranked_nodes("s"))
    fleet.lost.add(holder)
    assert not fleet.settle(owner, "s", False)
    fleet.lost.clear()
    fleet.clock.advance(AVOID_S + 0.1)
    assert not fleet.settle(owner, "s", False)
    fleet.lost.add(owner)
    other = next(n for n in fleet.parts if n not in (owner, holder))
    assert not fleet.settle(other, "s", True)


# Guards against sessions that lose their version when first the holder of the
# copy leaves and then the owner, with claims in between.
def test_next_holder_gets_a_copy_with_the_next_claim(fleet):
    """A holder that left cannot be the one that has the copy."""
    owner, holder, _ = (e.node for e in fleet.parts["n0"].ranked_nodes("s"))
    assert not fleet.settle(owner, "s", False)
    del fleet.parts[holder]
    assert not fleet.settle(owner, "s", False)
    fleet.lost.add(owner)
    other = next(n for n in fleet.parts if n not in (owner, holder))
    assert not fleet.settle(other, "s", True)


def test_version_is_known_to_an_owner_that_joins(fleet):
    """Added nodes take over sessions whose version they must not change."""
    sessions = [f"s{number}" for number in range(100)]
    for session in sessions:
        fleet.settle("n0", session, False)
    former = list(fleet.parts.values())
    for owners in former:
        owners.hand_over()
    for number in range(8):
        fleet.add(f"new{number}")
    assert any(fleet.owner_of(s).startswith("new") for s in sessions)
    for owners in former:
        owners.hand_over()
    for session in sessions:
        assert not fleet.settle("n1", session, True)


def test_hand_over_needs_no_message_while_no_node_joins(fleet):
    """It runs several times a second."""
    for number in range(100):
        fleet.settle("n0", f"s{number}", False)
    for _ in range(2):
        fleet.messages = 0
        for owners in fleet.parts.values():
            owners.hand_over()
    assert fleet.messages == 0


def test_restarted_owner_asks_for_its_copy(fleet):
    """An owner that restarted under its name has forgotten its sessions."""
    fleet.settle("n0", "s", False)
    fleet.add(fleet.owner_of("s"))
    assert not fleet.settle("n1", "s", True)


def test_session_uses_the_old_version_if_no_owner_answers(fleet):
    """Most sessions are on it; the next claim does not wait again."""
    ranked = [e.node for e in fleet.parts["n0"].ranked_nodes("s")]
    node = next(name for name in fleet.parts if name not in ranked)
    fleet.lost.update(ranked)
    assert fleet.settle(node, "s", True) is False
    assert fleet.parts[node].metrics.counts == {"session_claims.unanswered": 1}
    sent = fleet.messages
    assert fleet.settle(node, "s", True) is False
    assert fleet.messages == sent
    fleet.lost.clear()
    fleet.clock.advance(AVOID_S + 0.1)
    assert fleet.settle(node, "s", True) is True


def test_single_node_decides_alone():
    """No message is needed, and nothing is waited for."""
    fleet = OwnerFleet(1)
    assert fleet.settle("n0", "s", True) is True
    assert fleet.settle("n0", "s", False) is True
    assert fleet.messages == 0


@pytest.mark.parametrize("count", [8, 390])
def test_messages_do_not_grow_with_the_number_of_nodes(count):
    """The first request of a session takes two messages, a later one one."""
    fleet = OwnerFleet(count)
    for number in range(20):
        fleet.settle("n0", f"s{number}", True)
    assert fleet.messages <= 2 * 20
    first = fleet.messages
    for number in range(20):
        fleet.settle("n1", f"s{number}", True)
    assert fleet.messages - first <= 20


def test_roll_outs_do_not_share_versions(fleet):
    """A later order starts from nothing."""
    owners = fleet.parts["n0"]
    assert owners.settle(SessionClaim("pool|v2|5", "s", True))
    assert not owners.settle(SessionClaim("pool|v2|9", "s", False))


def test_entry_lives_as_long_as_it_is_used():
    """A long roll-out keeps active sessions and forgets the others."""
    clock = FakeClock()
    register = SessionRegister(clock)
    for session in ("used", "idle"):
        register.settle(SessionClaim("r", session, False))
    clock.advance(CLAIM_TTL_S - 1)
    assert not register.settle(SessionClaim("r", "used", True))
    clock.advance(2)
    assert not register.settle(SessionClaim("r", "used", True))
    assert register.find(SessionClaim("r", "idle", True)) is None


def test_register_is_bounded():
    """The least recently used session is evicted first."""
    register = SessionRegister(FakeClock())
    for number in range(MAX_CLAIMS + 1):
        register.settle(SessionClaim("r", f"s{number}", False))
    assert len(register.entries) == MAX_CLAIMS
    assert register.find(SessionClaim("r", "s0", True)) is None


class FakeConnection:
    """An idle connection that can be closed."""

    def __init__(self):
        """Starts open."""
        self.is_closed = False

    def close(self):
        """Closes it."""
        self.is_closed = True


def test_connections_to_former_nodes_are_closed():
    """Hundreds of nodes are replaced a day, and descriptors are limited."""
    peers = HttpPeers()
    connections = [FakeConnection() for _ in range(3 * MAX_IDLE_NODES)]
    for number, connection in enumerate(connections):
        peers.keep_connection(f"n{number}:1", connection)
    still_open = [c for c in connections if not c.is_closed]
    assert still_open == connections[-MAX_IDLE_NODES:]


def test_surplus_connection_to_a_node_is_closed():
    """A few claims at once do not leave as many idle connections."""
    peers = HttpPeers()
    connections = [FakeConnection() for _ in range(MAX_IDLE_CONNECTIONS + 1)]
    for connection in connections:
        peers.keep_connection("n1:1", connection)
    assert [c.is_closed for c in connections].count(False) == (
        MAX_IDLE_CONNECTIONS
    )
