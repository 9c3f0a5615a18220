"""What a node and its relay tell each other, and the way it goes."""

import base64
import dataclasses
import functools
import zlib
from typing import Protocol

from amaranthlug.coordination.routing.fleet_view import FleetSummary
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.fleet import NodeReport

COMPRESSED_BYTES = 4_096
"""Size from which a content is compressed, in bytes. A configuration of 900
routes has over 200 KB and goes to 24 nodes at once, also over links of 5
Mbit/s."""
COMPRESS_LEVEL = 1
"""Level of zlib; a configuration shrinks to a tenth at the fastest."""
KEPT_COMPRESSED = 8
"""Contents that are kept compressed; only configurations are that large."""


@dataclasses.dataclass(frozen=True)
class SentRecord:
    """A record on its way to another node.

    Attributes:
        key: Key of the record.
        value: Content in base64, None for a removed key.
        offset: Offset in the store.
        compressed: The content was compressed by zlib before.
    """

    key: str
    value: str | None
    offset: int
    compressed: bool = False

    @classmethod
    def pack(cls, record: KeyedRecord) -> "SentRecord":
        """Returns a record as it is sent."""
        value = record.value
        if value is None:
            return cls(record.key, None, record.offset)
        compressed = len(value) >= COMPRESSED_BYTES
        if compressed:
            value = compress(value)
        text = base64.b64encode(value).decode()
        return cls(record.key, text, record.offset, compressed)

    def unpack(self) -> KeyedRecord:
        """Returns the record as the store gave it."""
        value = None if self.value is None else base64.b64decode(self.value)
        if value is not None and self.compressed:
            value = zlib.decompress(value)
        return KeyedRecord(self.key, value, self.offset)


@functools.lru_cache(maxsize=KEPT_COMPRESSED)
def compress(value: bytes) -> bytes:
    """Returns a compressed content, kept for the next node that asks."""
    return zlib.compress(value, COMPRESS_LEVEL)


@dataclasses.dataclass(frozen=True)
class TopicUpdate:
    """What changed in a topic.

    Attributes:
        whole: The records are the whole topic, not only what changed.
        records: Newest records, in the order of their offsets.
        position: Offset from which to ask the next time.
        age_s: Age of the relay's knowledge when it answered, in seconds.
    """

    whole: bool
    records: list[SentRecord]
    position: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class RelayRequest:
    """What a node asks its relay.

    Attributes:
        report: What the node tells of itself.
        positions: Topic -> offset from which to send changes.
        hold_s: Longest time to wait for a change, in seconds.
        nodes_digest: Digest of the list of nodes that it knows.
    """

    report: NodeReport
    positions: dict[str, int | None]
    hold_s: float
    nodes_digest: str


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """What a relay answers.

    Attributes:
        topics: Topic -> changes.
        held_s: Time for which the exchange was held, in seconds.
        nodes_digest: Digest of the relay's list of nodes.
        summary: The fleet; its list of nodes is empty if the digest is known.
    """

    topics: dict[str, TopicUpdate]
    held_s: float
    nodes_digest: str
    summary: FleetSummary


class RelayRefusedError(OSError):
    """A node answered that it cannot read the store for others now."""


class PeerPort(Protocol):
    """Sends an exchange to another node."""

    def exchange(
        self, address: str, request: RelayRequest, timeout_s: float
    ) -> RelayAnswer:
        """Returns the answer.

        Raises:
            RelayRefusedError: The node does not read the store now.
            OSError: The node did not answer.
        """
        ...
