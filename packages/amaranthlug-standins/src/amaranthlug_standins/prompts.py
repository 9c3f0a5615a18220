"""Prompts of the load, each made unique by a tag."""

import random

from amaranthlug_standins.answers import HARD, HARD_PROMPT_WORDS

EASY_LENGTHS = (20, 60)
HARD_LENGTHS = (HARD_PROMPT_WORDS + 10, HARD_PROMPT_WORDS + 80)
"""Shortest and longest prompt by difficulty, in words."""

HARD_REASONING_SHARE = 0.9
"""Share of hard prompts that explicitly ask for reasoning."""

EASY_REASONING_SHARE = 0.05
"""Share of easy prompts that do so, which misleads routers."""

REASONING_REQUEST = "please explain step by step and compare the entries."
SHORT_REQUEST = "please answer in short."

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
    tag: str, kind: str, difficulty: str, rng: random.Random
) -> str:
    """Returns a random prompt of a kind and difficulty.

    The length sets the difficulty. A router may estimate it from the wording.
    """
    is_hard = difficulty == HARD
    reasoning_share = HARD_REASONING_SHARE if is_hard else EASY_REASONING_SHARE
    instruction = (
        REASONING_REQUEST if rng.random() < reasoning_share else SHORT_REQUEST
    )
    words = f"kind:{kind} request {tag} {instruction}".split()
    length = rng.randint(*(HARD_LENGTHS if is_hard else EASY_LENGTHS))
    while len(words) < length:
        words += rng.choice(SUBJECTS).split()
    return " ".join(words[:length])
