"""Limits of the bytes that one request reads from a server or the store."""

MAX_FRAMING_BYTES = 65_536
"""Most bytes for heads, chunk framing and trailers of one exchange, in bytes;
framing that comes with a body may take `FRAMING_PER_BODY_BYTE` more."""
FRAMING_PER_BODY_BYTE = 16
"""Bytes of framing allowed for each byte of the body; a chunk of one byte with
a padded length takes 12."""
MAX_HEADERS = 256
"""Most headers of a response with its trailers; short ones take many times
their bytes in memory."""
MAX_SKIPPED_BYTES = 1 << 20
"""Most bytes of answers to other requests that one request skips."""


class BrokenResponseError(OSError):
    """The connection ended early or the response violates the protocol."""


class ResponseLimitError(BrokenResponseError):
    """A server sent more than one request may read."""


class ResponseMeter:
    """Counts what is read for one request.

    Attributes:
        body_bytes: Bytes of bodies.
        framing_bytes: All other bytes.
        skipped_bytes: Bytes of bodies that were discarded.
    """

    def __init__(self) -> None:
        """Creates a meter that has counted nothing."""
        self.restart()

    def restart(self) -> None:
        """Begins the count for the next request."""
        self.body_bytes = 0
        self.framing_bytes = 0
        self.skipped_bytes = 0

    def add(self, received: int, body: int) -> None:
        """Counts received bytes, `body` of which belong to a body.

        Raises:
            ResponseLimitError: There are too many bytes beside the body.
        """
        self.body_bytes += body
        self.framing_bytes += received - body
        if (
            self.framing_bytes > MAX_FRAMING_BYTES
            and self.framing_bytes
            > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self.body_bytes
        ):
            raise ResponseLimitError(
                f"over {MAX_FRAMING_BYTES} bytes of heads and framing; check "
                "what the server sends before or instead of its answer"
            )

    def skip(self, count: int) -> None:
        """Counts discarded bytes of a body, which allow no framing.

        Raises:
            ResponseLimitError: Too many bytes were discarded.
        """
        self.body_bytes -= count
        self.skipped_bytes += count
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise ResponseLimitError(
                f"over {MAX_SKIPPED_BYTES} bytes of answers to other requests; "
                "check why the server sends them on this connection"
            )
