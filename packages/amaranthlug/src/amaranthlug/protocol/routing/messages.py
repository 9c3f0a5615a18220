"""Requests, answers and failures between the HTTP layer and the servers."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from amaranthlug.state.routing.servers import ServerEntry

HeaderList = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass
class RoutedRequest:
    """A request as received from the caller.

    Attributes:
        request_id: The caller's id of this attempt; servers echo it.
        method: Such as `GET`.
        host: Host that the caller named.
        target: Path and query as sent.
        key: API key, None if the caller sent none.
        deadline: Boot clock at which the caller stops waiting, in seconds.
        arrived: Boot clock at its first byte, in seconds.
        forwarded_headers: Headers sent to the server unchanged.
        body: Complete body.
        model: Model that the caller named, None if none.
        prompt_tokens: Tokens of the prompt, 0 if unknown.
        output_tokens: Maximum number of tokens to generate, 0 if unknown.
        length_hint: Caller's estimate of the tokens to be generated, 0 if
            unknown; often inaccurate.
        prompt: Parts of the prompt in order.
        last_event: Id of the last event that the caller received, None if it
            starts a stream.
        session: Id shared by related requests, None without a session.
    """

    request_id: str
    method: str
    host: str
    target: str
    key: str | None
    deadline: float
    arrived: float
    forwarded_headers: HeaderList
    body: bytes
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event: str | None = None
    session: str | None = None

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.split("?", 1)[0]

    @property
    def subject(self) -> str | None:
        """Returns the id of the last shareable part; None without a prompt."""
        if len(self.prompt) > 1:
            return self.prompt[-2].part_id
        return self.prompt[0].part_id if self.prompt else None


@dataclasses.dataclass(frozen=True)
class UpstreamCall:
    """One attempt to send a request to one server.

    Attributes:
        request: The caller's request.
        server: The server instance that must answer.
        organisation: Organisation that holds the key, None if anonymous.
        remaining_s: Remaining time for the server to answer, in seconds.
        repeatable: The request may run more than once.
        model: Model to request, None for the one that the caller named.
        urgency: Rank from 0, first, to 9, last; None for the server's
            default.
        last_event: Id of the event after which a stream resumes.
        may_send: Returns whether the request may still be sent; asked once the
            connection is open.
    """

    request: RoutedRequest
    server: ServerEntry
    organisation: str | None
    remaining_s: float
    repeatable: bool
    model: str | None = None
    urgency: int | None = None
    last_event: str | None = None
    may_send: Callable[[], bool] = lambda: True


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Requests that a server runs and queues.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that it queues.
        slots: Requests that it runs concurrently.
        work_percent: How long work takes on its machine at this moment, in
            percent of the usual time; None if not stated. It changes many
            times a second, so that it is logged and nothing is decided by it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None


class BodyFraming(enum.Enum):
    """How the end of a body is told; values appear in logs."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """The body ends when the server closes the connection."""


@dataclasses.dataclass
class ReplyHead:
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        forwarded_headers: Headers sent to the caller unchanged.
        request_id: Id of the answered request, None if not stated.
        not_run: The server states that the request did not run.
        sealed: The answer has the server's seal header.
        load: Load of the server, None if not stated.
        confidence: The model's confidence in its answer, 0 to 100, None if
            not stated.
        idle_s: Time for which the server keeps an idle connection, in
            seconds, None if not stated.
        encoded: The body has a content encoding that was not requested.
        leaving: The server leaves and wants no new request.
        retry_after_s: Time for which it wants no request after one that it
            refused, in seconds, None if not stated.
        max_refusals: Requests that the server, which is brittle, may turn away
            in one second before it falls over; None if it is not brittle.
        limit: Requests a second that the server takes from all nodes together,
            None if it names no limit.
        content_type: Media type of the body without parameters, in lower case;
            empty if not stated.
        framing: How the end of the body is told.
    """

    status: int
    forwarded_headers: HeaderList
    request_id: str | None = None
    not_run: bool = False
    sealed: bool = False
    load: ServerLoad | None = None
    confidence: int | None = None
    idle_s: float | None = None
    encoded: bool = False
    leaving: bool = False
    retry_after_s: float | None = None
    max_refusals: float | None = None
    limit: float | None = None
    content_type: str = ""
    framing: BodyFraming = BodyFraming.LENGTH


class FailureKind(enum.Enum):
    """How an attempt failed; values appear in logs and metrics.

    `WEAK` is an answer of low confidence that a larger model should replace.
    `REPLACED` is the refusal of another instance at the server's address.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    REPLACED = "replaced"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    FAILED = "failed"
    WEAK = "weak"


class UpstreamCallError(Exception):
    """An attempt that gave no usable answer.

    Attributes:
        kind: Decides whether a retry is safe.
        path_lost: The path through another node was lost, so that the failure
            tells nothing of the server.
    """

    def __init__(
        self, kind: FailureKind, message: str, path_lost: bool = False
    ):
        """Creates the error of an attempt."""
        super().__init__(message)
        self.kind = kind
        self.path_lost = path_lost

    @property
    def may_have_run(self) -> bool:
        """Returns whether the server may have started to run the request."""
        return self.kind not in (
            FailureKind.NOT_SENT,
            FailureKind.NOT_RUN,
            FailureKind.REPLACED,
        )


class UpstreamReply(Protocol):
    """An answer that is being read."""

    head: ReplyHead

    def read(self, timeout_s: float) -> bytes | None:
        """Returns the next part of the body, None at its end.

        Raises:
            TimeoutError: Nothing arrived within `timeout_s` seconds.
            UpstreamCallError: The answer broke.
        """
        ...

    def close(self) -> None:
        """Ends the exchange; the server stops an unfinished request."""
        ...


class PathState(enum.Enum):
    """What a new connection shows of the path to a server."""

    OPEN = "open"
    REFUSED = "refused"
    CLOSED = "closed"
    """It was accepted and closed before a request was sent."""
    UNKNOWN = "unknown"
    """Nothing answered."""


class ServerPort(Protocol):
    """A client that sends requests to servers."""

    def send(self, call: UpstreamCall) -> "SentCall":
        """Sends a request without waiting for its answer.

        Raises:
            UpstreamCallError: It was not sent, or the connection broke.
        """
        ...

    def is_reachable(self, server: ServerEntry) -> bool:
        """Returns whether a new connection to a server can be opened."""
        ...

    def is_path_alive(self, server: ServerEntry, through_peer: bool) -> bool:
        """Returns whether an open connection to a server may still work.

        Args:
            server: The server.
            through_peer: The connection leads through another node.
        """
        ...

    def is_link_lost(self, server: ServerEntry) -> bool:
        """Returns whether only other nodes reach a server."""
        ...

    def check_path(self, server: ServerEntry) -> PathState:
        """Returns what new connections of this node and others show."""
        ...


class SentCall(Protocol):
    """A request that was sent and may have reached the server.

    Attributes:
        peer: Name of the node through which it was sent, None if directly.
    """

    peer: str | None

    def reply(self, timeout_s: float) -> UpstreamReply:
        """Waits for the head of the answer.

        Raises:
            TimeoutError: No head arrived within `timeout_s` seconds; the
                call may be repeated.
            UpstreamCallError: The connection or the answer broke.
        """
        ...

    def close(self) -> None:
        """Abandons the request and its answer."""
        ...


@dataclasses.dataclass(frozen=True)
class LocalReply:
    """A reply of the node itself, without a server's answer.

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 promise that the request
            did not run.
        reason: Outcome name in logs and metrics.
        message: Explanation for the caller.
        retry_after_s: Time after which the caller may retry, in seconds.
    """

    status: int
    reason: str
    message: str
    retry_after_s: float | None = None


class AnswerWriter(Protocol):
    """Writes the answer to a caller."""

    def send_local_reply(self, answer: LocalReply) -> None:
        """Sends a reply of the node itself."""
        ...

    def send_response(self, head: ReplyHead, body: bytes) -> None:
        """Sends a complete answer of a server."""
        ...

    def start_stream(self, head: ReplyHead, data: bytes) -> None:
        """Sends the head and the first data of a server's stream."""
        ...

    def send_chunk(self, data: bytes) -> None:
        """Sends more of the stream."""
        ...

    def end_stream(self) -> None:
        """Completes the stream."""
        ...
