"""Tests of answers whose end must be known before a caller may take it."""

import pytest
from _platform_fleet import PlatformFleet, stream_headers

FRAMINGS = {
    "/safe/x": ("length", {}),
    "/stream/x": ("chunks", {}),
    "/cut/x": ("close", {"until_close": True}),
}
"""Target -> how the end of its answer is told, and the faults for that."""


@pytest.fixture
def fleet():
    """One node and two servers."""
    started = PlatformFleet()
    yield started
    started.stop()


# Guards against a torn answer that no log line tells from a whole one.
@pytest.mark.parametrize("target", FRAMINGS)
def test_log_says_how_the_end_of_an_answer_is_told(fleet, target):
    """Its path is named there as well."""
    framing, faults = FRAMINGS[target]
    for server in fleet.servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)
    headers = () if target == "/safe/x" else stream_headers()
    assert fleet.call(target, headers=headers).whole
    attempt = fleet.lines.requests[-1]["attempts"][-1]
    assert (attempt["framing"], attempt["peer"]) == (framing, None)
