"""Interface to the register of requests suspected of crashing upstreams."""

from typing import Protocol

import msgspec
import xxhash
from result import Ok, Result

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.state.refusal import Refusal


class Suspects(Protocol):
    """Requests, by digest, during which an upstream crashed."""

    def admit(self, digest: str) -> Result[None, Refusal]:
        """Refuses a blocked request; a suspected one is admitted."""
        ...

    def record_crash(self, digest: str, address: str) -> bool:
        """Records that an upstream crashed while it ran a request.

        Returns:
            False if the upstream turned out not to have crashed.
        """
        ...

    def finished(self, digest: str) -> None:
        """Ends a run that `admit` allowed."""
        ...


class NoSuspects:
    """Suspects no request; for use without a fleet."""

    def admit(self, digest: str) -> Result[None, Refusal]:
        """Admits every request."""
        return Ok(None)

    def record_crash(self, digest: str, address: str) -> bool:
        """Counts each lost connection as a crash."""
        return True

    def finished(self, digest: str) -> None:
        """Does nothing."""


def poison_digest(request: ChatRequest) -> str:
    """Hashes the organisation and the messages of a request."""
    content = [request.organisation.name, request.body.get("messages")]
    raw = msgspec.json.encode(content, order="deterministic")
    return xxhash.xxh3_64_hexdigest(raw)
