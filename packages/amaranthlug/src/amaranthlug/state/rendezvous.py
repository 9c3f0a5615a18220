"""Rendezvous hashing of nodes."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(topic: str, incarnations: Iterable[str]) -> list[str]:
    """Returns incarnations in rendezvous order for a topic, highest first."""
    return sorted(
        incarnations,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{topic}|{name}".encode()),
        reverse=True,
    )
