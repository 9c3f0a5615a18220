"""Cuts a stream of server-sent events into whole events."""

MAX_EVENT_BYTES = 1 << 20
"""Largest event, in bytes; more without an end is a broken stream."""


class EventSplitter:
    """Keeps the unfinished tail, which must not reach the caller."""

    def __init__(self, last_event: str | None = None):
        """Starts after the event with this id, if one is given."""
        self.tail = b""
        self.last_event = last_event
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are now complete.

        Raises:
            ValueError: An event is too large.
        """
        joined = self.tail + data
        end = joined.rfind(b"\n\n")
        if end < 0:
            self.tail = joined
            if len(joined) > MAX_EVENT_BYTES:
                raise ValueError("an event of the stream has no end")
            return b""
        whole, self.tail = joined[: end + 2], joined[end + 2 :]
        self.note_ids(whole)
        return whole

    def note_ids(self, whole: bytes) -> None:
        """Keeps the id of the last event."""
        self.events += whole.count(b"\n\n")
        begin = whole.rfind(b"\nid:")
        if begin < 0 and whole.startswith(b"id:"):
            begin = -1
        elif begin < 0:
            return
        line = whole[begin + 4 : whole.find(b"\n", begin + 4)]
        self.last_event = line.strip().decode("latin-1")
