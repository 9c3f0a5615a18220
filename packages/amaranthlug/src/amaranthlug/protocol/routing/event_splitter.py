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
        self.incomplete = b""
        self.last_event = last_event
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Adds received data; returns the events that it completes.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        joined = self.incomplete + data
        end = joined.rfind(b"\n\n")
        if end < 0:
            self.incomplete = joined
            if len(joined) > MAX_EVENT_BYTES:
                raise ValueError("stream event exceeds 1 MiB without an end")
            return b""
        complete, self.incomplete = joined[: end + 2], joined[end + 2 :]
        self.record_events(complete)
        return complete

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
