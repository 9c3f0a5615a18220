"""Tests of answers whose end must be known before a caller may take it."""

import errno
import signal
import time

import gevent
import pytest
from _common import ROOT
from _endless import ScriptedSocket, make_connection, read_response
from _lost_links import REFUSE, CutFleet
from _mixed_builds import extract_build
from _platform_fleet import (
    PlatformFleet,
    event_ids,
    stream_headers,
    wait_for,
)
from _torn_answers import (
    ANSWER_S,
    CALLS_EACH,
    GRACE_S,
    REPEATABLE,
    TARGETS,
    TornFleet,
)

from amaranthlug.transport.routing.path_frames import (
    BROKEN,
    CLOSED,
    HEADER,
    FramedReader,
    PathBrokenError,
)
from amaranthlug.transport.routing.response_limits import BrokenResponseError

BUILD_WITHOUT_FRAMES = "30d0f94"
ANSWERS = 20
MAX_ANSWER_S = 0.3
"""Longest time of a sound answer, in seconds, on a busy machine."""
FRAMES = (
    HEADER.pack(6)
    + b"answer"
    + HEADER.pack(6)
    + b" of it"
    + HEADER.pack(CLOSED)
)
"""What a path passes of an answer that the server has ended."""

FRAMINGS = {
    "/safe/x": ("length", {}),
    "/stream/x": ("chunks", {}),
    "/cut/x": ("close", {"until_close": True}),
}
"""Target -> how the end of its answer is told, and the faults for that."""


@pytest.fixture
def fleet():
    """One node and two servers."""
    started = PlatformFleet()
    yield started
    started.stop()


# Guards against a torn answer that no log line tells from a whole one.
@pytest.mark.parametrize("target", FRAMINGS)
def test_log_says_how_the_end_of_an_answer_is_told(fleet, target):
    """Its path is named there as well."""
    framing, faults = FRAMINGS[target]
    for server in fleet.servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)
    headers = () if target == "/safe/x" else stream_headers()
    assert fleet.call(target, headers=headers).whole
    attempt = fleet.lines.requests[-1]["attempts"][-1]
    assert (attempt["framing"], attempt["peer"]) == (framing, None)


@pytest.fixture
def torn_fleet(tmp_path):
    """Returns a function that starts node processes; ends them afterwards."""
    running = []

    def start(**values):
        running.append(TornFleet(tmp_path, **values))
        return running[-1]

    yield start
    for each in running:
        each.stop()


# Guards against review/1: a path through a node that was killed, or ended at
# its grace, made a torn answer a complete one.
@pytest.mark.processes
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_lost_path_ends_no_answer(torn_fleet, number):
    """All kinds of answers without a length; the servers go on."""
    fleet = torn_fleet()
    fleet.begin_calls_through_peers()
    gevent.sleep(ANSWER_S - GRACE_S - 0.7)
    for node in fleet.fleet.nodes[1:]:
        node.send(number)
    fleet.finish()
    assert fleet.paths_opened() >= len(TARGETS) * CALLS_EACH
    assert fleet.torn() == []
    assert fleet.most_runs() == 1
    assert fleet.served(REPEATABLE) == len(REPEATABLE) * CALLS_EACH


# Guards against review/1 the other way: an end that is one is passed on.
@pytest.mark.processes
def test_answer_through_a_peer_is_whole_at_its_end(torn_fleet):
    """The node of the path says that the server closed it."""
    fleet = torn_fleet()
    fleet.begin_calls_through_peers()
    fleet.finish()
    assert fleet.paths_opened() >= len(TARGETS) * CALLS_EACH
    assert fleet.served() == len(TARGETS) * CALLS_EACH


# Guards against issue 43 side by side with review/1: one build frames the bytes
# of a path and the other does not.
@pytest.mark.processes
@pytest.mark.parametrize("is_former", [(True, False), (False, True)])
def test_lost_path_between_builds_ends_no_answer(
    torn_fleet, tmp_path, is_former
):
    """The first node or the nodes of its paths run the build before."""
    former = extract_build(BUILD_WITHOUT_FRAMES, tmp_path / "former")
    first, others = ((former if each else ROOT) for each in is_former)
    fleet = torn_fleet(builds=(first, others, others))
    fleet.begin_calls_through_peers()
    gevent.sleep(ANSWER_S - GRACE_S - 0.7)
    for node in fleet.fleet.nodes[1:]:
        node.send(signal.SIGKILL)
    fleet.finish()
    assert fleet.paths_opened() >= len(TARGETS) * CALLS_EACH
    assert fleet.torn() == []
    assert fleet.most_runs() == 1


# Guards against the operators' report of issue 61 (ORDER): a server that ended
# made a torn stream a complete one, since its kernel closes in order.
@pytest.mark.processes
@pytest.mark.parametrize("way", ["direct", "link", "peer"])
def test_ended_server_ends_no_answer(torn_fleet, way):
    """All kinds of answers without a length; another server goes on."""
    fleet = torn_fleet(behind_links=way != "direct")
    if way == "peer":
        fleet.begin_calls_through_peers()
    else:
        fleet.begin_calls()
    gevent.sleep(ANSWER_S / 2)
    crashed = fleet.fleet.servers[0]
    assert crashed.running > 0
    crashed.crash()
    fleet.finish()
    assert fleet.torn() == []
    assert fleet.most_runs() == 1
    assert fleet.served(REPEATABLE) == len(REPEATABLE) * CALLS_EACH


# Guards against issue 61 the other way: a whole answer of a server that leaves
# and ends behind it is not lost where the request may be repeated.
@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
def test_last_answer_of_a_server_that_leaves_is_whole(fleet, target):
    """Another server repeats it, or says that nothing is left of it."""
    headers = () if target == "/safe/x" else stream_headers()
    leaving = fleet.servers[0]
    for server in fleet.servers:
        server.faults.until_close = True
    leaving.faults.leaving = True
    leaving.faults.ends_after_answer = True
    for number in range(50):
        answer = fleet.call(target, request_id=f"r{number}", headers=headers)
        assert (answer.status, answer.whole) == (200, True)
        if target == "/stream/x":
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        else:
            assert answer.body == b"GET /safe/x"
        if not leaving.is_up:
            return
    raise AssertionError("the server received no request")


# Guards against a check of ends that costs callers or servers more than the
# connection that the answer has used up.
def test_end_of_a_sound_answer_costs_no_further_connection(fleet):
    """The connection that shows that the server serves is used next."""
    for server in fleet.servers:
        server.faults.until_close = True
    node = fleet.nodes[0]
    dial, dialled = node.paths.dial, []
    node.paths.dial = lambda *where: dialled.append(where) or dial(*where)
    for number in range(ANSWERS):
        started_at = time.monotonic()
        answer = fleet.call("/safe/x", request_id=f"r{number}")
        assert (answer.status, answer.whole) == (200, True)
        assert time.monotonic() - started_at < MAX_ANSWER_S
    assert len(dialled) <= ANSWERS + len(fleet.servers)
    assert sum(server.runs.total() for server in fleet.servers) == ANSWERS


# Guards against a torn answer over a dead connection: the kernel's time-out was
# taken for that of a wait, and the end that the next read returns for the end
# of the body.
def test_time_out_of_the_kernel_ends_no_answer():
    """It is a broken connection, not a pause."""
    head = b"HTTP/1.1 200 OK\r\n\r\nhalf of the"
    dead = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
    connection = make_connection([head, dead])
    with pytest.raises(BrokenResponseError, match="dead"):
        read_response(connection)


# Guards against torn answers that the frames of a path let through.
@pytest.mark.parametrize("cut_at", range(len(FRAMES)))
def test_frames_tell_a_lost_path_from_an_end(cut_at):
    """Each cut raises an error; the whole is the bytes of the server."""
    reader = FramedReader(ScriptedSocket([FRAMES[:cut_at]]))
    with pytest.raises(PathBrokenError):
        while reader.recv(4):
            pass
    blocks = [FRAMES[:cut_at], FRAMES[cut_at:]]
    whole = FramedReader(ScriptedSocket([block for block in blocks if block]))
    assert b"".join(iter(lambda: whole.recv(4), b"")) == b"answer of it"
    assert whole.recv(4) == b""


def test_frames_tell_a_broken_server_from_a_lost_path():
    """The other node has seen the reset, so the server is to blame."""
    blocks = [FRAMES[:-4] + HEADER.pack(BROKEN)]
    reader = FramedReader(ScriptedSocket(blocks))
    assert reader.recv(100) + reader.recv(100) == b"answer of it"
    with pytest.raises(ConnectionResetError):
        reader.recv(100)


# Guards against a whole answer that is taken for cut, since this node alone is
# refused new connections while its open ones live on.
@pytest.mark.parametrize("target", ["/once/x", "/cut/x"])
def test_refused_node_passes_a_whole_answer_on(target):
    """Other nodes see that the server serves."""
    cut_fleet = CutFleet(nodes=3, servers=2)
    try:
        fleet = cut_fleet.fleet
        for server in fleet.servers:
            server.faults.until_close = True
            server.faults.body_pause_s = 0.05
        headers = stream_headers() if target == "/cut/x" else ()
        running = gevent.spawn(fleet.call, target, headers=headers)
        wait_for(lambda: fleet.runs("id-1") == 1)
        cut_fleet.cut({0}, REFUSE)
        answer = running.get()
        assert (answer.status, answer.whole) == (200, True)
    finally:
        cut_fleet.stop()
