"""Urgency ranks that engines use to order their prompt queues.

Engines process the most urgent prompt first, whichever node sent it. All nodes
compute ranks by the same rule, so they need no messages to agree on an order.
"""

import math

MOST_URGENT = 0
LEAST_URGENT = 9
"""Range of ranks that engines accept; higher ones are processed later."""
RESUMED_URGENCY = 2
"""Rank of a stream that is resumed at another engine; its caller already sees
a pause, and few streams break at a time."""
SLACK_UNIT_MS = 32.0
"""Slack that counts as level 0, in milliseconds; each doubling is one level. An
objective of 1 s is level 5."""
PREFILL_UNIT_MS = 4.0
"""Processing time of a prompt that counts as level 0, in milliseconds; about
one step of an engine. Each doubling is one level."""
MAX_PREFILL_LEVELS = 6.0
"""Highest level of the processing time; without it, prompts that take longer
than 256 ms would wait for all others."""
SLACK_WEIGHT = 0.8
PREFILL_WEIGHT = 0.4
"""Weights of the two levels in a rank, for loads of 0.75 to 1.05 of capacity.
By slack alone, short prompts wait behind long ones; by processing time alone,
long ones are late."""
PRIORITY_WEIGHT = 0.5
"""Ranks per step of the configured priority."""
NEUTRAL_PRIORITY = 1
"""Priority that leaves the rank unchanged."""


def urgency_of(
    objective_ms: float,
    waited_ms: float,
    base_ms: float,
    prefill_ms: float,
    priority: int = NEUTRAL_PRIORITY,
) -> int:
    """Returns the rank of a prompt, 0 for the most urgent.

    Args:
        objective_ms: Latest time to the first event that is still on time.
        waited_ms: Time since the request arrived.
        base_ms: Expected time to the first event of a short prompt.
        prefill_ms: Expected time to process the complete prompt.
        priority: Priority of the caller or route, 0 for the highest.
    """
    slack_ms = objective_ms - waited_ms - base_ms - prefill_ms
    if slack_ms <= 0:
        # It will be late anyway; processing it first would delay others.
        return LEAST_URGENT
    rank = (
        SLACK_WEIGHT * log2_level(slack_ms, SLACK_UNIT_MS)
        + PREFILL_WEIGHT
        * min(MAX_PREFILL_LEVELS, log2_level(prefill_ms, PREFILL_UNIT_MS))
        + PRIORITY_WEIGHT * (priority - NEUTRAL_PRIORITY)
    )
    return max(MOST_URGENT, min(LEAST_URGENT, round(rank)))


def log2_level(milliseconds: float, unit_ms: float) -> float:
    """Returns log2 of a time in units, 0 for times below one unit."""
    return math.log2(max(milliseconds, unit_ms) / unit_ms)
