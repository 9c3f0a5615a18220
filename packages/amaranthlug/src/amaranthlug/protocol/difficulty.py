"""Classifies requests as easy or hard by features that are cheap to compute."""

import re

from amaranthlug.protocol.interfaces import ChatRequest

LONG_PROMPT_TOKENS = 100
"""Longer prompts count as hard; short ones are mostly single questions."""

EXAMINED_CHARS = 4_000
"""Characters of a prompt that are examined, which bounds the time taken."""

HARD_SCORE = 2
"""Score from which a request counts as hard."""

REASONING_WORDS = re.compile(
    r"\b(why|explain|compare|reconcile|derive|prove|step by step|"
    r"discrepanc\w*|analy[sz]e|difficult|hard)\b",
    re.IGNORECASE,
)
"""Words that indicate reasoning over several facts."""


def looks_hard(request: ChatRequest) -> bool:
    """Returns whether a request is likely to need a better version.

    Evidence is kept separately for easy and hard requests, so a wrong
    classification raises the cost but does not lower quality.
    """
    text = request.prompt[:EXAMINED_CHARS]
    score = 2 if request.prompt_tokens > LONG_PROMPT_TOKENS else 0
    score += 1 if REASONING_WORDS.search(text) else 0
    score += 1 if text.count("?") >= 3 else 0
    score += 1 if text.count("\n") >= 20 else 0
    digits = sum(map(text.count, "0123456789"))
    score += 1 if digits > len(text) / 5 else 0
    return score >= HARD_SCORE
