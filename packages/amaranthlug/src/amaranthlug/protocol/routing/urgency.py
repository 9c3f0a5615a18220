"""How urgent a prompt is for the engine that reads it.

Engines read the most urgent prompt first, whichever node sent it, so ranks
that all nodes give alike order the queues without any message.
"""

import math

MOST_URGENT = 0
LEAST_URGENT = 9
"""Ranks that engines know; higher numbers are read later."""
RESUMED_URGENCY = 2
"""Rank of a stream that goes on at another engine: its caller already sees a
pause, and few streams break at a time."""
SLACK_UNIT_MS = 32.0
"""Time to spare that counts as level 0, in milliseconds; each doubling is one
level. An objective of 1 s is level 5."""
READ_UNIT_MS = 4.0
"""Time to read a prompt that counts as level 0, in milliseconds; about one
step of an engine. Each doubling is one level."""
READ_LEVELS = 6.0
"""Highest level of the time to read: prompts that take longer than 256 ms
would otherwise wait for all others."""
SLACK_WEIGHT = 0.8
READ_WEIGHT = 0.4
"""Parts of the levels in a rank, from the simulation at 0.75 to 1.05 of the
capacity and days of both sites: time to spare alone keeps short prompts
behind long ones, time to read alone makes long ones late."""
PRIORITY_WEIGHT = 0.5
"""Ranks between two priorities of the configuration."""
USUAL_PRIORITY = 1
"""Priority that changes no rank."""


def urgency_of(
    objective_ms: float,
    waited_ms: float,
    start_ms: float,
    read_ms: float,
    priority: int = USUAL_PRIORITY,
) -> int:
    """Returns the rank of a prompt, 0 first.

    Args:
        objective_ms: Time to the first event that is on time.
        waited_ms: Time since the request arrived.
        start_ms: Usual time to the first event of a short prompt.
        read_ms: Usual time to read the prompt.
        priority: The caller's or the route's, 0 highest.
    """
    slack_ms = objective_ms - waited_ms - start_ms - read_ms
    if slack_ms <= 0:
        # It will be late anyway; reading it first would make others late.
        return LEAST_URGENT
    rank = (
        SLACK_WEIGHT * level(slack_ms, SLACK_UNIT_MS)
        + READ_WEIGHT * min(READ_LEVELS, level(read_ms, READ_UNIT_MS))
        + PRIORITY_WEIGHT * (priority - USUAL_PRIORITY)
    )
    return max(MOST_URGENT, min(LEAST_URGENT, round(rank)))


def level(milliseconds: float, unit_ms: float) -> float:
    """Returns how often a time doubles its unit, 0 for shorter times."""
    return math.log2(max(milliseconds, unit_ms) / unit_ms)
