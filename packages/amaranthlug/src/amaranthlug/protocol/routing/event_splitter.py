"""Splits a byte stream of server-sent events at event boundaries."""

MAX_EVENT_BYTES = 1 << 20
"""Largest event, in bytes; a longer one means that the stream is broken."""


class EventSplitter:
    """Splits a stream into complete events.

    An incomplete event is held back, since the caller must not receive part
    of one that another server may send again.

    Attributes:
        incomplete: Bytes after the last complete event.
        last_event: Id of the last complete event, None if none had one.
        events: Number of complete events.
    """

    def __init__(self, last_event: str | None = None):
        """Starts after the event with the id `last_event`, if one is given."""
        self.incomplete = bytearray()
        self.last_event = last_event
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Adds received data; returns the events that it completes.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        if self.incomplete:
            # Bytes that were searched before are neither copied nor searched.
            start = len(self.incomplete) - 1
            self.incomplete += data
            end = self.incomplete.rfind(b"\n\n", start) + 2
            complete = bytes(self.incomplete[:end]) if end > 1 else b""
            del self.incomplete[: len(complete)]
        else:
            end = data.rfind(b"\n\n") + 2
            complete = data[:end] if end > 1 else b""
            self.incomplete += data[len(complete) :]
        if complete:
            self.record_events(complete)
        elif len(self.incomplete) > MAX_EVENT_BYTES:
            raise ValueError("stream event exceeds 1 MiB without an end")
        return complete

    def discard_incomplete(self) -> None:
        """Drops the incomplete event of a stream that broke."""
        self.incomplete.clear()

    def record_events(self, complete: bytes) -> None:
        """Counts complete events and keeps the id of the last one."""
        self.events += complete.count(b"\n\n")
        line_start = complete.rfind(b"\nid:")
        if line_start < 0 and complete.startswith(b"id:"):
            line_start = -1
        elif line_start < 0:
            return
        line = complete[line_start + 4 : complete.find(b"\n", line_start + 4)]
        self.last_event = line.strip().decode("latin-1")
