"""Delivers the answer of a step: relayed as it comes, or whole."""

import dataclasses
import time
from collections.abc import Callable, Iterator
from typing import Any

from amaranthlug.protocol.attempt import Attempt
from amaranthlug.protocol.callers import CHECK_S, CallerDisconnectedError
from amaranthlug.protocol.relay import (
    closing_events,
    render,
    whole_answer,
)
from amaranthlug.protocol.sender import Sender, StepRun
from amaranthlug.protocol.settlement import Settlement
from amaranthlug.protocol.upstream import StreamCutError
from amaranthlug.state.catalog import Version
from amaranthlug.state.refusal import Refusal


class RelayFailedError(Exception):
    """A stream could not be completed; `refusal` says why."""

    def __init__(self, refusal: Refusal):
        """Wraps the refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


class Relay:
    """The stream of one step over all attempts that continue it."""

    def __init__(
        self, sender: Sender, step: StepRun, attempt: Attempt, record: Version
    ):
        """Wraps an attempt whose first token has arrived."""
        self.sender = sender
        self.step = step
        self.attempt = attempt
        self.record = record

    def blocks(self) -> Iterator[bytes]:
        """Yields bytes for the caller until the end of the answer.

        Raises:
            RelayFailedError: The answer cannot be completed.
        """
        deadline = self.step.request.deadline
        while True:
            try:
                for block in self.attempt.read():
                    yield block
                    if time.monotonic() > deadline:
                        raise self.late()
                return
            except StreamCutError as cut:
                self.carry_on(cut)

    def carry_on(self, cut: StreamCutError) -> None:
        """Continues after a cut or raises `RelayFailedError`."""
        resumed = self.sender.resume(self.step, self.attempt, cut.error)
        if resumed.is_err():
            raise RelayFailedError(resumed.unwrap_err()) from cut
        self.attempt = resumed.unwrap()

    def late(self) -> RelayFailedError:
        """Cancels the work upstream at the deadline."""
        self.attempt.cancel()
        self.attempt.end("error", "", failed=True)
        return RelayFailedError(self.sender.failure(self.step))

    def count_use(self, settlement: Settlement) -> dict[str, int]:
        """Adds what the step used to the settlement; returns the usage."""
        usage = self.step.meter.usage_json(self.step.request.prompt_tokens)
        settlement.use.add(
            self.record, usage["prompt_tokens"], usage["completion_tokens"]
        )
        return usage

    def complete(self, settlement: Settlement) -> dict[str, Any]:
        """Settles a whole answer and returns it in the OpenAI shape."""
        request, meter = self.step.request, self.step.meter
        usage = self.count_use(settlement)
        extra = {
            "request_id": request.request_id,
            "model": self.record.id.model,
            "version": self.record.id.version,
            "cost": settlement.use.cost,
        }
        name = str(self.record.id)
        answer = whole_answer(meter, request.request_id, name, usage, extra)
        self.attempt.end("complete", meter.text, failed=False)
        settlement.finish("complete", name, answer)
        return answer

    def fail(self, settlement: Settlement) -> None:
        """Settles an answer that cannot be completed."""
        self.attempt.end("cut", self.step.meter.text, failed=True)
        self.count_use(settlement)
        settlement.finish("cut", str(self.record.id))

    def leave(self, settlement: Settlement) -> None:
        """Settles a stream whose caller left; stops the work upstream."""
        if settlement.settled:
            self.attempt.drop()
            return
        self.attempt.cancel()
        self.attempt.end("cancelled", self.step.meter.text, failed=False)
        self.count_use(settlement)
        settlement.finish("cancelled", str(self.record.id))


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """A whole answer in the OpenAI shape with its headers."""

    body: dict[str, Any]
    headers: dict[str, str]


class StreamAnswer:
    """A streamed answer; the server iterates it and always calls `close`.

    A class rather than a generator, because closing a generator that was
    never started runs none of its code and would leave the request open.
    """

    def __init__(
        self,
        relay: Relay,
        settlement: Settlement,
        headers: dict[str, str],
        held: list[bytes] | None = None,
    ):
        """Streams `held`, the checked blocks of a whole answer, or relays."""
        self.relay = relay
        self.settlement = settlement
        self.headers = headers
        self.iterator = self.events(held)

    def __iter__(self) -> "StreamAnswer":
        """Returns itself."""
        return self

    def __next__(self) -> bytes:
        """Returns the next bytes for the caller."""
        return next(self.iterator)

    def events(self, held: list[bytes] | None) -> Iterator[bytes]:
        """Yields all bytes; the bill is recorded before the end marker."""
        try:
            yield from self.relay.blocks() if held is None else held
        except RelayFailedError as error:
            self.relay.fail(self.settlement)
            yield render(error.refusal.to_json())
            return
        answer = self.relay.complete(self.settlement)
        yield closing_events(answer, self.relay.step.meter.last_event)
        self.relay.attempt.finish()

    def close(self) -> None:
        """Ends the request if the caller left before its end."""
        self.relay.leave(self.settlement)


class ReplayedStream:
    """A stored answer as a stream."""

    def __init__(self, data: bytes, headers: dict[str, str]):
        """Wraps rendered events."""
        self.headers = headers
        self.iterator = iter([data])

    def __iter__(self) -> "ReplayedStream":
        """Returns itself."""
        return self

    def __next__(self) -> bytes:
        """Returns the events once."""
        return next(self.iterator)


def read_whole(relay: Relay, left: Callable[[], bool] | None) -> None:
    """Reads an answer to its end.

    Raises:
        CallerDisconnectedError: The caller closed its connection.
        RelayFailedError: The answer cannot be completed.
    """
    next_check = 0.0
    for _ in relay.blocks():
        now = time.monotonic()
        if left is not None and now >= next_check:
            next_check = now + CHECK_S
            if left():
                raise CallerDisconnectedError
