"""Tests of the figures that servers state in their answers and entries."""

import json

import pytest
from _routing import FakeClock, make_server_record

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.server_directory import ServerDirectory
from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug_platform.headers import parse_server_load
from amaranthlug_platform.records import PlatformRecords


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ServerLoad(3, 0, 8)),
        ("3,0,8,120", ServerLoad(3, 0, 8, 120)),
        ("3, 0, 8, 120", ServerLoad(3, 0, 8, 120)),
        ("3,0,8,", ServerLoad(3, 0, 8)),
        ("3,0,8,fast", ServerLoad(3, 0, 8)),
        ("3,0,8,-5", ServerLoad(3, 0, 8)),
        ("3,0,8,999999999", ServerLoad(3, 0, 8)),
        ("3,0,8,120,7", ServerLoad(3, 0, 8, 120)),
        ("3,0", None),
        ("3,x,8,120", None),
        ("", None),
        (None, None),
    ],
)
def test_load_of_three_or_four_figures_is_read(text, load):
    """Guards against a load that was thrown away for its fourth figure."""
    assert parse_server_load(text) == load


def test_warm_up_time_counts_from_its_latest_statement():
    """Guards against a warm-up that seemed over though a later one was stated.

    A server may become cold again long after its start.
    """
    clock = FakeClock()
    servers = ServerDirectory(PlatformRecords(), lambda: -9.0, clock)
    servers.apply(make_server_record(0))
    clock.advance(60.0)
    servers.apply(make_server_record(1, cold_remaining_ms=3_000))
    [entry] = servers.usable_servers("pool")
    assert servers.warm_up_stated_at(entry) == clock.now
    clock.advance(1.0)
    servers.apply(make_server_record(2, cold_remaining_ms=3_000))
    assert servers.warm_up_stated_at(entry) == clock.now - 1.0


def test_service_states_what_its_cold_servers_bear():
    """Guards against a rate that is not read from the configuration."""
    body = {
        "version": 1,
        "services": [
            {"name": "pool", "cold_start_s": 3.0, "cold_per_s": 14.0},
            {"name": "doc"},
        ],
    }
    config = PlatformRecords().config(
        KeyedRecord("config", json.dumps(body).encode(), 0)
    )
    pool, doc = config.services["pool"], config.services["doc"]
    assert (pool.cold_start_s, pool.cold_per_s) == (3.0, 14.0)
    assert (doc.cold_start_s, doc.cold_per_s) == (0.0, 0.0)
