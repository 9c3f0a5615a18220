"""One holder of this node's bill copies: what waits for it and is sent."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from amaranthlug.state.records import BillEntry

BATCH_ENTRIES = 500
"""Entries in one message with copies."""

GATHER_S = 0.003
"""Wait before a message, in seconds, so that requests that end together share
it; it delays the end marker, never a token."""

Item = tuple[bool, BillEntry]
"""An entry and whether it is open, that is without an end."""

Send = Callable[[str, list[Item], list[str]], bool]
"""Sends one message with entries and finished request ids to a holder."""


class CopyHolder:
    """Sends entries to one peer; what arrives during a message shares the next.

    One message at a time keeps the number of messages far below the number of
    requests when these are many.
    """

    def __init__(self, send: Send, incarnation: str, gather_s: float):
        """Takes the function that sends one message."""
        self.send = send
        self.incarnation = incarnation
        self.gather_s = gather_s
        self.waiting: list[tuple[Item, AsyncResult]] = []
        self.done: list[str] = []
        self.busy = False

    def add(self, item: Item) -> AsyncResult:
        """Queues an entry; the result tells whether the peer has it."""
        result = AsyncResult()
        self.waiting.append((item, result))
        self.wake()
        return result

    def add_done(self, request_ids: list[str]) -> None:
        """Adds requests that need no copy any more to the next message."""
        self.done += request_ids

    def flush_done(self) -> None:
        """Sends finished requests now, if no message has taken them."""
        if self.done:
            self.wake()

    def wake(self) -> None:
        """Starts to send unless a message is on its way."""
        if not self.busy:
            self.busy = True
            gevent.spawn(self.run)

    def run(self) -> None:
        """Sends until nothing waits."""
        try:
            gevent.sleep(self.gather_s)
            while self.waiting or self.done:
                batch = self.waiting[:BATCH_ENTRIES]
                del self.waiting[:BATCH_ENTRIES]
                done: list[str] = []
                if not self.waiting:
                    # An id must not arrive before the copy that it removes.
                    done, self.done = self.done, done
                items = [item for item, _ in batch]
                sent = self.send(self.incarnation, items, done)
                for _, result in batch:
                    result.set(sent)
        finally:
            self.busy = False


def rows_of(items: list[Item]) -> list[list[Any]]:
    """Returns entries as arrays: the open flag, then the fields in order.

    Maps would repeat the ten field names in each of the entries.
    """
    return [
        [int(is_open), *msgspec.structs.astuple(entry)]
        for is_open, entry in items
    ]


def items_of(rows: list[list[Any]]) -> list[Item]:
    """Returns the entries of a message.

    Fields that the sender does not know yet keep their defaults and those that
    this release does not know are ignored, so that both can run during an
    upgrade.

    Raises:
        msgspec.ValidationError: A row is malformed.
    """
    names = BillEntry.__struct_fields__
    items = []
    for is_open, *values in rows:
        fields = dict(zip(names, values, strict=False))
        items.append((bool(is_open), msgspec.convert(fields, BillEntry)))
    return items
