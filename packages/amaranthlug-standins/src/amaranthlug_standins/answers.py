"""Simulated answers, as pure functions of prompt, version and seed.

Engines generate them, and callers and the rating service check them without
asking the engine.
"""

import dataclasses
import re
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

EASY = "easy"
HARD = "hard"

HARD_PROMPT_WORDS = 80
"""Length from which a prompt is hard; routers can see the length."""

DEFAULT_QUALITY = 0.95
"""Share of good answers of a version whose quality is not configured."""

MIN_ANSWER_WORDS = 12
"""Shortest full-length answer if the prompt has no `words:N`, in words."""

ANSWER_LENGTH_RANGE = {EASY: 28, HARD: 60}
"""Number of different answer lengths by difficulty, in words."""

# fmt: off
VOCABULARY = (
    "at", "by", "on", "in", "of", "to", "as", "is",
    "it", "we", "air", "log", "rug", "bed", "map", "lamp",
    "door", "wall", "hall", "room", "sofa", "step", "ramp", "desk",
    "spot", "slot", "hour", "week", "news", "road", "lane", "exit",
    "toll", "rain", "fog", "jam", "west", "east", "left", "right",
    "north", "south", "next", "last", "first", "third", "clear", "slow",
    "wide", "low", "high", "open", "near", "far", "new", "old",
    "safe", "dry", "wet", "noon", "rate", "fee", "mark", "kerb",
)
# fmt: on
"""The 64 words of answers; each one is selected by 6 bits of a hash."""

WORDS_PER_HASH = 10
"""Words taken from one 64-bit hash."""

SHORT_BAD_SHARE = 0.5
"""Share of bad answers that are short and can be told by their form."""

SHORT_BAD_WORD = "unclear"
"""Second and last word of a short bad answer; not in `VOCABULARY`."""

LENGTH_PATTERN = re.compile(r"\bwords:(\d+)\b")
KIND_PATTERN = re.compile(r"\bkind:([\w.-]+)")


@dataclasses.dataclass(frozen=True)
class Quality:
    """Share of good answers by difficulty, 0 to 1."""

    easy: float = DEFAULT_QUALITY
    hard: float = DEFAULT_QUALITY


@dataclasses.dataclass(frozen=True)
class AnswerCheck:
    """Result of checking a received text.

    Attributes:
        own: The text answers the prompt of this caller.
        whole: The text is the complete answer of the version.
        good: The text is the complete good answer.
    """

    own: bool
    whole: bool
    good: bool


def prompt_digest(prompt: str) -> str:
    """Returns the 64-bit hash of a prompt as 16 hex digits."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def prompt_difficulty(prompt: str) -> str:
    """Returns `hard` for long prompts, else `easy`."""
    return HARD if len(prompt.split()) >= HARD_PROMPT_WORDS else EASY


def prompt_kind(prompt: str) -> str:
    """Returns the request kind named by `kind:NAME` in a prompt, or ''."""
    match = KIND_PATTERN.search(prompt)
    return match.group(1) if match else ""


def last_user_message(messages: Sequence[Mapping[str, Any]]) -> str:
    """Returns the text of the last user message, on which answers depend."""
    for message in reversed(messages):
        if message.get("role") == "user":
            return content_text(message.get("content"))
    return ""


def content_text(content: Any) -> str:
    """Returns the text of a message content, a string or a list of parts."""
    if isinstance(content, list):
        return " ".join(str(part.get("text", "")) for part in content)
    return str(content or "")


def answer_length(prompt: str) -> int:
    """Returns the length in words of a full-length answer to a prompt.

    The mark `words:N` in the prompt sets it.
    """
    match = LENGTH_PATTERN.search(prompt)
    if match:
        return max(1, int(match.group(1)))
    length_range = ANSWER_LENGTH_RANGE[prompt_difficulty(prompt)]
    return (
        MIN_ANSWER_WORDS
        + xxhash.xxh3_64_intdigest(prompt.encode()) % length_range
    )


def answer_words(prompt: str, version: str, good: bool) -> list[str]:
    """Returns the words of an answer; the first has the prompt's digest.

    Args:
        prompt: Last user message.
        version: `model@version`.
        good: Whether the answer is a good one.
    """
    digest = prompt_digest(prompt)
    if (
        not good
        and hash_fraction(0, "give up", digest, version) < SHORT_BAD_SHARE
    ):
        return [f"re-{digest}", SHORT_BAD_WORD]
    return words_from_digest(digest, version, good, answer_length(prompt))


def words_from_digest(
    digest: str, version: str, good: bool, length: int
) -> list[str]:
    """Returns the first `length` words of the answer to a prompt digest."""
    key = f"{digest}|{version}|{'good' if good else 'bad'}|".encode()
    words = [f"re-{digest}"]
    block = 0
    while len(words) < length:
        bits = xxhash.xxh3_64_intdigest(key, seed=block)
        for _ in range(WORDS_PER_HASH):
            words.append(VOCABULARY[bits & 63])
            bits >>= 6
        block += 1
    return words[:length]


def check_answer(
    text: str, prompt: str, version: str, max_tokens: int | None = None
) -> AnswerCheck:
    """Checks that a text is the complete answer to a prompt.

    Args:
        text: Text as received.
        prompt: Last user message of the request.
        version: `model@version` that answered.
        max_tokens: Limit in the request; a longer answer is complete once it
            has so many words.
    """
    words = text.split()
    own = bool(words) and words[0] == f"re-{prompt_digest(prompt)}"
    for good in (True, False):
        if words == answer_words(prompt, version, good)[:max_tokens]:
            return AnswerCheck(own=own, whole=own, good=good)
    return AnswerCheck(own=own, whole=False, good=False)


def rate_answer(text: str, version: str) -> bool:
    """Returns whether a text is a good answer to the prompt it refers to."""
    words = text.split()
    if not words or not words[0].startswith("re-"):
        return False
    digest = words[0].removeprefix("re-")
    return words == words_from_digest(digest, version, True, len(words))


def hash_fraction(seed: int, *parts: str) -> float:
    """Returns a number in [0, 1) from a hash of the arguments."""
    text = "|".join(parts).encode()
    return xxhash.xxh3_64_intdigest(text, seed=seed) / 2**64


def is_good(
    seed: int,
    digest: str,
    version: str,
    kind: str,
    difficulty: str,
    quality: Quality,
) -> bool:
    """Returns whether a version answers a prompt well.

    The oracle of the experiments uses this too.
    """
    share = quality.hard if difficulty == HARD else quality.easy
    return hash_fraction(seed, digest, version, kind, difficulty) < share


def is_good_for_prompt(
    seed: int, prompt: str, version: str, quality: Quality
) -> bool:
    """Returns `is_good` for the kind and difficulty of a prompt."""
    return is_good(
        seed,
        prompt_digest(prompt),
        version,
        prompt_kind(prompt),
        prompt_difficulty(prompt),
        quality,
    )
