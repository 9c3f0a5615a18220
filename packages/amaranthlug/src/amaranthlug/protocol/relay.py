"""Server-sent events of a chat completion: counting, text and encoding."""

import time
from typing import Any

import msgspec

END_MARKER = b"data: [DONE]\n\n"
DECODE_BATCH_BYTES = 8_192
"""Size at which pending bytes are decoded, which limits memory use."""


class Delta(msgspec.Struct):
    """Text that a chunk adds to the message."""

    content: str | None = None


class ChunkChoice(msgspec.Struct):
    """Choice of a chunk; the router requests only one choice."""

    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """Fields of a `chat.completion.chunk` that the meter reads."""

    choices: list[ChunkChoice] = []
    usage: dict[str, Any] | None = None
    error: Any = None


DECODER = msgspec.json.Decoder(Chunk)
BATCH_DECODER = msgspec.json.Decoder(list[Chunk])


def split_events(block: bytes) -> list[bytes]:
    """Splits a block into events, each with its closing blank line."""
    return [part + b"\n\n" for part in block.split(b"\n\n") if part.strip()]


def event_data(event: bytes) -> bytes:
    """Returns the data of an event, empty for a comment."""
    return b"".join(
        line[5:].strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    )


def encode_event(message: Any) -> bytes:
    """Encodes a message as a server-sent event."""
    return b"data: " + msgspec.json.encode(message) + b"\n\n"


class AnswerMeter:
    """Counts the tokens and collects the text of one streamed answer.

    Most blocks are passed on unparsed and decoded later in batches. Blocks that
    may hold usage, an error or the end marker are split into events
    immediately.

    Attributes:
        usage_event: Last event with usage, held back so that the router can
            add its own usage to it.
        ended: The end marker was received.
    """

    def __init__(self) -> None:
        """Creates a meter of an answer without tokens."""
        self.pending_blocks: list[bytes] = []
        self.pending_bytes = 0
        self.text_parts: list[str] = []
        self.token_count = 0
        self.finish_reason = "stop"
        self.usage: dict[str, Any] = {}
        self.usage_event = b""
        self.error: Any = None
        self.ended = False

    def feed(self, block: bytes) -> bytes:
        """Adds a block; returns the bytes that can be passed on now."""
        if (
            b'"usage"' in block
            or b'"error"' in block
            or block.endswith(END_MARKER)
        ):
            return b"".join([self.feed_event(e) for e in split_events(block)])
        self.pending_blocks.append(block)
        self.pending_bytes += len(block)
        if self.pending_bytes > DECODE_BATCH_BYTES:
            self.decode_pending()
        return block

    def feed_event(self, event: bytes) -> bytes:
        """Adds one event; holds back the last one with usage."""
        if event == END_MARKER:
            self.ended = True
            return b""
        chunk = self.decode_event(event_data(event))
        if chunk is None or chunk.error is not None:
            return b""
        if chunk.usage is None:
            held, self.usage_event = self.usage_event, b""
            return held + event
        self.usage = chunk.usage
        held, self.usage_event = self.usage_event, event
        return held

    def decode_event(self, payload: bytes) -> Chunk | None:
        """Decodes and adds one event; None if it is empty or malformed."""
        if not payload:
            return None
        self.decode_pending()
        return self.add_payload(payload)

    def add_payload(self, payload: bytes) -> Chunk | None:
        """Decodes and adds the data of an event; sets `error` if malformed."""
        try:
            chunk = DECODER.decode(payload)
        except msgspec.MsgspecError as error:
            self.error = f"malformed event: {error}"
            return None
        self.add_chunk(chunk)
        return chunk

    def add_chunk(self, chunk: Chunk) -> None:
        """Adds a decoded event."""
        if chunk.error is not None:
            self.error = chunk.error
        for choice in chunk.choices:
            if choice.delta is not None and choice.delta.content:
                self.token_count += 1
                self.text_parts.append(choice.delta.content)
            if choice.finish_reason:
                self.finish_reason = choice.finish_reason

    def decode_pending(self) -> None:
        """Decodes the blocks that were not decoded yet."""
        if not self.pending_blocks:
            return
        data, self.pending_blocks, self.pending_bytes = (
            b"".join(self.pending_blocks),
            [],
            0,
        )
        # Decoding one array costs a third of decoding event by event. JSON
        # text has no raw line breaks, so each match is an event boundary.
        array = data[6:-2].replace(b"\n\ndata: ", b",")
        try:
            chunks = BATCH_DECODER.decode(b"[" + array + b"]")
        except msgspec.MsgspecError:
            self.decode_events(data)
            return
        for chunk in chunks:
            self.add_chunk(chunk)

    def decode_events(self, data: bytes) -> None:
        """Decodes events one by one, such as those with comments."""
        for event in data.split(b"\n\n"):
            payload = event_data(event)
            if payload:
                self.add_payload(payload)

    @property
    def tokens(self) -> int:
        """Tokens received so far."""
        self.decode_pending()
        return self.token_count

    @property
    def text(self) -> str:
        """Text received so far."""
        self.decode_pending()
        if len(self.text_parts) > 1:
            self.text_parts = ["".join(self.text_parts)]
        return self.text_parts[0] if self.text_parts else ""

    def usage_body(self, prompt_tokens: int) -> dict[str, int]:
        """Returns usage in the OpenAI format, with the tokens counted here."""
        prompt = int(self.usage.get("prompt_tokens", prompt_tokens))
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self.tokens,
            "total_tokens": prompt + self.tokens,
        }


def completion_body(
    meter: AnswerMeter,
    request_id: str,
    version: str,
    usage: dict[str, int],
    extra: dict[str, Any],
) -> dict[str, Any]:
    """Returns the body of a complete answer in the OpenAI format."""
    message = {"role": "assistant", "content": meter.text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": version,
        "choices": [
            {
                "index": 0,
                "message": message,
                "finish_reason": meter.finish_reason,
            }
        ],
        "usage": usage,
        "amaranthlug": extra,
    }


def closing_events(answer: dict[str, Any], usage_event: bytes) -> bytes:
    """Returns the chunk with the usage of an answer and the end marker."""
    if usage_event:
        chunk = msgspec.json.decode(event_data(usage_event))
    else:
        chunk = {
            "id": answer["id"],
            "object": "chat.completion.chunk",
            "created": answer["created"],
            "model": answer["model"],
            "choices": [],
        }
    chunk["usage"] = answer["usage"]
    chunk["amaranthlug"] = answer["amaranthlug"]
    return encode_event(chunk) + END_MARKER


def replay_events(answer: dict[str, Any]) -> bytes:
    """Encodes a stored answer as the events of a stream."""
    choice = answer["choices"][0]
    chunk = {
        "id": answer["id"],
        "object": "chat.completion.chunk",
        "created": answer["created"],
        "model": answer["model"],
        "choices": [
            {
                "index": 0,
                "delta": choice["message"],
                "finish_reason": choice["finish_reason"],
            }
        ],
    }
    return encode_event(chunk) + closing_events(answer, b"")
