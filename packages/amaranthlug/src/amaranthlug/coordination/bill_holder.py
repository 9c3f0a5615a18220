"""Queue and encoding of the bill copies sent to one peer."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from amaranthlug.state.records import BillEntry

BATCH_ENTRIES = 500
"""Maximum number of entries in one message."""

BATCH_DELAY_S = 0.003
"""Delay before a message, in seconds, so that requests that end together share
it. It delays the end marker of a stream but never a token."""

Item = tuple[bool, BillEntry]
"""Whether the request is open (has not ended), and its entry."""

Send = Callable[[str, list[Item], list[str]], bool]
"""Sends entries and the ids of finished requests to a holder."""


class CopyHolder:
    """Sends entries to one peer in batches.

    Only one message is in flight, and entries added meanwhile share the next.
    Under load this needs far fewer messages than there are requests.

    Attributes:
        waiting: Queued entries with the results to set.
        done: Ids of requests whose copies the peer can drop, as keys.
    """

    def __init__(self, send: Send, incarnation: str, gather_s: float):
        """Creates an empty queue.

        Args:
            send: Sends one message.
            incarnation: The peer.
            gather_s: Delay before a message, in seconds.
        """
        self.send = send
        self.incarnation = incarnation
        self.gather_s = gather_s
        self.waiting: list[tuple[Item, AsyncResult]] = []
        self.done: dict[str, None] = {}
        self.is_sending = False

    def add(self, item: Item) -> AsyncResult:
        """Queues an entry; the result is whether the peer stored it."""
        result = AsyncResult()
        # A repeated key has the same id; its new entry must not be dropped.
        self.done.pop(item[1].request_id, None)
        self.waiting.append((item, result))
        self.start_sending()
        return result

    def add_done(self, request_ids: list[str]) -> None:
        """Queues ids of requests that no longer need a copy."""
        self.done.update(dict.fromkeys(request_ids))

    def flush_done(self) -> None:
        """Sends the queued ids of finished requests, if any."""
        if self.done:
            self.start_sending()

    def start_sending(self) -> None:
        """Starts to send unless sending is under way."""
        if not self.is_sending:
            self.is_sending = True
            gevent.spawn(self.send_queued)

    def send_queued(self) -> None:
        """Sends batches until the queue is empty."""
        try:
            gevent.sleep(self.gather_s)
            while self.waiting or self.done:
                batch = self.waiting[:BATCH_ENTRIES]
                del self.waiting[:BATCH_ENTRIES]
                done: list[str] = []
                if not self.waiting:
                    # An id must not arrive before the copy that it drops.
                    done, self.done = list(self.done), {}
                items = [item for item, _ in batch]
                sent = self.send(self.incarnation, items, done)
                for _, result in batch:
                    result.set(sent)
        finally:
            self.is_sending = False


def encode_items(items: list[Item]) -> list[list[Any]]:
    """Encodes entries as arrays: the open flag, then the fields in order.

    Objects would repeat the ten field names in each entry.
    """
    return [
        [int(is_open), *msgspec.structs.astuple(entry)]
        for is_open, entry in items
    ]


def decode_items(rows: list[list[Any]]) -> list[Item]:
    """Decodes the entries of a message.

    Missing fields keep their defaults and unknown ones are ignored, so that
    nodes of two releases can run together during an upgrade.

    Raises:
        msgspec.ValidationError: A row is malformed.
    """
    names = BillEntry.__struct_fields__
    items = []
    for is_open, *values in rows:
        fields = dict(zip(names, values, strict=False))
        items.append((bool(is_open), msgspec.convert(fields, BillEntry)))
    return items
