"""Guards the urgency ranks of prompts; no network."""

import itertools

import pytest

from amaranthlug.protocol.routing.urgency import (
    LEAST_URGENT,
    MOST_URGENT,
    urgency_of,
)


def rank(
    objective_ms: float = 1_000,
    waited_ms: float = 0,
    prefill_ms: float = 10,
    **more: int,
) -> int:
    """Returns the rank of a prompt at an engine that starts in 70 ms."""
    return urgency_of(objective_ms, waited_ms, 70, prefill_ms, **more)


def test_short_prompt_ranks_before_long_one_with_slack():
    """A short prompt ranks before a long one that has slack."""
    assert rank(prefill_ms=10) < rank(2_000, prefill_ms=300)


def test_long_prompt_that_waited_ranks_before_new_short_ones():
    """A steady flow of short prompts does not make a long one late."""
    assert rank(2_000, waited_ms=1_600, prefill_ms=300) < rank(prefill_ms=10)


def test_escalated_prompt_is_more_urgent():
    """After escalation, the time spent at the first model counts."""
    assert rank(waited_ms=500, prefill_ms=60) < rank(prefill_ms=60)


def test_prompt_that_will_be_late_ranks_last():
    """A prompt that cannot meet its objective ranks last."""
    assert rank(waited_ms=950) == LEAST_URGENT
    assert rank(2_000, prefill_ms=2_500) == LEAST_URGENT


def test_configured_priority_changes_rank():
    """Of two equal prompts, the one with higher priority ranks first."""
    assert rank(priority=0) < rank(priority=2)


@pytest.mark.parametrize("priority", [0, 1, 5, 50])
def test_ranks_are_in_range(priority):
    """Every rank is in the range that engines accept."""
    times = [0, 1, 100, 1_000, 60_000]
    for objective, waited, read in itertools.product(times, repeat=3):
        found = rank(objective, waited, read, priority=priority)
        assert MOST_URGENT <= found <= LEAST_URGENT
