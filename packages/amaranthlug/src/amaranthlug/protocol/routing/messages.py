"""Typed requests, answers and failures between the border and the servers."""

import dataclasses
import enum
from typing import Protocol

from amaranthlug.state.routing.servers import ServerEntry

HeaderList = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share; `tokens` long."""

    part_id: str
    tokens: int


@dataclasses.dataclass
class RoutedRequest:
    """A request at the border.

    Attributes:
        request_id: The caller's id of this attempt; echoed by servers.
        method: Such as `GET`.
        host: Host that the caller named.
        target: Path and query as sent.
        key: API key, None without one.
        deadline: Boot clock at which the caller stops waiting, in seconds.
        arrived: Boot clock at its first byte, in seconds.
        passed: Headers that go on to the server unchanged.
        body: Whole body.
        model: Model that the caller names, None without one.
        prompt_tokens: Tokens of the prompt, 0 if unknown.
        output_tokens: Most tokens to generate, 0 if unknown.
        length_hint: Tokens that the caller expects to be generated, 0 if
            unknown; often far off.
        prompt: Parts of the prompt in order.
        last_event: Id of the last event that the caller has, None at first.
        session: Requests that belong together bear the same one.
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
        """Returns the last part of the prompt that others share."""
        if len(self.prompt) > 1:
            return self.prompt[-2].part_id
        return self.prompt[0].part_id if self.prompt else None


@dataclasses.dataclass(frozen=True)
class UpstreamCall:
    """One sending of a request to one server.

    Attributes:
        request: The caller's request.
        server: The life of the server that must answer.
        organisation: Holder of the key, None for anonymous requests.
        left_s: Time that the server may take, in seconds.
        repeatable: The request may run more than once.
        model: Model that the server is to use, None as the caller says.
        urgency: 0 is first, 9 last; None: the server's default.
        last_event: Event after which a stream goes on.
    """

    request: RoutedRequest
    server: ServerEntry
    organisation: str | None
    left_s: float
    repeatable: bool
    model: str | None = None
    urgency: int | None = None
    last_event: str | None = None


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Requests that a server runs and keeps waiting."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass
class ReplyHead:
    """What a server says before the body.

    Attributes:
        status: HTTP status.
        passed: Headers that go to the caller unchanged.
        request_id: Id of the request that it answers, None if it names none.
        not_run: The server states that the request did not run.
        sealed: The answer bears the server's signature.
        load: Load of the server, if told.
        confidence: The model's opinion of its answer, 0 to 100.
        idle_s: Time for which the server keeps an idle connection.
        encoded: The body has a content encoding that nobody asked for.
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


class FailureKind(enum.Enum):
    """How a sending failed."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    FAILED = "failed"
    WEAK = "weak"


class UpstreamCallError(Exception):
    """A sending that gave no usable answer."""

    def __init__(self, kind: FailureKind, message: str):
        """Keeps what decides whether the request may be sent again."""
        super().__init__(message)
        self.kind = kind

    @property
    def may_have_run(self) -> bool:
        """Tells whether the server may have begun the request."""
        return self.kind not in (FailureKind.NOT_SENT, FailureKind.NOT_RUN)


class UpstreamReply(Protocol):
    """An answer that is being read."""

    head: ReplyHead

    def read(self, timeout_s: float) -> bytes | None:
        """Returns a piece of the body, None at its end.

        Raises:
            TimeoutError: Nothing came in time.
            UpstreamCallError: The answer broke.
        """
        ...

    def close(self) -> None:
        """Ends the exchange; an unfinished request stops at the server."""
        ...


class ServerPort(Protocol):
    """Sends requests to servers."""

    def send(self, call: UpstreamCall) -> "SentCall":
        """Sends a request.

        Raises:
            UpstreamCallError: It was not sent, or the connection broke.
        """
        ...

    def is_reachable(self, server: ServerEntry) -> bool:
        """Tells whether a server's VM takes a new connection."""
        ...


class SentCall(Protocol):
    """A request that a server has received or may have."""

    def reply(self, timeout_s: float) -> UpstreamReply:
        """Waits for the head of the answer.

        Raises:
            TimeoutError: No head came in time; it may be asked for again.
            UpstreamCallError: The connection or the answer broke.
        """
        ...

    def close(self) -> None:
        """Gives up on the answer."""
        ...


@dataclasses.dataclass(frozen=True)
class LocalReply:
    """An answer of the node itself.

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 promise "not run".
        reason: Word for logs and counters.
        message: What happened and what the caller can do.
        retry_after_s: When to come back, in seconds.
    """

    status: int
    reason: str
    message: str
    retry_after_s: float | None = None


class AnswerWriter(Protocol):
    """Writes the answer to a caller."""

    def send_local_reply(self, answer: LocalReply) -> None:
        """Sends an answer of the node itself."""
        ...

    def send_response(self, head: ReplyHead, body: bytes) -> None:
        """Sends a server's whole answer."""
        ...

    def start_stream(self, head: ReplyHead, data: bytes) -> None:
        """Begins a server's stream."""
        ...

    def send_chunk(self, data: bytes) -> None:
        """Sends more of the stream."""
        ...

    def end_stream(self) -> None:
        """Completes the stream."""
        ...
