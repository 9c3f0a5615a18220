"""Load patterns that the rank of a prompt answers; no network."""

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
    read_ms: float = 10,
    **more: int,
) -> int:
    """Returns the rank of a prompt at an engine that starts in 70 ms."""
    return urgency_of(objective_ms, waited_ms, 70, read_ms, **more)


def test_long_prompts_meet_short_ones():
    """A short prompt is read before a long one that has time to spare."""
    assert rank(read_ms=10) < rank(2_000, read_ms=300)


def test_long_prompt_that_waited_goes_before_fresh_short_ones():
    """Short prompts that keep coming do not make a long one late."""
    assert rank(2_000, waited_ms=1_600, read_ms=300) < rank(read_ms=10)


def test_second_model_is_more_urgent_than_the_first():
    """The time that the first model took counts."""
    assert rank(waited_ms=500, read_ms=60) < rank(read_ms=60)


def test_prompt_that_will_be_late_makes_no_other_late():
    """A prompt whose objective cannot be met is read last."""
    assert rank(waited_ms=950) == LEAST_URGENT
    assert rank(2_000, read_ms=2_500) == LEAST_URGENT


def test_priority_of_the_configuration_counts():
    """Of two prompts alike, the one of higher priority is read first."""
    assert rank(priority=0) < rank(priority=2)


@pytest.mark.parametrize("priority", [0, 1, 5, 50])
def test_ranks_are_those_that_engines_know(priority):
    """Every rank lies between the most and the least urgent."""
    times = [0, 1, 100, 1_000, 60_000]
    for objective, waited, read in itertools.product(times, repeat=3):
        found = rank(objective, waited, read, priority=priority)
        assert MOST_URGENT <= found <= LEAST_URGENT
