"""Tests of what a node records when a server ends; no network."""

import gevent
import pytest
from _crash_watch import make_subjects, make_watch
from _routing import make_server

from amaranthlug.protocol.routing.crash_watch import (
    BROKEN_S,
    DROPPED_CHECK_S,
    DROPPED_S,
)
from amaranthlug.protocol.routing.messages import FailureKind, PathState
from amaranthlug.protocol.routing.server_ends import CHECK_DELAYS_S
from amaranthlug.state.routing.server_ends import EndSign
from amaranthlug.state.suspects import SuspectFact

SERVER = make_server()
NAME = SERVER.instance_name
CHECKED_S = sum(CHECK_DELAYS_S) + 0.05


@pytest.fixture
def watch():
    """The watch of a single node before a server that runs."""
    return make_watch(SERVER)


def crashes_of(watch, subject: str) -> set[str]:
    """Returns the instances that ended under a request or part."""
    suspect = watch.suspects.table.find(subject)
    return suspect.crashes - suspect.cleared if suspect else set()


def fail(watch, *parts: str, kind=FailureKind.BROKEN, took_s=0.1) -> None:
    """Lets an attempt fail that was sent a while ago."""
    began_at = watch.clock.now - took_s
    watch.record_failure(SERVER, make_subjects(*parts), kind, began_at)


def end_server(watch) -> None:
    """Makes the VM of the server refuse connections."""
    watch.ends.port.states[SERVER.instance_key] = PathState.REFUSED


# Guards against issue 29: a server ended under an answer that the node had
# dropped for its low confidence, and that request was not suspected.
@pytest.mark.parametrize("kind", [FailureKind.WEAK, FailureKind.TIMEOUT])
def test_server_that_ends_after_an_attempt_was_dropped(watch, kind):
    """The end is learned from another node."""
    fail(watch, "a", "own", kind=kind)
    watch.suspects.merge([SuspectFact("other", [NAME], [])])
    assert crashes_of(watch, "pool/a") == {NAME}


def test_dropped_attempts_are_found_by_the_next_broken_one(watch):
    """This node sees the end itself."""
    fail(watch, "a", "own", kind=FailureKind.WEAK)
    end_server(watch)
    fail(watch, "b", "own")
    gevent.sleep(CHECKED_S)
    assert crashes_of(watch, "pool/a") == {NAME}
    assert crashes_of(watch, "pool/b") == {NAME}


def test_server_of_a_dropped_attempt_is_checked_while_there_are_suspects(
    watch,
):
    """Nobody else may have been at that server."""
    watch.suspects.merge([SuspectFact("other", ["another"], [])])
    fail(watch, "a", "own", kind=FailureKind.WEAK)
    end_server(watch)
    gevent.sleep(DROPPED_CHECK_S + CHECKED_S)
    assert crashes_of(watch, "pool/a") == {NAME}


def test_attempt_dropped_long_before_an_end_is_no_suspect(watch):
    """A server ends about 0.1 s after it began to write."""
    fail(watch, "a", "own", kind=FailureKind.WEAK)
    watch.clock.advance(DROPPED_S + 0.1)
    watch.suspects.merge([SuspectFact("other", [NAME], [])])
    assert crashes_of(watch, "pool/a") == set()


def test_attempt_that_broke_long_before_an_end_is_no_suspect(watch):
    """Its server went on after that."""
    fail(watch, "a", "own")
    watch.clock.advance(BROKEN_S + 0.1)
    watch.suspects.merge([SuspectFact("other", [NAME], [])])
    assert crashes_of(watch, "pool/a") == set()


def test_connection_that_broke_before_the_server_refused(watch):
    """The process takes a moment to end."""
    fail(watch, "a", "own")
    gevent.sleep(0.02)
    assert crashes_of(watch, "pool/a") == set()
    end_server(watch)
    gevent.sleep(CHECKED_S)
    assert crashes_of(watch, "pool/a") == {NAME}


# Guards against issue 33: a crash was known from a refused connection only.
@pytest.mark.parametrize("sign", [EndSign.REPLACED, EndSign.REMOVED])
def test_end_that_is_learned_from_the_entries(watch, sign):
    """The path stays open all the while."""
    fail(watch, "a", "own")
    gevent.sleep(CHECKED_S)
    assert crashes_of(watch, "pool/a") == set()
    watch.clock.advance(4.0)
    watch.ends.record_departure(SERVER, sign)
    assert crashes_of(watch, "pool/a") == {NAME}


# Guards against requests among the suspects of a crash that were sent to an
# ended server, at a path that accepts connections for it.
def test_attempt_that_began_after_the_end_is_no_suspect(watch):
    """Neither before nor after the end is known."""
    fail(watch, "a", "own")
    watch.clock.advance(0.5)
    fail(watch, "b", "own")
    watch.ends.record_end(SERVER, EndSign.CLOSED)
    watch.clock.advance(0.5)
    fail(watch, "c", "own")
    assert crashes_of(watch, "pool/a") == {NAME}
    assert crashes_of(watch, "pool/b") == set()
    assert crashes_of(watch, "pool/c") == set()


def test_attempt_that_breaks_after_its_end_was_reported_is_a_suspect(watch):
    """Another node was faster."""
    watch.suspects.merge([SuspectFact("other", [NAME], [])])
    watch.clock.advance(0.05)
    fail(watch, "a", "own")
    assert crashes_of(watch, "pool/a") == {NAME}


def test_attempt_that_broke_before_its_server_went_on_is_no_suspect(watch):
    """A server that only resets a connection goes on with the others."""
    older = watch.clock.now - 1.0
    fail(watch, "a", "own")
    watch.clock.advance(1.0)
    watch.record_byte(SERVER, older)
    fail(watch, "b", "own")
    watch.record_byte(SERVER, older)
    assert len(watch.failed[NAME]) == 1
    watch.ends.record_departure(SERVER, EndSign.REPLACED)
    assert crashes_of(watch, "pool/a") == set()
    assert crashes_of(watch, "pool/b") == {NAME}


# Guards against crashes that are not recognised as the process that started at
# once under the same id answers requests meant for the former one.
def test_answers_to_later_attempts_do_not_show_that_a_server_lived(watch):
    """They may come from the process that started again."""
    fail(watch, "a", "own")
    watch.clock.advance(1.0)
    watch.record_byte(SERVER, watch.clock.now - 0.5)
    watch.ends.record_departure(SERVER, EndSign.REPLACED)
    assert crashes_of(watch, "pool/a") == {NAME}


def test_other_instance_at_the_address_shows_an_end(watch):
    """It refuses what was meant for the former one."""
    fail(watch, "a", "own")
    fail(watch, "b", "own", kind=FailureKind.REPLACED)
    assert crashes_of(watch, "pool/a") == {NAME}
    assert crashes_of(watch, "pool/b") == set()


# Guards against requests that stay suspected, or blocked, after a server was
# wrongly taken for ended.
def test_suspects_of_a_server_that_lives_are_cleared(watch):
    """Its connections were at their limit."""
    fail(watch, "a", "own")
    watch.ends.record_end(SERVER, EndSign.CLOSED)
    assert crashes_of(watch, "pool/a") == {NAME}
    watch.ends.record_life(SERVER)
    assert crashes_of(watch, "pool/a") == set()
    assert not watch.suspects.table.is_suspected("pool/a")


def test_line_names_a_server_of_which_the_end_is_not_known(watch, caplog):
    """Else nothing tells why no request is suspected after answers broke."""
    caplog.set_level("INFO")
    gevent.sleep(CHECKED_S)  # Checks of other tests end.
    caplog.clear()
    fail(watch, "a", "own")
    gevent.sleep(CHECKED_S)
    [line] = [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "server_in_doubt"
    ]
    assert line.server == SERVER.server_id


def test_last_part_of_a_prompt_is_not_suspected(watch):
    """It belongs to the request itself."""
    end_server(watch)
    fail(watch, "a", "own")
    gevent.sleep(CHECKED_S)
    assert crashes_of(watch, "pool/a") == {NAME}
    assert crashes_of(watch, "pool/own") == set()


def test_part_that_was_just_answered_is_not_suspected(watch):
    """Many servers may end at once with a common part at each."""
    watch.record_completed(make_subjects("a", "own-1"))
    end_server(watch)
    fail(watch, "a", "b", "own-2")
    gevent.sleep(CHECKED_S)
    assert crashes_of(watch, "pool/a") == set()
    assert crashes_of(watch, "pool/b") == {NAME}


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
