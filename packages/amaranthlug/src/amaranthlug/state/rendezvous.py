"""Rendezvous hashing of nodes."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(topic: str, incarnations: Iterable[str]) -> list[str]:
    """Returns incarnations by their hash with a topic, highest first."""
    return sorted(
        incarnations,
        key=lambda incarnation: xxhash.xxh3_64_intdigest(
            f"{topic}|{incarnation}".encode()
        ),
        reverse=True,
    )
