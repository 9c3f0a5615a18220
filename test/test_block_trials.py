"""Tests of trials of blocked prompt parts; no network."""

import pytest
from _crash_watch import make_subjects, make_watch

from amaranthlug.protocol.routing.block_trials import (
    FIRST_TRIAL_S,
    MAX_TRIALS,
    SEPARATING_PAUSE_S,
)
from amaranthlug.state.suspects import SuspectFact

DOC, BAD = "pool/doc", "pool/bad"
REQUESTS = ["r1", "r2"]


@pytest.fixture
def watch():
    """The watch of a single node."""
    return make_watch()


def block(watch, *parts: tuple[str, int], crashes: str = "abc") -> None:
    """Records crashes under parts, each given with its position in prompts."""
    watch.suspects.merge(
        [
            SuspectFact(part, list(crashes), [], 0.0, REQUESTS, depth)
            for part, depth in parts
        ]
    )


def may_try(watch, *parts: str) -> bool:
    """Returns whether a request with these parts may reach a server."""
    subjects = make_subjects(*parts, "own")
    blocked = watch.blocked_subject(subjects)
    return blocked is None or watch.begin_trial(blocked, subjects)


# Guards against sound requests that were refused for 600 s as their part was at
# the same crashes as the cause, and no request was under way to clear it.
def test_wrong_one_of_two_parts_alike_is_found_by_a_trial(watch):
    """The request of the trial lacks the other part."""
    block(watch, (BAD, 1), (DOC, 2))
    assert set(watch.suspects.blocked) == {DOC}
    assert not may_try(watch, "sys", "bad", "doc")
    assert may_try(watch, "sys", "doc")
    assert not may_try(watch, "sys", "doc")
    watch.record_completed(make_subjects("sys", "doc", "own"))
    assert set(watch.suspects.blocked) == {BAD}
    assert may_try(watch, "sys", "doc")


def test_trials_of_a_crashing_part_are_few(watch):
    """Each may end a server; a trial that does leaves no doubt."""
    block(watch, (BAD, 2), (DOC, 1))
    assert set(watch.suspects.blocked) == {BAD}
    assert may_try(watch, "sys", "bad")
    block(watch, (BAD, 2), crashes="abcd")
    watch.clock.advance(SEPARATING_PAUSE_S)
    assert not may_try(watch, "sys", "bad")


def test_trials_of_a_part_are_bounded(watch):
    """The crash of a trial may not be recognised."""
    block(watch, (BAD, 2), (DOC, 1))
    trials = 0
    for _ in range(600):
        trials += may_try(watch, "sys", "bad")
        watch.clock.advance(0.9)
    assert trials == MAX_TRIALS


def test_part_without_another_cause_is_tried_late_and_seldom(watch):
    """It is all but certain, and still may be wrong."""
    block(watch, (BAD, 1))
    assert not may_try(watch, "bad")
    tried_at = []
    start = watch.clock.now
    while watch.clock.now < start + 590.0:
        if may_try(watch, "bad"):
            tried_at.append(watch.clock.now - start)
        watch.clock.advance(1.0)
    assert tried_at == [
        FIRST_TRIAL_S,
        3 * FIRST_TRIAL_S,
        7 * FIRST_TRIAL_S,
    ]


def test_one_node_runs_the_trials(watch):
    """Else each node of a large fleet would end a server."""
    block(watch, (BAD, 2), (DOC, 1))
    watch.suspects.is_drawn_for = lambda subject: False
    assert not may_try(watch, "sys", "bad")


def test_blocked_request_is_not_tried(watch):
    """Its block concerns nobody else."""
    subjects = make_subjects("own")
    watch.suspects.merge([SuspectFact(subjects.digest, list("abc"), [])])
    watch.clock.advance(2 * FIRST_TRIAL_S)
    assert not may_try(watch)


def test_caller_is_told_to_come_back_soon_while_the_cause_is_not_decided(watch):
    """Then its part may be allowed in a moment."""
    block(watch, (BAD, 1), (DOC, 2))
    assert watch.block_remaining_s(DOC) < 5.0
    watch.record_completed(make_subjects("sys", "doc", "own"))
    assert watch.block_remaining_s(BAD) > 500.0
