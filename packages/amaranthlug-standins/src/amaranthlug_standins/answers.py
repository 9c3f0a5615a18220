"""Answers as pure functions, so that every part can check them alone."""

import dataclasses
import re
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

EASY = "easy"
HARD = "hard"

HARD_PROMPT_WORDS = 80
"""Prompts of at least this many words are hard; routers can see the length."""

DEFAULT_QUALITY = 0.95
"""Share of good answers of a version without stated qualities."""

SHORTEST_ANSWER = 12
"""Least number of words of an answer, its first word included."""

ANSWER_SPREAD = {EASY: 28, HARD: 60}
"""Range above the shortest answer, in words, by difficulty."""

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
"""64 words, so that each takes 6 bits of a hash."""

WORDS_PER_HASH = 10

SHORT_BAD_SHARE = 0.5
"""Share of bad answers that a check of their form finds; they are short."""

GIVE_UP_WORD = "unclear"
"""Second and last word of a short bad answer; not in the vocabulary."""

LENGTH_MARK = re.compile(r"\bwords:(\d+)\b")
KIND_MARK = re.compile(r"\bkind:([\w.-]+)")


@dataclasses.dataclass(frozen=True)
class Quality:
    """Share of good answers by difficulty, 0 to 1."""

    easy: float = DEFAULT_QUALITY
    hard: float = DEFAULT_QUALITY


@dataclasses.dataclass(frozen=True)
class AnswerCheck:
    """What a caller finds about a text.

    Attributes:
        own: The text answers the caller's own prompt.
        whole: The text is the whole answer of the version, no word missing.
        good: The whole answer is a good one.
    """

    own: bool
    whole: bool
    good: bool


def prompt_digest(prompt: str) -> str:
    """Returns 16 hex digits that stand for a prompt."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def prompt_difficulty(prompt: str) -> str:
    """Returns `hard` for long prompts, else `easy`."""
    return HARD if len(prompt.split()) >= HARD_PROMPT_WORDS else EASY


def prompt_kind(prompt: str) -> str:
    """Returns the kind named by `kind:NAME` in the prompt, or ''."""
    found = KIND_MARK.search(prompt)
    return found.group(1) if found else ""


def last_user_message(messages: Sequence[Mapping[str, Any]]) -> str:
    """Returns the last user message, which is what an answer depends on."""
    for message in reversed(messages):
        if message.get("role") == "user":
            return text_of(message.get("content"))
    return ""


def text_of(content: Any) -> str:
    """Returns the text of a message's content, plain or in parts."""
    if isinstance(content, list):
        return " ".join(str(part.get("text", "")) for part in content)
    return str(content or "")


def answer_length(prompt: str) -> int:
    """Returns the number of words of any answer to a prompt.

    `words:N` in the prompt sets it.
    """
    mark = LENGTH_MARK.search(prompt)
    if mark:
        return max(1, int(mark.group(1)))
    spread = ANSWER_SPREAD[prompt_difficulty(prompt)]
    return SHORTEST_ANSWER + xxhash.xxh3_64_intdigest(prompt.encode()) % spread


def answer_words(prompt: str, version: str, good: bool) -> list[str]:
    """Returns the words of an answer; the first names the prompt.

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
        return [f"re-{digest}", GIVE_UP_WORD]
    return words_from_digest(digest, version, good, answer_length(prompt))


def words_from_digest(
    digest: str, version: str, good: bool, length: int
) -> list[str]:
    """Returns `length` words of the answer to the prompt with a digest."""
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
    """Checks that a text is a whole answer to its own prompt.

    Args:
        text: Answer as received.
        prompt: Last user message of the request.
        version: `model@version` that answered.
        max_tokens: Bound that the request stated; a longer answer is whole
            when it has exactly so many words.
    """
    words = text.split()
    own = bool(words) and words[0] == f"re-{prompt_digest(prompt)}"
    for good in (True, False):
        if words == answer_words(prompt, version, good)[:max_tokens]:
            return AnswerCheck(own=own, whole=own, good=good)
    return AnswerCheck(own=own, whole=False, good=False)


def rate_answer(text: str, version: str) -> bool:
    """Tells whether a text is a good answer, from its first word alone."""
    words = text.split()
    if not words or not words[0].startswith("re-"):
        return False
    digest = words[0].removeprefix("re-")
    return words == words_from_digest(digest, version, True, len(words))


def hash_fraction(seed: int, *parts: str) -> float:
    """Returns a number in [0, 1) that depends on the arguments alone."""
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
    """Tells whether a version answers a prompt well; the oracle reads this."""
    share = quality.hard if difficulty == HARD else quality.easy
    return hash_fraction(seed, digest, version, kind, difficulty) < share


def good_for_prompt(
    seed: int, prompt: str, version: str, quality: Quality
) -> bool:
    """Applies `is_good` to the kind and difficulty that a prompt shows."""
    return is_good(
        seed,
        prompt_digest(prompt),
        version,
        prompt_kind(prompt),
        prompt_difficulty(prompt),
        quality,
    )
