"""Interfaces to model engines and plain services."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class UpstreamError:
    """A call to an upstream failed.

    Attributes:
        address: Address of the upstream.
        reason: Short name used in the counter `retried.REASON`: `connect`,
            `reset`, `timeout`, `status`, `draining`, `cut`, `malformed`.
        message: Description of the failure.
        not_received: No byte of the request can have reached the upstream.
        retry_after_s: Wait that the upstream requested, in seconds.
        reused: The request was sent on an idle connection and no byte came
            back, so the connection may have failed and not the upstream.
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
        request_id: Identifier under which the engine runs and counts the
            request.
        body: OpenAI request body; `model` is `model@version`.
        first_byte_timeout_s: Longest wait for the first byte, in seconds.
        read_timeout_s: Longest wait between two reads, in seconds.
        resume_after_tokens: Tokens already received of a stream that this
            engine still runs; `open` resumes it instead of starting a new one.
        organisation: Name sent in the header `X-Organisation`.
        new_connection: Do not use an idle connection.
    """

    request_id: str
    body: dict[str, Any]
    first_byte_timeout_s: float
    read_timeout_s: float
    resume_after_tokens: int | None = None
    organisation: str = ""
    new_connection: bool = False


class EngineStream(Protocol):
    """An open stream of raw server-sent events."""

    def blocks(self) -> Iterator[bytes]:
        """Yields blocks that end at event boundaries.

        Raises:
            StreamCutError: The stream ended without its end marker or went
                silent.
        """
        ...

    def close(self) -> None:
        """Closes the stream; only a fully read connection is reused."""
        ...


class StreamCutError(Exception):
    """A stream ended early; `error` holds the reason."""

    def __init__(self, error: UpstreamError):
        """Creates the exception with the message of the error."""
        super().__init__(error.message)
        self.error = error


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load reported by an engine.

    Attributes:
        running: Requests that generate tokens.
        waiting: Requests in the queue.
        slots: Requests that the engine can run at a time.
        age_s: Age of the report in seconds.
    """

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    age_s: float
    versions: tuple[str, ...]
    draining: bool


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine.

    Attributes:
        fence: Fencing token: the log offset of the holder's lease.
    """

    order_id: str
    action: str
    version: str
    fence: int
    holder: str


class EngineClient(Protocol):
    """Client of all model engines; each call names an address."""

    def open(
        self, address: str, call: EngineCall
    ) -> Result[EngineStream, UpstreamError]:
        """Starts or resumes a stream; returns after the first byte."""
        ...

    def cancel(self, address: str, request_id: str) -> None:
        """Cancels a stream on the engine; errors are only logged."""
        ...

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the load that an engine reports."""
        ...

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, role, fence and applied orders."""
        ...

    def order(
        self, address: str, order: Order
    ) -> Result[dict[str, Any], UpstreamError]:
        """Sends an order and returns the reply of the engine."""
        ...


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """Complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(Protocol):
    """Client of all plain services; each call names an address."""

    def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[ServiceAnswer, UpstreamError]:
        """Sends a request and returns the complete response.

        Args:
            address: Address of the service.
            method: HTTP method.
            path: Path with query.
            headers: Headers to send.
            body: Body to send.
            timeout_s: Longest wait for the response, in seconds.
        """
        ...
