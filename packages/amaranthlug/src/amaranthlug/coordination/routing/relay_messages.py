"""Messages between a node and its relay, and the interface that sends them."""

import base64
import dataclasses
import functools
import zlib
from typing import Protocol

from amaranthlug.coordination.routing.fleet_view import FleetSummary
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.fleet import NodeReport

MIN_COMPRESS_BYTES = 1_024
"""Size from which a record's value is compressed, in bytes. A configuration of
900 routes exceeds 200 KB and is sent to 24 nodes at once, some over links of 5
Mbit/s; reports of relays are sent to all other relays each second."""
ZLIB_LEVEL = 1
"""zlib level; even the fastest shrinks a configuration to a tenth."""
COMPRESS_CACHE_SIZE = 64
"""Number of cached compressed values: configurations, and the last report of
each relay."""


@dataclasses.dataclass(frozen=True)
class SentRecord:
    """A record as it is sent to another node.

    Attributes:
        key: Key of the record.
        value: Value in base64, or None for a removed key.
        offset: Offset in the store.
        compressed: The value was compressed with zlib before encoding.
    """

    key: str
    value: str | None
    offset: int
    compressed: bool = False

    @classmethod
    def pack(cls, record: KeyedRecord) -> "SentRecord":
        """Encodes a record of the store."""
        value = record.value
        if value is None:
            return cls(record.key, None, record.offset)
        compressed = len(value) >= MIN_COMPRESS_BYTES
        if compressed:
            value = compress(value)
        text = base64.b64encode(value).decode()
        return cls(record.key, text, record.offset, compressed)

    def unpack(self) -> KeyedRecord:
        """Returns the record as read from the store."""
        value = None if self.value is None else base64.b64decode(self.value)
        if value is not None and self.compressed:
            value = zlib.decompress(value)
        return KeyedRecord(self.key, value, self.offset)


@functools.lru_cache(maxsize=COMPRESS_CACHE_SIZE)
def compress(value: bytes) -> bytes:
    """Compresses a value; the result is cached for the other nodes."""
    return zlib.compress(value, ZLIB_LEVEL)


@dataclasses.dataclass(frozen=True)
class TopicUpdate:
    """Changes of a topic.

    Attributes:
        whole: The records are the complete topic, not only the changes.
        records: Newest record of each key, in offset order.
        position: Offset from which the next request reads.
        age_s: Age of the relay's data when it answered, in seconds.
    """

    whole: bool
    records: list[SentRecord]
    position: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class RelayRequest:
    """A node's request to its relay.

    Attributes:
        report: The report of the requesting node.
        positions: Topic -> offset from which to send changes; None asks for
            the complete topic.
        hold_s: Maximum time to wait for a change, in seconds.
        nodes_digest: Digest of the node list that the requester has.
        era: Era of the store to which the positions belong, None if unknown.
    """

    report: NodeReport
    positions: dict[str, int | None]
    hold_s: float
    nodes_digest: str
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """A relay's answer.

    Attributes:
        topics: Topic -> changes.
        held_s: Time for which the relay held the request, in seconds.
        nodes_digest: Digest of the relay's node list.
        summary: State of the fleet; its node list is empty if the digest
            equals that of the request.
        era: Era of the store to which the topics belong, None if unknown.
    """

    topics: dict[str, TopicUpdate]
    held_s: float
    nodes_digest: str
    summary: FleetSummary
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class TopicsRequest:
    """A relay's request to a store reader.

    Attributes:
        positions: Topic -> offset from which to send changes; None asks for
            the complete topic.
        hold_s: Maximum time to wait for a change, in seconds.
        era: Era of the store to which the positions belong, None if unknown.
    """

    positions: dict[str, int | None]
    hold_s: float
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class TopicsAnswer:
    """A store reader's answer.

    Attributes:
        topics: Topic -> changes.
        held_s: Time for which the reader held the request, in seconds.
        era: Era of the store to which the topics belong, None if unknown.
    """

    topics: dict[str, TopicUpdate]
    held_s: float
    era: int | None = None


class RelayRefusedError(OSError):
    """The node cannot act as a relay at present."""


class PeerPort(Protocol):
    """Sends requests to other nodes."""

    def exchange(
        self, address: str, request: RelayRequest, timeout_s: float
    ) -> RelayAnswer:
        """Returns the answer of the node at `address`.

        Raises:
            RelayRefusedError: The node cannot act as a relay at present.
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...

    def fetch_topics(
        self, address: str, request: TopicsRequest, timeout_s: float
    ) -> TopicsAnswer:
        """Returns the answer of the store reader at `address`.

        Raises:
            RelayRefusedError: The node does not read the store at present.
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...
