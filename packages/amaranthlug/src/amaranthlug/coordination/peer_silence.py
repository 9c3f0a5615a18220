"""Which peers do not answer this node's own messages."""

from collections.abc import Callable

SILENT_S = 0.5
"""Time between the first and the last unanswered message after which a peer
is silent, in seconds; one lost message alone never makes it so."""

FORGET_S = 5.0
"""Time after the last unanswered message from which the peer is tried again, in
seconds; it is above the 4 s after which the membership suspects the peer."""

BOUND = 1_024
"""Peers remembered; beyond it the oldest is forgotten."""


class PeerSilence:
    """Unanswered messages by the incarnation of the peer.

    It notices a lost node earlier than heartbeats, which arrive through others.
    """

    def __init__(self, now: Callable[[], float]):
        """Takes the monotonic clock."""
        self.now = now
        self.missed: dict[str, tuple[float, float]] = {}

    def record_answer(self, incarnation: str) -> None:
        """Notes an answer."""
        self.missed.pop(incarnation, None)

    def record_no_answer(self, incarnation: str, asked_at: float) -> None:
        """Notes that a message sent at `asked_at` got no answer."""
        now = self.now()
        first, last = self.missed.pop(incarnation, (asked_at, asked_at))
        if now - last > FORGET_S:
            first = asked_at
        self.missed[incarnation] = (first, now)
        if len(self.missed) > BOUND:
            del self.missed[next(iter(self.missed))]

    def last_message_unanswered(self, incarnation: str) -> bool:
        """Tells whether the last message was not answered."""
        found = self.missed.get(incarnation)
        return found is not None and self.now() - found[1] <= FORGET_S

    def is_silent(self, incarnation: str, for_s: float = SILENT_S) -> bool:
        """Tells whether a peer left messages unanswered for some seconds."""
        found = self.missed.get(incarnation)
        if found is None or self.now() - found[1] > FORGET_S:
            return False
        return found[1] - found[0] >= for_s
