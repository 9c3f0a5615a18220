"""Faults of the proxy by pair of source and destination."""

import fnmatch
from collections.abc import Iterable

import msgspec

TO = "to"
"""Direction from the source to the destination."""

BACK = "back"
"""Direction from the destination to the source."""


class FaultRule(msgspec.Struct, kw_only=True, frozen=True):
    """Faults of all links whose names match two patterns of `fnmatch`.

    Attributes:
        delay_ms: Added to each block of bytes, in each direction.
        cut: `both`, `to` or `back`: bytes of that direction are held until
            the rule is gone, as TCP holds and repeats them in a partition.
        refuse: New connections are broken at once.
        drip_bytes_s: Bytes a second in each direction, 0 for no limit.
        reset_after_bytes: A connection breaks once so many bytes of answers
            have passed, -1 for never.
        lose_answers: Share of requests whose answer is replaced by a reset
            after the destination has answered.
        duplicate: Share of HTTP requests that are delivered a second time on
            a connection of their own; the second answer is dropped.
    """

    source: str = "*"
    destination: str = "*"
    delay_ms: float = 0.0
    cut: str = ""
    refuse: bool = False
    drip_bytes_s: float = 0.0
    reset_after_bytes: int = -1
    lose_answers: float = 0.0
    duplicate: float = 0.0

    def matches(self, source: str, destination: str) -> bool:
        """Tells whether the rule is for a link."""
        return fnmatch.fnmatchcase(source, self.source) and fnmatch.fnmatchcase(
            destination, self.destination
        )


NO_FAULT = FaultRule()


def combine(rules: Iterable[FaultRule]) -> FaultRule:
    """Returns one rule with the worst of each fault."""
    found = list(rules)
    if not found:
        return NO_FAULT
    cuts = {rule.cut for rule in found if rule.cut}
    drips = [rule.drip_bytes_s for rule in found if rule.drip_bytes_s]
    resets = [
        rule.reset_after_bytes for rule in found if rule.reset_after_bytes >= 0
    ]
    return FaultRule(
        delay_ms=sum(rule.delay_ms for rule in found),
        cut="both" if len(cuts) > 1 else "".join(cuts),
        refuse=any(rule.refuse for rule in found),
        drip_bytes_s=min(drips, default=0.0),
        reset_after_bytes=min(resets, default=-1),
        lose_answers=max(rule.lose_answers for rule in found),
        duplicate=max(rule.duplicate for rule in found),
    )


class RequestFrames:
    """Finds the ends of the HTTP requests in the bytes of a connection.

    It knows bodies with `Content-Length`, which is what callers and nodes
    send.
    """

    def __init__(self) -> None:
        """Starts before the first request."""
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the requests that `data` completes."""
        self.rest += data
        whole = []
        while (size := request_size(self.rest)) >= 0:
            if len(self.rest) < size:
                break
            whole.append(self.rest[:size])
            self.rest = self.rest[size:]
        return whole


def request_size(data: bytes) -> int:
    """Returns the bytes of the first request, -1 without a whole head."""
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return -1
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    return len(head) + len(end) + length
