"""Encoding of peer messages: JSON, compressed where that is shorter."""

import json
import zlib
from typing import Any

from amaranthlug.coordination.platform import Metrics

COMPRESSED_MARKER = b"1"
"""First byte of a compressed message; it identifies the dictionary below. A
changed dictionary needs a new byte, and nodes must decode both during an
upgrade."""

DICTIONARY = (
    b'{"heartbeat":,"ok":true}{"granted":[{"slots":{"tables":{},"to":"'
    b'"retry":"not_owner","owner":"","offset":'
    b'{"evidence":{"rows":[[true,"",[0,0,0,0,0,0,0,0,0,0,0]],[false,"",['
    b'"withdrawals":{"epoch":0,"reason":"quality"},"spent":{}'
    b'"limits":{"rows":{"":[0.0,0,0,0.0,0],"day":20000,'
    b'"log":{"position":,"age_s":0.},"count":,"entries":[["'
    b'{"sections":{"members":{"me":["127.0.0.1:","l",,0.0],"beats":"'
    b'"}},"sender":"127.0.0.1:","incarnation":"'
)
"""Compression dictionary: frequent parts of messages, the most frequent last.
Without it short messages contain too few repetitions to compress."""

MAX_DECOMPRESSED_BYTES = 64_000_000
"""Largest message after decompression, in bytes; a page of log records is the
largest one."""

REQUEST_HEAD_BYTES = 90
"""Size of a request's HTTP head without the signature, in bytes."""

REPLY_HEAD_BYTES = 75
"""Size of a reply's HTTP head, in bytes."""

REPLICATION_MESSAGES = frozenset(
    {
        "bill_copy",
        "bill_done",
        "pin",
        "run_begin",
        "run_end",
        "slot_copy",
        "slot_merge",
    }
)
"""Messages whose number grows with a node's own requests. They are counted as
replication, apart from control traffic, since the cost of the latter must not
grow with the number of nodes."""


def encode_message(message: dict[str, Any]) -> bytes:
    """Encodes a message as JSON or, if shorter, as compressed JSON."""
    plain = json.dumps(message, separators=(",", ":")).encode()
    compressor = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=DICTIONARY)
    compressed = (
        COMPRESSED_MARKER + compressor.compress(plain) + compressor.flush()
    )
    return min(plain, compressed, key=len)


def decode_message(data: bytes) -> dict[str, Any]:
    """Decodes a message; plain JSON starts with a brace.

    Raises:
        ValueError: The message is malformed or too long.
    """
    if data[:1] == COMPRESSED_MARKER:
        decompressor = zlib.decompressobj(-zlib.MAX_WBITS, zdict=DICTIONARY)
        try:
            data = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise ValueError(str(error)) from error
        if not decompressor.eof:
            raise ValueError("message is truncated or exceeds the size limit")
    message = json.loads(data)
    if not isinstance(message, dict):
        raise ValueError("message is not a JSON object")
    return message


def count_bytes(
    metrics: Metrics, name: str, direction: str, count: int
) -> None:
    """Counts the bytes of a message; `direction` is `sent` or `received`."""
    if name in REPLICATION_MESSAGES:
        metrics.incr(f"replication.bytes_{direction}", count)
    else:
        metrics.incr(f"control.bytes_{direction}", count)


def count_message(metrics: Metrics, name: str, direction: str) -> None:
    """Counts a message; `direction` is `sent` or `received`."""
    if name in REPLICATION_MESSAGES:
        metrics.incr(f"replication.messages_{direction}")
    else:
        metrics.incr(f"control.messages_{direction}")
