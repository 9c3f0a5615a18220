"""Splits easy from hard requests by features that cost little to compute."""

import re

from amaranthlug.protocol.interfaces import RoutedRequest

LONG_PROMPT_TOKENS = 100
"""Prompts above it count as hard; short ones are mostly single questions."""

LONG_PROMPT_CHARS = 4_000
"""Only so much of a prompt is looked at, to bound the time taken."""

HARD_SCORE = 2

REASONING = re.compile(
    r"\b(why|explain|compare|reconcile|derive|prove|step by step|"
    r"discrepanc\w*|analy[sz]e|difficult|hard)\b",
    re.IGNORECASE,
)
"""Words that ask for reasoning over several facts."""


def looks_hard(request: RoutedRequest) -> bool:
    """Tells whether a request is likely to need a better version.

    The evidence of both sides is kept apart, so a poor guess costs money but
    not quality.
    """
    text = request.prompt[:LONG_PROMPT_CHARS]
    score = 2 if request.prompt_tokens > LONG_PROMPT_TOKENS else 0
    score += 1 if REASONING.search(text) else 0
    score += 1 if text.count("?") >= 3 else 0
    score += 1 if text.count("\n") >= 20 else 0
    digits = sum(map(text.count, "0123456789"))
    score += 1 if digits > len(text) / 5 else 0
    return score >= HARD_SCORE
