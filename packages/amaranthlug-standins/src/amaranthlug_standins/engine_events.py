"""Server-sent events of the engine stand-in."""

import json
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from amaranthlug_standins.batch import Run
from amaranthlug_standins.standin import reset_socket

if TYPE_CHECKING:
    from amaranthlug_standins.engine import EngineStandIn

END_EVENT = b"data: [DONE]\n\n"
TOKEN_EVENT_END = ' "},"finish_reason":null}]}\n\n'


def usage(run: Run) -> dict[str, int]:
    """Returns the usage of a run in the OpenAI shape."""
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.count_generated(),
        "total_tokens": run.prompt_tokens + run.count_generated(),
        "cached_tokens": run.cached_tokens,
    }


class StreamWriter:
    """Writes the tokens of a run as events.

    Tokens that are generated together are written in one block. The fixed part
    of an event is built once for each stream, so that a token costs one
    concatenation and an engine can stream well above 10,000 tokens a second.
    """

    def __init__(self, engine: "EngineStandIn", run: Run, sock: Any):
        """Creates a writer that replaces an earlier one of the same run."""
        self.engine = engine
        self.run = run
        self.sock = sock
        run.reader += 1
        run.unread_since = None
        self.reader = run.reader
        self.event_start = (
            f'data: {{"id":{json.dumps(run.request_id)},'
            '"object":"chat.completion.chunk",'
            f'"created":{int(run.started_at)},'
            f'"model":{json.dumps(run.version)},"choices":[{{"index":0,'
        )
        self.token_event_start = self.event_start + '"delta":{"content":"'

    def token_events(self, start: int, end: int) -> str:
        """Returns the events of the tokens from `start` to before `end`."""
        start_text, end_text = self.token_event_start, TOKEN_EVENT_END
        return "".join(
            [
                f"{start_text}{word}{end_text}"
                for word in self.run.words[start:end]
            ]
        )

    def end_events(self) -> bytes:
        """Returns the last chunk, with the usage, and the end event."""
        event = (
            f'{self.event_start}"delta":{{}},"finish_reason":"stop"}}],'
            f'"usage":{json.dumps(usage(self.run))}}}\n\n'
        )
        return event.encode() + END_EVENT

    def events(self, sent: int) -> Iterator[bytes]:
        """Yields the events from token `sent` on until the run ends.

        The connection is reset if the run does not complete, if another reader
        takes over, or by the fault `cut_after`.
        """
        run = self.run
        cut_after = self.engine.faults.get("cut_after")
        try:
            while run.reader == self.reader:
                self.wait_while_faulty()
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
            reset_socket(self.sock)
        finally:
            self.mark_unread()

    def wait_while_faulty(self) -> None:
        """Blocks while frozen, or until shutdown if silenced."""
        self.engine.wait_while_frozen()
        self.engine.block_if_silenced(self.sock)

    def mark_unread(self) -> None:
        """Records when the current reader of a running stream left."""
        run = self.run
        if run.reader == self.reader and run.outcome == "running":
            run.unread_since = time.monotonic()

    def wait_until_complete(self) -> bool:
        """Waits for the run to end; resets the connection on failure.

        Returns:
            Whether the run completed.
        """
        run = self.run
        cut_after = self.engine.faults.get("cut_after")
        while run.outcome == "running":
            self.wait_while_faulty()
            if cut_after is not None and run.position >= int(cut_after):
                run.end("cancelled")
                break
            run.changed.wait()
            run.changed.clear()
        self.wait_while_faulty()
        if run.outcome != "complete":
            reset_socket(self.sock)
        return run.outcome == "complete"
