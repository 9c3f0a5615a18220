"""Interfaces of model engines and plain services towards the request path."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class UpstreamError:
    """A call to an upstream failed.

    Attributes:
        address: The upstream.
        reason: Short name used in the counter `retried.REASON`: `connect`,
            `reset`, `timeout`, `status`, `draining`, `cut`, `malformed`.
        message: What happened.
        not_received: No byte of the request can have reached the upstream.
        retry_after_s: Wait asked for by the upstream.
        reused: No byte came back on a connection that was idle before, so
            that the connection may be what failed and not the upstream.
    """

    address: str
    reason: str
    message: str
    not_received: bool = False
    retry_after_s: float | None = None
    reused: bool = False


@dataclasses.dataclass
class EngineCall:
    """One request to an engine.

    Attributes:
        request_id: Identifier that the engine echoes and counts.
        body: OpenAI request body; `model` is `model@version`.
        first_byte_timeout_s: Limit for the first token, in seconds.
        read_timeout_s: Limit between two reads, in seconds.
        resume_after_tokens: Tokens already received of a stream that this
            engine still runs; `open` resumes it instead of starting a new one.
        organisation: Name sent in the header `X-Organisation`.
        fresh: Use no idle connection.
    """

    request_id: str
    body: dict[str, Any]
    first_byte_timeout_s: float
    read_timeout_s: float
    resume_after_tokens: int | None = None
    organisation: str = ""
    new_connection: bool = False


class EngineStream(Protocol):
    """An open stream of server-sent events as raw bytes."""

    def blocks(self) -> Iterator[bytes]:
        """Yields blocks that end at event boundaries.

        Raises:
            StreamCutError: The stream ended without its end marker or went
                silent.
        """
        ...

    def close(self) -> None:
        """Closes the connection; it is not reused unless the end was read."""
        ...


class StreamCutError(Exception):
    """A stream ended early; `error` says why."""

    def __init__(self, error: UpstreamError):
        """Wraps the typed error."""
        super().__init__(error.message)
        self.error = error


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reported, `age_s` seconds old."""

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    age_s: float
    versions: tuple[str, ...]
    draining: bool


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine; `fence` is the offset of the holder's lease."""

    order_id: str
    action: str
    version: str
    fence: int
    holder: str


class Engine(Protocol):
    """All model engines, addressed one by one."""

    def open(
        self, address: str, call: EngineCall
    ) -> Result[EngineStream, UpstreamError]:
        """Starts a streamed answer and returns it after the first byte."""
        ...

    def cancel(self, address: str, request_id: str) -> None:
        """Stops a stream upstream; errors are logged only."""
        ...

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the reported load."""
        ...

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, role, fence and applied orders."""
        ...

    def order(
        self, address: str, order: Order
    ) -> Result[dict[str, Any], UpstreamError]:
        """Gives an order."""
        ...


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(Protocol):
    """All plain services, addressed one by one."""

    def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[ServiceAnswer, UpstreamError]:
        """Sends a call and returns the whole answer."""
        ...
