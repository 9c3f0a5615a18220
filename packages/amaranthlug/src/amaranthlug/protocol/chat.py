"""Parses and validates chat requests into `ChatRequest`."""

import dataclasses
import hashlib
import time
import uuid
from typing import Any

import msgspec
import xxhash
from result import Err, Ok, Result

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.state.catalog import Catalog, Organisation, RequestKind
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

DEFAULT_KIND = "default"
"""Kind of requests without `X-Request-Kind`; need not be configured."""

BYTES_PER_TOKEN = 4
"""Average bytes per token, for estimates before the engine reports usage."""

MAX_DEADLINE_MS = 3_600_000
"""Longest deadline in milliseconds; longer ones are cut to it."""

MAX_HEADER_CHARS = 256
"""Maximum length of session identifiers and idempotency keys."""


class ContentPart(msgspec.Struct, forbid_unknown_fields=True):
    """One text part of a message."""

    type: str
    text: str


class Message(msgspec.Struct, forbid_unknown_fields=True):
    """One message of a conversation."""

    role: str
    content: str | list[ContentPart]
    name: str | None = None


class StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a streamed answer."""

    include_usage: bool = False
    include_obfuscation: bool = False


class ChatBody(msgspec.Struct, forbid_unknown_fields=True):
    """Fields of a chat request that the router accepts."""

    model: str
    messages: list[Message]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    n: int | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    logit_bias: dict[str, float] | None = None
    response_format: dict[str, Any] | None = None
    reasoning_effort: str | None = None
    user: str | None = None
    metadata: dict[str, str] | None = None


@dataclasses.dataclass(frozen=True)
class CallerHeaders:
    """Request headers that the router reads; empty if absent."""

    authorization: str = ""
    kind: str = ""
    session_id: str = ""
    idempotency_key: str = ""
    deadline_ms: str = ""
    key_issued_at: str = ""


def bad_request(message: str, remedy: str) -> Err[Refusal]:
    """Returns a refusal of a malformed request."""
    return Err(refuse(RefusalCode.BAD_REQUEST, message, remedy))


def authenticate(
    authorization: str, catalog: Catalog
) -> Result[Organisation, Refusal]:
    """Returns the organisation that the bearer key belongs to."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Err(
            refuse(
                RefusalCode.MISSING_KEY,
                "no bearer key in the header Authorization",
                "send 'Authorization: Bearer KEY'",
            )
        )
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    organisation = catalog.organisation_by_digest(digest)
    if organisation is None:
        return Err(
            refuse(
                RefusalCode.UNKNOWN_KEY,
                "the key belongs to no organisation",
                "check the key or ask the operator for a new one",
            )
        )
    return Ok(organisation)


def body_too_large_refusal(max_bytes: int) -> Refusal:
    """Returns the refusal of a body of more than `max_bytes` bytes."""
    return refuse(
        RefusalCode.BODY_TOO_LARGE,
        f"the body exceeds {max_bytes} bytes",
        "shorten the messages",
    )


def decode_body(raw: bytes) -> Result[tuple[dict, ChatBody], Refusal]:
    """Decodes and validates a body; returns it raw and typed."""
    try:
        body = msgspec.json.decode(raw, type=dict[str, Any])
        chat = msgspec.convert(body, ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return bad_request(
            f"the body is not a valid chat request: {error}",
            "send an OpenAI chat completion request in JSON",
        )
    if not chat.messages:
        return bad_request("messages is empty", "send at least one message")
    if chat.n not in (None, 1):
        return bad_request("n is not 1", "send one request per answer")
    limits = (chat.max_tokens, chat.max_completion_tokens)
    if any(limit is not None and limit < 1 for limit in limits):
        return bad_request(
            "the token limit is below 1", "ask for at least one token"
        )
    return Ok((body, chat))


def find_kind(name: str, catalog: Catalog) -> Result[RequestKind, Refusal]:
    """Returns the configured kind with the name, or the default kind."""
    kind = catalog.kinds.get(name or DEFAULT_KIND)
    if kind is None:
        return Err(
            refuse(
                RefusalCode.UNKNOWN_KIND,
                f"request kind {name or DEFAULT_KIND!r} is not configured",
                "send one of the configured kinds in X-Request-Kind",
            )
        )
    return Ok(kind)


def parse_deadline_s(text: str, kind: RequestKind) -> Result[float, Refusal]:
    """Parses `X-Deadline-Ms`; returns the time allowed in seconds."""
    if not text:
        return Ok(kind.deadline_ms / 1_000)
    try:
        milliseconds = int(text)
    except ValueError:
        return bad_request(
            "X-Deadline-Ms is not a whole number",
            "send the time allowed from receipt in milliseconds",
        )
    if milliseconds <= 0:
        return Err(
            refuse(
                RefusalCode.DEADLINE_PASSED,
                "the deadline has passed",
                "send a later deadline",
            )
        )
    return Ok(min(milliseconds, MAX_DEADLINE_MS) / 1_000)


def parse_issue_time_ms(text: str) -> Result[int | None, Refusal]:
    """Parses `X-Key-Issued-At`, which is in Unix milliseconds."""
    if not text:
        return Ok(None)
    if not text.isascii() or not text.isdigit():
        return bad_request(
            "X-Key-Issued-At is not a whole number",
            "send Unix milliseconds",
        )
    return Ok(int(text))


def message_text(message: Message) -> str:
    """Returns the text of a message, with its parts joined."""
    if isinstance(message.content, str):
        return message.content
    return " ".join(part.text for part in message.content)


def last_user_message(chat: ChatBody) -> str:
    """Returns the last message of the user; ratings compare answers to it."""
    for message in reversed(chat.messages):
        if message.role == "user":
            return message_text(message)
    return ""


def estimate_prompt_tokens(chat: ChatBody) -> int:
    """Estimates the number of tokens in all messages."""
    size = sum(len(message_text(message).encode()) for message in chat.messages)
    return max(1, size // BYTES_PER_TOKEN)


def body_digest(organisation: str, body: dict[str, Any]) -> str:
    """Hashes the organisation and body; the order of fields has no effect."""
    hashed = {
        name: value
        for name, value in body.items()
        if name not in ("stream", "stream_options")
    }
    raw = msgspec.json.encode([organisation, hashed], order="deterministic")
    return xxhash.xxh3_128_hexdigest(raw)


def make_request_id(organisation: str, key: str) -> str:
    """Returns a request identifier; the same key gives the same one."""
    if key:
        return "key-" + xxhash.xxh3_128_hexdigest(
            f"{organisation}|{key}".encode()
        )
    return "req-" + uuid.uuid4().hex


def check_headers(headers: CallerHeaders) -> Result[int | None, Refusal]:
    """Checks header lengths; returns the issue time of the key, if sent."""
    for value in (headers.session_id, headers.idempotency_key):
        if len(value) > MAX_HEADER_CHARS:
            return bad_request(
                "X-Session-Id or Idempotency-Key is too long",
                f"use at most {MAX_HEADER_CHARS} characters",
            )
    return parse_issue_time_ms(headers.key_issued_at)


def parse_chat(
    raw: bytes, headers: CallerHeaders, catalog: Catalog
) -> Result[ChatRequest, Refusal]:
    """Authenticates, parses and validates a request."""
    found = authenticate(headers.authorization, catalog)
    if isinstance(found, Err):
        return found
    organisation = found.ok_value
    decoded = decode_body(raw)
    if isinstance(decoded, Err):
        return decoded
    body, chat = decoded.ok_value
    kind = find_kind(headers.kind, catalog)
    if isinstance(kind, Err):
        return kind
    time_left_s = parse_deadline_s(headers.deadline_ms, kind.ok_value)
    if isinstance(time_left_s, Err):
        return time_left_s
    issue_time_ms = check_headers(headers)
    if isinstance(issue_time_ms, Err):
        return issue_time_ms
    return Ok(
        ChatRequest(
            request_id=make_request_id(
                organisation.name, headers.idempotency_key
            ),
            organisation=organisation,
            kind=kind.ok_value,
            model=chat.model,
            body=body,
            stream=bool(chat.stream),
            deadline=time.monotonic() + time_left_s.ok_value,
            prompt_tokens=estimate_prompt_tokens(chat),
            digest=body_digest(organisation.name, body),
            prompt=last_user_message(chat),
            session_id=headers.session_id,
            idempotency_key=headers.idempotency_key,
            key_issued_ms=issue_time_ms.ok_value,
        )
    )


def output_token_limit(request: ChatRequest) -> int:
    """Returns the maximum number of tokens in the answer."""
    body = request.body
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    return limit or request.kind.max_output_tokens
