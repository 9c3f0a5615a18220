"""Server-sent events of the engine stand-in."""

import json
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from amaranthlug_standins.batch import Run
from amaranthlug_standins.standin import reset

if TYPE_CHECKING:
    from amaranthlug_standins.engine import EngineStandIn

END_MARK = b"data: [DONE]\n\n"
TOKEN_TAIL = ' "},"finish_reason":null}]}\n\n'


def usage(run: Run) -> dict[str, int]:
    """Returns the usage of a run in the OpenAI shape."""
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.generated(),
        "total_tokens": run.prompt_tokens + run.generated(),
        "cached_tokens": run.cached_tokens,
    }


class StreamWriter:
    """Writes a run's tokens, several in one block when they come fast.

    The fixed part of an event is built once for each stream, because a token
    then costs one concatenation and an engine can stream well above 10,000
    tokens a second.
    """

    def __init__(self, engine: "EngineStandIn", run: Run, sock: Any):
        """Creates a writer that takes over from any earlier reader."""
        self.engine = engine
        self.run = run
        self.sock = sock
        run.reader += 1
        run.unread_since = None
        self.reader = run.reader
        self.head = (
            f'data: {{"id":{json.dumps(run.request_id)},'
            '"object":"chat.completion.chunk",'
            f'"created":{int(run.started_at)},'
            f'"model":{json.dumps(run.version)},"choices":[{{"index":0,'
        )
        self.token_head = self.head + '"delta":{"content":"'

    def token_events(self, start: int, end: int) -> str:
        """Returns the events of tokens `start` up to `end`."""
        head, tail = self.token_head, TOKEN_TAIL
        return "".join(
            [f"{head}{word}{tail}" for word in self.run.words[start:end]]
        )

    def end_events(self) -> bytes:
        """Returns the finish chunk with the usage and the end marker."""
        event = (
            f'{self.head}"delta":{{}},"finish_reason":"stop"}}],'
            f'"usage":{json.dumps(usage(self.run))}}}\n\n'
        )
        return event.encode() + END_MARK

    def events(self, sent: int) -> Iterator[bytes]:
        """Yields events from token `sent` on until the run ends.

        A run that ends otherwise than complete breaks the connection.
        """
        run = self.run
        cut_after = self.engine.faults.get("cut_after")
        try:
            while run.reader == self.reader:
                self.hold()
                end = run.position
                if cut_after is not None and end >= int(cut_after):
                    yield self.token_events(sent, int(cut_after)).encode()
                    break
                if end > sent:
                    yield self.token_events(sent, end).encode()
                    sent = end
                if run.outcome == "complete" and sent >= len(run.words):
                    yield self.end_events()
                    return
                if run.outcome not in ("running", "complete"):
                    break
                run.changed.wait()
                run.changed.clear()
            reset(self.sock)
        finally:
            self.left()

    def hold(self) -> None:
        """Sends nothing while frozen, or for good when silenced."""
        self.engine.hold_while_frozen()
        self.engine.hold_if_silent(self.sock)

    def left(self) -> None:
        """Notes that the reader of a running stream went away."""
        run = self.run
        if run.reader == self.reader and run.outcome == "running":
            run.unread_since = time.monotonic()

    def wait_whole(self) -> bool:
        """Waits for the whole answer; breaks the connection on failure."""
        run = self.run
        cut_after = self.engine.faults.get("cut_after")
        while run.outcome == "running":
            self.hold()
            if cut_after is not None and run.position >= int(cut_after):
                run.end("cancelled")
                break
            run.changed.wait()
            run.changed.clear()
        self.hold()
        if run.outcome != "complete":
            reset(self.sock)
        return run.outcome == "complete"
