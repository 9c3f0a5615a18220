"""Tests of errors with which a server answers instead of going on a stream."""

import pytest
from _platform_fleet import PlatformFleet, stream_headers


# Guards against the text of an error in the middle of a stream, or a stream
# that ends as if it were complete with it.
@pytest.mark.parametrize(
    "resumed_as",
    [
        (500, "text/plain"),
        (404, "text/plain"),
        (503, "text/plain"),
        (200, "text/plain"),
        (200, "application/json"),
    ],
)
def test_error_at_the_next_server_is_no_part_of_a_stream(resumed_as):
    """The stream is cut, as no server goes on with it."""
    fleet = PlatformFleet()
    try:
        for server in fleet.servers:
            server.faults.cut_after = 2
            server.faults.resumed_as = resumed_as
        answer = fleet.call("/stream/a", headers=stream_headers())
        assert answer.body.startswith(b"id: 1")
        assert b"error" not in answer.body
        assert b"try again" not in answer.body
        assert not answer.whole
    finally:
        fleet.stop()
