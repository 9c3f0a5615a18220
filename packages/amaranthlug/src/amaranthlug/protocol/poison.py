"""Requests suspected of crashing the upstreams that run them."""

from typing import Protocol

import msgspec
import xxhash
from result import Ok, Result

from amaranthlug.protocol.services import RoutedRequest
from amaranthlug.state.refusal import Refusal


class Suspects(Protocol):
    """Digests of requests after which an upstream crashed."""

    def admit(self, digest: str) -> Result[None, Refusal]:
        """Refuses a condemned digest; a suspected one waits to run alone."""
        ...

    def record_crash(self, digest: str, address: str) -> bool:
        """Counts a crash of an upstream while it ran the digest.

        Returns:
            False when the upstream turned out to run on.
        """
        ...

    def finished(self, digest: str) -> None:
        """Ends a run that `admit` let pass."""
        ...


class NoSuspects:
    """Suspects nothing; for parts that run without rumours."""

    def admit(self, digest: str) -> Result[None, Refusal]:
        """Admits every digest."""
        return Ok(None)

    def record_crash(self, digest: str, address: str) -> bool:
        """Takes each lost connection for a crash."""
        return True

    def finished(self, digest: str) -> None:
        """Ignores an end."""


def poison_digest(request: RoutedRequest) -> str:
    """Returns the hash of organisation and messages."""
    content = [request.organisation.name, request.body.get("messages")]
    raw = msgspec.json.encode(content, order="deterministic")
    return xxhash.xxh3_64_hexdigest(raw)
