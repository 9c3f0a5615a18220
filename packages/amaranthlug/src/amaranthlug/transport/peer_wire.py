"""Wire form of peer messages: JSON, compressed when that is shorter."""

import json
import zlib
from typing import Any

from amaranthlug.coordination.platform import Metrics

PACKED = b"1"
"""First byte of a compressed message; it names the dictionary below. A changed
dictionary needs another one, and nodes must read both during an upgrade."""

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
"""Frequent parts of messages, the most frequent last; short messages have too
few repeats of their own to compress."""

LONGEST_BYTES = 64_000_000
"""Longest message after decompression; a page of log records is the largest."""

REQUEST_HEAD_BYTES = 90
"""HTTP head of a request beside the signature, as measured."""

REPLY_HEAD_BYTES = 75
"""HTTP head of a reply, as measured."""

PER_REQUEST = frozenset(
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
"""Messages that grow with a node's own requests. They are payload and no
control, whose cost must not grow with the number of nodes."""


def encode_message(message: dict[str, Any]) -> bytes:
    """Returns the wire form of a message."""
    plain = json.dumps(message, separators=(",", ":")).encode()
    packer = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=DICTIONARY)
    packed = PACKED + packer.compress(plain) + packer.flush()
    return min(plain, packed, key=len)


def decode_message(data: bytes) -> dict[str, Any]:
    """Parses the wire form; plain JSON begins with a brace.

    Raises:
        ValueError: The message is malformed or too long.
    """
    if data[:1] == PACKED:
        unpacker = zlib.decompressobj(-zlib.MAX_WBITS, zdict=DICTIONARY)
        try:
            data = unpacker.decompress(data[1:], LONGEST_BYTES)
        except zlib.error as error:
            raise ValueError(str(error)) from error
        if not unpacker.eof:
            raise ValueError("message is cut or too long")
    message = json.loads(data)
    if not isinstance(message, dict):
        raise ValueError("message is not an object")
    return message


def count_bytes(metrics: Metrics, name: str, way: str, count: int) -> None:
    """Adds bytes of a message; `way` is `sent` or `received`."""
    if name in PER_REQUEST:
        metrics.incr(f"replication.bytes_{way}", count)
    else:
        metrics.incr(f"control.bytes_{way}", count)


def count_message(metrics: Metrics, name: str, way: str) -> None:
    """Adds a message; `way` is `sent` or `received`."""
    if name in PER_REQUEST:
        metrics.incr(f"replication.messages_{way}")
    else:
        metrics.incr(f"control.messages_{way}")
