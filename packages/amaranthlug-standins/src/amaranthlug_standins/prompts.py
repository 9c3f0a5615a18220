"""Prompts of the load, each one unique by its tag."""

import random

from amaranthlug_standins.answers import HARD, HARD_PROMPT_WORDS

EASY_WORDS = (20, 60)
HARD_WORDS = (HARD_PROMPT_WORDS + 10, HARD_PROMPT_WORDS + 80)

TELLING_SHARE = 0.9
"""Share of hard prompts that ask for reasoning in words; so do few others."""

MISLEADING_SHARE = 0.05
"""Share of easy prompts that ask for it too."""

REASONING = "please explain step by step and compare the entries."
PLAIN = "please answer in short."

SUBJECTS = (
    "the spot at noon",
    "the order of the agency",
    "the hall with the rug",
    "the lamp by the stairs",
    "the station log",
    "the make-good of the week",
    "the kitchen door",
    "the traffic report",
)


def make_prompt(
    tag: str, kind: str, difficulty: str, source: random.Random
) -> str:
    """Returns a prompt of a kind and difficulty.

    Its length decides the difficulty, which routers may guess from the words.
    """
    hard = difficulty == HARD
    share = TELLING_SHARE if hard else MISLEADING_SHARE
    ask = REASONING if source.random() < share else PLAIN
    words = f"kind:{kind} request {tag} {ask}".split()
    length = source.randint(*(HARD_WORDS if hard else EASY_WORDS))
    while len(words) < length:
        words += source.choice(SUBJECTS).split()
    return " ".join(words[:length])
