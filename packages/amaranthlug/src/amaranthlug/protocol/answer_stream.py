"""Answers to callers: relayed streams, complete answers, stored answers."""

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
    """A stream could not be completed; `refusal` is sent to the caller."""

    def __init__(self, refusal: Refusal):
        """Creates the error with the message of the refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


class StreamRelay:
    """The stream of one step over all attempts that continue it.

    Attributes:
        attempt: The attempt that is read now.
    """

    def __init__(
        self, sender: Sender, step: StepRun, attempt: Attempt, version: Version
    ):
        """Creates a relay of an attempt that has received its first token."""
        self.sender = sender
        self.step = step
        self.attempt = attempt
        self.version = version

    def blocks(self) -> Iterator[bytes]:
        """Yields the bytes for the caller until the end of the answer.

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
        """Continues a cut stream.

        Raises:
            RelayFailedError: The stream cannot be continued.
        """
        resumed = self.sender.resume(self.step, self.attempt, cut.error)
        if resumed.is_err():
            raise RelayFailedError(resumed.unwrap_err()) from cut
        self.attempt = resumed.unwrap()

    def deadline_error(self) -> RelayFailedError:
        """Cancels the work upstream; returns the error of a missed deadline."""
        self.attempt.cancel()
        self.attempt.report_outcome("error", "", failed=True)
        return RelayFailedError(self.sender.failure_refusal(self.step))

    def add_usage(self, settlement: Settlement) -> dict[str, int]:
        """Adds the usage of the step to the settlement and returns it."""
        usage = self.step.meter.usage_body(self.step.request.prompt_tokens)
        settlement.usage.add(
            self.version, usage["prompt_tokens"], usage["completion_tokens"]
        )
        return usage

    def settle_complete(self, settlement: Settlement) -> dict[str, Any]:
        """Settles a completed answer; returns it in the OpenAI format."""
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
        """Settles an answer that could not be completed."""
        self.attempt.report_outcome("cut", self.step.meter.text, failed=True)
        self.add_usage(settlement)
        settlement.settle("cut", str(self.version.id))

    def settle_cancelled(self, settlement: Settlement) -> None:
        """Cancels and settles a stream unless it was settled before."""
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
class CompleteAnswer:
    """A complete answer in the OpenAI format, and its HTTP headers."""

    body: dict[str, Any]
    headers: dict[str, str]


class StreamAnswer:
    """A streamed answer; the WSGI server iterates it and always calls `close`.

    It is not a generator: closing a generator that was never started runs none
    of its code, so the request would never be settled.
    """

    def __init__(
        self,
        relay: StreamRelay,
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
        """Returns the next bytes of the stream."""
        return next(self.iterator)

    def events(self, buffered: list[bytes] | None) -> Iterator[bytes]:
        """Yields all bytes; records the bill before the end marker."""
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
        """Settles the request if the caller disconnected before its end."""
        self.relay.settle_cancelled(self.settlement)


class ReplayedStream:
    """A stored answer that is sent as a stream."""

    def __init__(self, data: bytes, headers: dict[str, str]):
        """Creates a stream of events that are encoded already."""
        self.headers = headers
        self.iterator = iter([data])

    def __iter__(self) -> "ReplayedStream":
        """Returns itself."""
        return self

    def __next__(self) -> bytes:
        """Returns all events on the first call."""
        return next(self.iterator)


def read_complete(
    relay: StreamRelay, is_disconnected: Callable[[], bool] | None
) -> None:
    """Reads an answer to its end and discards the bytes.

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
