"""Delivers the answer of a step: relayed as it comes, or whole."""

import dataclasses
import time
from collections.abc import Callable, Iterator
from typing import Any

from amaranthlug.protocol.attempt import Attempt
from amaranthlug.protocol.callers import (
    CHECK_INTERVAL_S,
    CallerDisconnectedError,
)
from amaranthlug.protocol.relay import (
    closing_events,
    completion_body,
    encode_event,
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
        self, sender: Sender, step: StepRun, attempt: Attempt, version: Version
    ):
        """Wraps an attempt whose first token has arrived."""
        self.sender = sender
        self.step = step
        self.attempt = attempt
        self.version = version

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
                        raise self.deadline_error()
                return
            except StreamCutError as cut:
                self.resume(cut)

    def resume(self, cut: StreamCutError) -> None:
        """Continues after a cut or raises `RelayFailedError`."""
        resumed = self.sender.resume(self.step, self.attempt, cut.error)
        if resumed.is_err():
            raise RelayFailedError(resumed.unwrap_err()) from cut
        self.attempt = resumed.unwrap()

    def deadline_error(self) -> RelayFailedError:
        """Cancels the work upstream at the deadline."""
        self.attempt.cancel()
        self.attempt.report_outcome("error", "", failed=True)
        return RelayFailedError(self.sender.failure_refusal(self.step))

    def add_usage(self, settlement: Settlement) -> dict[str, int]:
        """Adds what the step used to the settlement; returns the usage."""
        usage = self.step.meter.usage_body(self.step.request.prompt_tokens)
        settlement.usage.add(
            self.version, usage["prompt_tokens"], usage["completion_tokens"]
        )
        return usage

    def settle_complete(self, settlement: Settlement) -> dict[str, Any]:
        """Settles a whole answer and returns it in the OpenAI shape."""
        request, meter = self.step.request, self.step.meter
        usage = self.add_usage(settlement)
        extra = {
            "request_id": request.request_id,
            "model": self.version.id.model,
            "version": self.version.id.version,
            "cost": settlement.usage.cost,
        }
        name = str(self.version.id)
        answer = completion_body(meter, request.request_id, name, usage, extra)
        self.attempt.report_outcome("complete", meter.text, failed=False)
        settlement.settle("complete", name, answer)
        return answer

    def settle_failed(self, settlement: Settlement) -> None:
        """Settles an answer that cannot be completed."""
        self.attempt.report_outcome("cut", self.step.meter.text, failed=True)
        self.add_usage(settlement)
        settlement.settle("cut", str(self.version.id))

    def settle_cancelled(self, settlement: Settlement) -> None:
        """Settles a stream whose caller left; stops the work upstream."""
        if settlement.settled:
            self.attempt.close_stream()
            return
        self.attempt.cancel()
        self.attempt.report_outcome(
            "cancelled", self.step.meter.text, failed=False
        )
        self.add_usage(settlement)
        settlement.settle("cancelled", str(self.version.id))


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
        buffered: list[bytes] | None = None,
    ):
        """Streams the blocks of `buffered` or, if it is None, of the relay."""
        self.relay = relay
        self.settlement = settlement
        self.headers = headers
        self.iterator = self.events(buffered)

    def __iter__(self) -> "StreamAnswer":
        """Returns itself."""
        return self

    def __next__(self) -> bytes:
        """Returns the next bytes for the caller."""
        return next(self.iterator)

    def events(self, buffered: list[bytes] | None) -> Iterator[bytes]:
        """Yields all bytes; the bill is recorded before the end marker."""
        try:
            yield from self.relay.blocks() if buffered is None else buffered
        except RelayFailedError as error:
            self.relay.settle_failed(self.settlement)
            yield encode_event(error.refusal.to_json())
            return
        answer = self.relay.settle_complete(self.settlement)
        yield closing_events(answer, self.relay.step.meter.usage_event)
        self.relay.attempt.read_to_end()

    def close(self) -> None:
        """Ends the request if the caller left before its end."""
        self.relay.settle_cancelled(self.settlement)


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


def read_whole(
    relay: Relay, is_disconnected: Callable[[], bool] | None
) -> None:
    """Reads an answer to its end.

    Raises:
        CallerDisconnectedError: The caller closed its connection.
        RelayFailedError: The answer cannot be completed.
    """
    next_check = 0.0
    for _ in relay.blocks():
        now = time.monotonic()
        if is_disconnected is not None and now >= next_check:
            next_check = now + CHECK_INTERVAL_S
            if is_disconnected():
                raise CallerDisconnectedError
