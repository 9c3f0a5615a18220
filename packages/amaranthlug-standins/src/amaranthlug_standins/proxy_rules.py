"""Fault rules of the proxy, and framing of HTTP requests."""

import fnmatch
from collections.abc import Iterable

import msgspec

TO_DESTINATION = "to"
"""Direction from the source to the destination."""

TO_SOURCE = "back"
"""Direction from the destination to the source."""


class FaultRule(msgspec.Struct, kw_only=True, frozen=True):
    """Faults of the links whose ends match two `fnmatch` patterns.

    Attributes:
        delay_ms: Milliseconds added to each block of bytes, both directions.
        cut: `both`, `to` or `back`. Bytes of that direction are withheld until
            the rule is removed, as TCP retransmits them after a partition.
        refuse: Reset new connections immediately.
        drip_bytes_s: Bytes a second in each direction, 0 for no limit.
        reset_after_bytes: Bytes of answers after which a connection is reset,
            -1 for never.
        lose_answers: Share of requests whose answer is replaced by a reset
            after the destination has answered.
        duplicate: Share of HTTP requests that are delivered a second time on
            another connection; the second answer is discarded.
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
        """Returns whether the rule applies to a link."""
        return fnmatch.fnmatchcase(source, self.source) and fnmatch.fnmatchcase(
            destination, self.destination
        )


NO_FAULT = FaultRule()


def combine_rules(rules: Iterable[FaultRule]) -> FaultRule:
    """Combines rules into one with the worst value of each fault.

    Delays are added up.
    """
    matching = list(rules)
    if not matching:
        return NO_FAULT
    cuts = {rule.cut for rule in matching if rule.cut}
    byte_rates = [rule.drip_bytes_s for rule in matching if rule.drip_bytes_s]
    resets = [
        rule.reset_after_bytes
        for rule in matching
        if rule.reset_after_bytes >= 0
    ]
    return FaultRule(
        delay_ms=sum(rule.delay_ms for rule in matching),
        cut="both" if len(cuts) > 1 else "".join(cuts),
        refuse=any(rule.refuse for rule in matching),
        drip_bytes_s=min(byte_rates, default=0.0),
        reset_after_bytes=min(resets, default=-1),
        lose_answers=max(rule.lose_answers for rule in matching),
        duplicate=max(rule.duplicate for rule in matching),
    )


class RequestFramer:
    """Splits the bytes of a connection into HTTP requests.

    Only bodies with `Content-Length` are supported; callers and nodes send no
    others.
    """

    def __init__(self) -> None:
        """Creates a framer with an empty buffer."""
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the requests that they complete."""
        self.buffer += data
        complete = []
        while (size := request_size(self.buffer)) >= 0:
            if len(self.buffer) < size:
                break
            complete.append(self.buffer[:size])
            self.buffer = self.buffer[size:]
        return complete


def request_size(data: bytes) -> int:
    """Returns the size of the first request, -1 if its head is incomplete."""
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return -1
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    return len(head) + len(end) + length
