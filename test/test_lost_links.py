"""Tests of nodes that lose their links to the servers, but not to others."""

import gevent
import pytest
from _lost_links import (
    CUTS,
    EVENT_S,
    HANG,
    RESET,
    RUN_S,
    CutFleet,
    FirstTry,
)
from _platform_fleet import wait_for

CUT_AFTER_S = 0.5
"""Time of traffic before the cut, in seconds."""
SETTLED_S = 1.0
"""Time after the cut from which first tries count, in seconds."""
LENGTH_S = 4.0
"""Time of traffic in all, in seconds."""
IDLE_LENGTH_S = 3.0
"""Time of traffic after a cut that began before it, in seconds."""
MIN_SHARE = 0.95
"""Least share of first tries served at cut nodes, of that at the others."""
MAX_EXTRA_S = 0.15
"""Most time that a cut may add to a quick request, in seconds; the wait for one
connection that hangs, and one hop."""
STREAMS = 4
"""Streams that run at a node when its links are cut."""
CUT_NODE = 1
LINK_CHECKED_S = 0.6
"""Time in which a node notices that a link hangs, in seconds: half a second and
the wait for one connection."""
TOLD_S = 0.5
"""Time in which nodes tell each other of ended servers, in seconds."""
TWO_NODES = {1, 4}
MOST_NODES = {0, 1, 2, 3}


@pytest.fixture
def cut_fleet():
    """Six nodes and ten servers."""
    started = CutFleet()
    yield started
    started.stop()


def play_cut(cut_fleet, nodes, how):
    """Sends traffic to all nodes and cuts the links of some meanwhile."""
    gevent.spawn_later(CUT_AFTER_S, cut_fleet.cut, nodes, how)
    cut_fleet.traffic.run(LENGTH_S)


def shares(cut_fleet, cut_nodes):
    """Returns the served shares at cut and other nodes from `SETTLED_S` on."""
    others = set(range(len(cut_fleet.links))) - cut_nodes
    since_s = CUT_AFTER_S + SETTLED_S
    return (
        cut_fleet.traffic.served_share(cut_nodes, since_s),
        cut_fleet.traffic.served_share(others, since_s),
    )


# Guards against nodes that refuse callers as they reach no server themselves,
# while other nodes do.
@pytest.mark.parametrize("how", CUTS)
@pytest.mark.parametrize("nodes", [TWO_NODES, MOST_NODES], ids=["two", "most"])
def test_callers_of_cut_nodes_are_served_as_others_are(cut_fleet, nodes, how):
    """A request that has not been sent may take another path."""
    play_cut(cut_fleet, nodes, how)
    at_cut, at_others = shares(cut_fleet, nodes)
    assert at_others >= MIN_SHARE
    assert at_cut >= MIN_SHARE * at_others
    assert cut_fleet.traffic.most_runs() <= 1


# Guards against nodes that depend on the connections which were open before.
@pytest.mark.parametrize("how", CUTS)
def test_callers_are_served_where_no_connection_was_open(cut_fleet, how):
    """The links were cut while the nodes had no requests."""
    cut_fleet.cut(TWO_NODES, how)
    cut_fleet.traffic.run(IDLE_LENGTH_S)
    assert cut_fleet.traffic.served_share(TWO_NODES, SETTLED_S) >= MIN_SHARE
    assert cut_fleet.traffic.most_runs() <= 1


# Guards against a cut node that reports servers as ended, for which the other
# nodes stop using them and block requests.
def test_servers_are_not_taken_for_ended_by_a_cut_node(cut_fleet):
    """What one node sees of a server may be its own link."""
    traffic = cut_fleet.traffic
    for number in range(STREAMS):
        traffic.begin(FirstTry(CUT_NODE, "/stream/a", f"stream-{number}", 0.0))
    gevent.sleep(RUN_S + EVENT_S)
    cut_fleet.cut({CUT_NODE}, RESET)
    gevent.joinall(traffic.workers)
    gevent.sleep(TOLD_S)
    assert cut_fleet.ends_recorded() == 0
    for node in cut_fleet.fleet.nodes:
        assert not node.suspects.blocked
    assert traffic.served_share({CUT_NODE}, 0.0) == 1.0


# Guards against requests that wait for connections which hang.
def test_hanging_links_add_no_long_waits(cut_fleet):
    """Connections that hang are known after the first ones."""
    play_cut(cut_fleet, TWO_NODES, HANG)
    since_s = CUT_AFTER_S + SETTLED_S
    plain = [
        attempt.took_s
        for attempt in cut_fleet.traffic.tries
        if attempt.sent_at >= since_s and "/stream/" not in attempt.target
    ]
    assert max(plain) <= MAX_EXTRA_S + 0.1


# Guards against callers that wait for hanging links one after the other since
# none of the requests may be repeated.
def test_unrepeatable_request_that_hangs_makes_its_node_check_the_link(
    cut_fleet,
):
    """It is answered by no one, but the next ones take another path."""
    node = cut_fleet.links[CUT_NODE].node
    for number in range(4):
        cut_fleet.fleet.call("/once/a", CUT_NODE, request_id=f"warm-{number}")
    waiting = FirstTry(CUT_NODE, "/once/a", "hanging", 0.0)
    cut_fleet.traffic.begin(waiting)
    gevent.sleep(RUN_S / 2)
    cut_fleet.cut({CUT_NODE}, HANG)
    wait_for(lambda: node.links.lost, LINK_CHECKED_S)
