"""Tests of what a node records when a server ends; no network."""

import gevent
import pytest
from _crash_watch import FakeServers, make_subjects, make_watch
from _routing import make_server

from amaranthlug.protocol.routing.crash_watch import (
    DROPPED_CHECK_S,
    DROPPED_S,
)
from amaranthlug.protocol.routing.messages import FailureKind
from amaranthlug.state.suspects import SuspectFact

SERVER = make_server()


@pytest.fixture
def watch():
    """The watch of a single node before a server that runs."""
    return make_watch(FakeServers())


def crashes_of(watch, subject: str) -> set[str]:
    """Returns the instances that ended under a request or part."""
    suspect = watch.suspects.table.find(subject)
    return suspect.crashes if suspect else set()


# Guards against issue 29: a server ended under an answer that the node had
# dropped for its low confidence, and that request was not suspected.
@pytest.mark.parametrize("kind", [FailureKind.WEAK, FailureKind.TIMEOUT])
def test_server_that_ends_after_an_attempt_was_dropped(watch, kind):
    """The end is learned from another node."""
    watch.record_failure(SERVER, make_subjects("a", "own"), kind)
    watch.suspects.merge([SuspectFact("other", [SERVER.instance_name], [])])
    assert crashes_of(watch, "pool/a") == {SERVER.instance_name}


def test_dropped_attempts_are_found_by_the_next_broken_one(watch):
    """This node sees the end itself."""
    watch.record_failure(SERVER, make_subjects("a", "own"), FailureKind.WEAK)
    watch.port.ended.add(SERVER.instance_key)
    watch.check(SERVER, make_subjects("b", "own"))
    assert crashes_of(watch, "pool/a") == {SERVER.instance_name}
    assert crashes_of(watch, "pool/b") == {SERVER.instance_name}


def test_server_of_a_dropped_attempt_is_checked_while_there_are_suspects(
    watch,
):
    """Nobody else may have been at that server."""
    watch.suspects.merge([SuspectFact("other", ["another"], [])])
    watch.record_failure(SERVER, make_subjects("a", "own"), FailureKind.WEAK)
    watch.port.ended.add(SERVER.instance_key)
    gevent.sleep(DROPPED_CHECK_S + 0.05)
    assert crashes_of(watch, "pool/a") == {SERVER.instance_name}


def test_attempt_dropped_long_before_an_end_is_no_suspect(watch):
    """A server ends about 0.1 s after it began to write."""
    watch.record_failure(SERVER, make_subjects("a", "own"), FailureKind.WEAK)
    watch.clock.advance(DROPPED_S + 0.1)
    watch.suspects.merge([SuspectFact("other", [SERVER.instance_name], [])])
    assert crashes_of(watch, "pool/a") == set()


def test_connection_that_broke_before_the_server_refused(watch):
    """The process takes a moment to end."""
    watch.check(SERVER, make_subjects("a", "own"))
    assert crashes_of(watch, "pool/a") == set()
    watch.suspects.merge([SuspectFact("other", [SERVER.instance_name], [])])
    assert crashes_of(watch, "pool/a") == {SERVER.instance_name}


def test_line_names_a_server_of_which_the_end_is_not_known(watch, caplog):
    """Else nothing tells why no request is suspected after answers broke."""
    caplog.set_level("INFO")
    watch.check(SERVER, make_subjects("a", "own"))
    [line] = caplog.records
    assert line.event == "server_in_doubt"
    assert line.server == SERVER.server_id


def test_last_part_of_a_prompt_is_not_suspected(watch):
    """It belongs to the request itself."""
    watch.port.ended.add(SERVER.instance_key)
    watch.check(SERVER, make_subjects("a", "own"))
    assert crashes_of(watch, "pool/own") == set()


def test_part_that_was_just_answered_is_not_suspected(watch):
    """Many servers may end at once with a common part at each."""
    watch.record_completed(make_subjects("a", "own-1"))
    watch.port.ended.add(SERVER.instance_key)
    watch.check(SERVER, make_subjects("a", "b", "own-2"))
    assert crashes_of(watch, "pool/a") == set()
    assert crashes_of(watch, "pool/b") == {SERVER.instance_name}


def test_same_part_at_another_service_is_another_subject():
    """Only the engines of one service are known to end under it."""
    one = make_subjects("a", "own", service="pool")
    other = make_subjects("a", "own", service="other")
    assert one.parts == ("pool/a",)
    assert other.parts == ("other/a",)


def test_names_of_parts_are_bounded():
    """They are sent to all nodes."""
    [name] = make_subjects("f" * 4_000, "own").parts
    assert len(name) < 100
    parts = [f"p{number}" for number in range(1_000)]
    assert len(make_subjects(*parts).parts) == 32
