"""Test data builders and fakes for routing tests."""

import dataclasses
import json

from result import Err, Ok

from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    StoreError,
    TopicPage,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.protocol.routing.messages import PromptPart, RoutedRequest
from amaranthlug.state.routing.config import (
    CallerLimits,
    KeyHolder,
    Route,
    RoutedService,
    RouteKind,
    RoutingConfig,
)
from amaranthlug.state.routing.fleet import NodeEntry, NodeReport
from amaranthlug.state.routing.rollout import RolloutOrder
from amaranthlug.state.routing.servers import ServerEntry, ServerState


class FakeClock:
    """A clock that a test advances."""

    def __init__(self, now: float = 1_000.0):
        """Creates a clock at `now` seconds."""
        self.now = now

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advances the time."""
        self.now += seconds


def make_server(server_id: str = "s1", **changes: object) -> ServerEntry:
    """Returns a ready server."""
    entry = ServerEntry(
        server_id=server_id,
        started_ms=1,
        service="pool",
        address="10.0.0.1:80",
        zone="zone-a",
        version="v1",
        slots=8,
        state=ServerState.READY,
    )
    return dataclasses.replace(entry, **changes)


def make_server_record(
    offset: int = 0, server_id: str = "s1", **changes: object
) -> KeyedRecord:
    """Returns the record of a server in the platform's format."""
    body = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": offset,
        **changes,
    }
    return KeyedRecord(server_id, json.dumps(body).encode(), offset)


def make_route(**changes: object) -> Route:
    """Returns an idempotent route."""
    route = Route(
        name="r1",
        host="a.example",
        prefix="/a/",
        kind=RouteKind.IDEMPOTENT,
        services=(("pool", 1.0),),
        max_attempts=2,
    )
    return dataclasses.replace(route, **changes)


def make_config(
    routes: list[Route] | None = None,
    keys: dict[str, str] | None = None,
    version: int = 1,
) -> RoutingConfig:
    """Returns a configuration; `keys` maps API keys to organisations."""
    holders = None
    if keys is not None:
        holders = {key: KeyHolder(name) for key, name in keys.items()}
    return RoutingConfig.build(
        version,
        routes if routes is not None else [make_route()],
        [RoutedService("pool", 100)],
        CallerLimits(),
        holders,
    )


def make_request(**changes: object) -> RoutedRequest:
    """Returns a request whose prompt has one shared part."""
    request = RoutedRequest(
        request_id="r-1",
        method="GET",
        host="a.example",
        target="/a/x",
        key=None,
        deadline=1_005.0,
        arrived=1_000.0,
        forwarded_headers=[],
        body=b"",
        prompt_tokens=1_000,
        prompt=(PromptPart("shared", 800), PromptPart("own", 200)),
    )
    return dataclasses.replace(request, **changes)


def make_node_entry(
    node: str, zone: str = "zone-a", serving: bool = True
) -> NodeEntry:
    """Returns the registration of a node."""
    return NodeEntry(
        node, "i1", f"{node}:80", f"{node}:90", zone, "region", serving
    )


def make_report(node: str, zone: str = "zone-a") -> NodeReport:
    """Returns the report of an idle node."""
    return NodeReport(make_node_entry(node, zone), {}, {})


def make_order(**changes: object) -> RolloutOrder:
    """Returns an order to move `pool` to v2 in 24 s."""
    return dataclasses.replace(RolloutOrder("pool", "v2", 24.0, 5), **changes)


class RecordingListener:
    """A topic listener that keeps the contents of its topic."""

    def __init__(self):
        """Starts empty."""
        self.content = {}
        self.restored = False

    def replace(self, records):
        """Replaces the contents."""
        self.content = {r.key: r.value for r in records}

    def restore(self, records):
        """Replaces the contents by those of an older copy."""
        self.restored = True
        self.replace(records)
        return records

    def apply(self, record):
        """Applies a record; True if it changed its key's value."""
        changed = self.content.get(record.key) != record.value
        self.content[record.key] = record.value
        return changed


class FakeStore:
    """An in-memory store that can be made unavailable with `down`."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.era = StoreEra()
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.down = False
        self.reads = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Adds a record."""
        self.records.append(KeyedRecord(key, value, self.end))

    @property
    def end(self) -> int:
        """Returns the next offset."""
        return self.first + len(self.records)

    def newest(self, topic: str):
        """Returns the newest record of each key."""
        self.reads += 1
        if self.down:
            return Err(StoreError("down"))
        found = {record.key: record for record in self.records}
        kept = [record for record in found.values() if record.value is not None]
        return Ok(TopicPage(kept, self.end, self.end))

    def read(self, topic: str, start: int, wait_s: float):
        """Returns the records from offset `start` on."""
        self.reads += 1
        if self.down:
            return Err(StoreError("down"))
        if start < self.first:
            return Err(StoreError("expired", expired=True))
        found = [r for r in self.records if r.offset >= start]
        return Ok(TopicPage(found, self.end, self.end))

    def append(self, topic: str, records, expected_end=None):
        """Appends records unless `expected_end` is not the next offset."""
        if self.down:
            return Err(StoreError("down", effect_unknown=True))
        if expected_end is not None and expected_end != self.end:
            return Err(StoreError("conflict", conflict_end=self.end))
        for key, value in records:
            self.put(key, value)
        return Ok(self.end)
