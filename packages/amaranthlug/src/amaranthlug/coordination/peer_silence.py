"""Detects peers that do not answer the messages of this node."""

from collections.abc import Callable

SILENT_AFTER_S = 0.5
"""Minimum time between the first and the last unanswered message of a silent
peer, in seconds. A single lost message thus does not make a peer silent."""

RETRY_AFTER_S = 5.0
"""Time after the last unanswered message from which the peer is tried again, in
seconds. It is above the 4 s after which the membership suspects the peer."""

MAX_PEERS = 1_024
"""Maximum number of recorded peers; the oldest is dropped above it."""


class PeerSilence:
    """Records unanswered messages by the incarnation of the peer.

    This detects a failed node earlier than heartbeats, which other nodes relay.
    """

    def __init__(self, now: Callable[[], float]):
        """Creates an empty record; `now` returns monotonic seconds."""
        self.now = now
        self.unanswered_spans: dict[str, tuple[float, float]] = {}

    def record_answer(self, incarnation: str) -> None:
        """Records that a peer answered."""
        self.unanswered_spans.pop(incarnation, None)

    def record_no_answer(self, incarnation: str, sent_at: float) -> None:
        """Records that a message sent at `sent_at` was not answered."""
        now = self.now()
        first, last = self.unanswered_spans.pop(incarnation, (sent_at, sent_at))
        if now - last > RETRY_AFTER_S:
            first = sent_at
        self.unanswered_spans[incarnation] = (first, now)
        if len(self.unanswered_spans) > MAX_PEERS:
            del self.unanswered_spans[next(iter(self.unanswered_spans))]

    def last_message_unanswered(self, incarnation: str) -> bool:
        """Returns whether the last recent message was not answered."""
        span = self.unanswered_spans.get(incarnation)
        return span is not None and self.now() - span[1] <= RETRY_AFTER_S

    def is_silent(
        self, incarnation: str, for_s: float = SILENT_AFTER_S
    ) -> bool:
        """Returns whether messages went unanswered for at least `for_s`."""
        span = self.unanswered_spans.get(incarnation)
        if span is None or self.now() - span[1] > RETRY_AFTER_S:
            return False
        return span[1] - span[0] >= for_s
