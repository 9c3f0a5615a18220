"""Tests of nodes that read records which another writer has left."""

import gevent
import pytest
from _odd_records import DEEP, ODD_SERVERS, SERVER, changed, deep_in
from _platform_fleet import PlatformFleet, make_wire_config, wait_for
from hypothesis import example, given, settings
from hypothesis import strategies as st

from amaranthlug.coordination.routing.fleet_view import NODES_TOPIC
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    ResponseHead,
    render_request,
)
from amaranthlug.transport.routing.request_parser import IncomingRequest
from amaranthlug.transport.routing.sockets import connect
from amaranthlug_platform.headers import (
    BadRequestError,
    PlatformHeaders,
    decode_request,
)
from amaranthlug_platform.records import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    STATUS_TOPIC,
    PlatformRecords,
    UnreadableRecordError,
)
from amaranthlug_platform_standins.server import ServerStandIn
from amaranthlug_standins.loopback import listener_addresses

FOLLOW_LIMIT_S = 3.0
"""Longest time until nodes have followed a change of the list, in seconds."""
CALLS = 120

ORDER = {"service": "pool", "target": "v1", "duration_s": 5}
ODD_OPERATOR_RECORDS = {
    "nested configuration": ("config", DEEP),
    "deep configuration": ("config", deep_in(make_wire_config(2))),
    "huge version": ("config", changed(make_wire_config(2), version="9" * 401)),
    "infinite limit": (
        "config",
        changed(make_wire_config(2), limits='{"idle_timeout_ms": 1e999}'),
    ),
    "route without shares": (
        "config",
        changed(
            make_wire_config(2),
            routes='[{"hostname": "h", "path_prefix": "/", "route_type": '
            '"idempotent", "traffic_split": [{"service": "p", "weight": 0}]}]',
        ),
    ),
    "nested order": ("rollout/pool", DEEP),
    "deep order": ("rollout/pool", deep_in(ORDER)),
    "endless order": ("rollout/pool", changed(ORDER, duration_s="1e999")),
    "order of a lone surrogate": (
        "rollout/pool",
        changed(ORDER, target='"\\ud800"'),
    ),
}


@pytest.fixture(scope="module")
def fleet():
    """Three nodes and six servers."""
    started = PlatformFleet(3, 6)
    yield started
    started.stop()


def served_share(fleet) -> float:
    """Returns the share of calls at all nodes in turn that are served."""
    statuses = []
    for number in range(CALLS):
        answer = fleet.call(f"/safe/{number}", number % len(fleet.nodes))
        statuses.append(answer.status)
    return statuses.count(200) / CALLS


def has_followed(fleet, added, removed) -> bool:
    """Returns whether all nodes know a change of the list of servers."""
    lists = [
        {entry.server_id for entry in node.servers.usable_servers("pool")}
        for node in fleet.nodes
    ]
    return all(added in ids and removed not in ids for ids in lists)


# Guards against nodes that stop following the list of servers, or lose requests
# at a server that cannot be connected to, since one entry is odd.
@pytest.mark.parametrize("name", ODD_SERVERS)
def test_odd_server_entry_costs_nothing(fleet, name):
    """A server that is added after it is used, one that leaves is not."""
    fleet.store.put(SERVERS_TOPIC, "odd", ODD_SERVERS[name])
    number = max(int(s.server_id[1:]) for s in fleet.servers) + 1
    server = ServerStandIn(
        fleet.store, listener_addresses(1).pop(), f"s{number}", "pool"
    ).start()
    removed = fleet.servers.pop(0)
    fleet.servers.append(server)
    fleet.store.remove(SERVERS_TOPIC, removed.server_id)
    wait_for(
        lambda: has_followed(fleet, server.server_id, removed.server_id),
        FOLLOW_LIMIT_S,
    )
    arrivals = len(removed.arrivals)
    assert served_share(fleet) == 1.0
    assert server.arrivals
    assert len(removed.arrivals) == arrivals
    removed.crash()
    fleet.store.remove(SERVERS_TOPIC, "odd")


# Guards against a fleet that serves half of its requests since an order or a
# configuration of another writer ended the task that reads them.
@pytest.mark.parametrize("name", ODD_OPERATOR_RECORDS)
def test_odd_operator_record_costs_nothing(fleet, name):
    """The next configuration is followed."""
    key, value = ODD_OPERATOR_RECORDS[name]
    version = fleet.nodes[0].config.config.version
    fleet.store.put(OPERATOR_TOPIC, key, value)
    assert served_share(fleet) == 1.0
    fleet.configure(make_wire_config(version + 1))
    if key != "config":
        fleet.store.remove(OPERATOR_TOPIC, key)


@pytest.mark.parametrize("value", [DEEP, b"17", b"\xff", b'{"state": 1e999}'])
def test_odd_status_costs_nothing(fleet, value):
    """Statuses are written by nodes, but may be by others as well."""
    fleet.store.put(STATUS_TOPIC, "rollout/pool", value)
    gevent.sleep(0.1)
    assert served_share(fleet) == 1.0
    fleet.store.remove(STATUS_TOPIC, "rollout/pool")


# Guards against one listener that fails and ends the task that reads a topic.
def test_error_of_a_listener_does_not_end_the_reading_of_a_topic(fleet):
    """The records behind the one that caused it are applied."""
    node = fleet.nodes[0]
    apply, failed = node.servers.apply, []

    def fail_once(record):
        if record.key == "failing":
            failed.append(record)
            raise ZeroDivisionError("a fault of this build")
        return apply(record)

    node.servers.apply = fail_once
    fleet.store.put(SERVERS_TOPIC, "failing", SERVER)
    fleet.store.put(SERVERS_TOPIC, "behind", {**SERVER, "service": "other"})
    wait_for(lambda: "behind" in node.servers.known, FOLLOW_LIMIT_S)
    assert failed
    node.servers.apply = apply
    for key in ("failing", "behind"):
        fleet.store.remove(SERVERS_TOPIC, key)


# Guards against a relay client that ends since a node has an odd address.
@pytest.mark.parametrize(
    "address", ["127.0.0.1:70000", f"127.0.0.1:{'1' * 30}", "", ":", "h:x"]
)
def test_odd_address_is_one_that_cannot_be_reached(address):
    """Callers of `connect` expect no other error."""
    with pytest.raises(OSError):
        connect(address, 0.1)


def test_odd_messages_of_nodes_are_refused(fleet):
    """Also by the tasks that read reports from the store."""
    address = fleet.nodes[0].settings.addresses.peers
    for path in ("/peer/exchange", "/peer/grants", "/peer/suspects"):
        connection = HttpConnection.open(address, 1.0)
        headers = [("Host", address), ("Content-Length", str(len(DEEP)))]
        head, _ = connection.request(
            render_request("POST", path, headers, DEEP), 2.0
        )
        connection.close()
        assert head.status == 400
    fleet.store.put(NODES_TOPIC, "odd", DEEP)
    assert fleet.nodes[0].fleet.apply(KeyedRecord("odd", DEEP, 0)) is False


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["9" * 401, "1e999", "\x00", "127.0.0.1:70000"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def change_fields(body: dict):
    """Returns a strategy of bodies some of whose fields have odd values."""
    return st.dictionaries(
        st.sampled_from(sorted(body)), json_values, max_size=3
    ).map(lambda changes: {**body, **changes})


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=200)
    | st.one_of(
        change_fields(SERVER),
        change_fields(ORDER),
        change_fields(make_wire_config()),
        json_values,
    ).map(lambda body: changed({"body": body})[9:-1])
)
@example(DEEP)
@example(deep_in(SERVER))
def test_any_record_is_decoded_or_unreadable(value):
    """No other error may reach the tasks that follow topics."""
    records = PlatformRecords()
    for key, decode in (
        ("s1", records.server),
        ("config", records.config),
        ("rollout/pool", records.order),
        ("rollout/pool", records.status),
    ):
        try:
            decoded = decode(KeyedRecord(key, value, 0))
        except UnreadableRecordError:
            continue
        assert repr(decoded).encode()


header_values = st.text(
    st.characters(max_codepoint=255, exclude_characters="\r\n"), max_size=30
) | st.sampled_from(["9" * 5_000, "\u00b2", "-1", "nan", "1e999", "1,\u00b3,2"])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "Server-Load",
                "Retry-After",
                "Server-Brittle",
                "Server-Limit",
                "Confidence",
                "Keep-Alive",
                "Content-Type",
            ]
        ),
        header_values,
    )
)
@example({"Server-Load": "1,\u00b2,3"})
@example({"Confidence": "\u00b2"})
@example({"Keep-Alive": "timeout=" + "9" * 5_000})
def test_any_header_of_a_server_is_decoded(headers):
    """One that cannot be read is as if it were missing."""
    head = PlatformHeaders().decode(ResponseHead(200, list(headers.items())))
    assert head.status == 200


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            ["Deadline-Ms", "Token-Count", "Prefix-Hash", "Length-Hint"]
        ),
        header_values,
    )
)
@example({"Deadline-Ms": "\u00b2"})
@example({"Deadline-Ms": "9" * 400})
@example({"Token-Count": "\u00b2,9"})
@example({"Prefix-Hash": "aa:" + "9" * 5_000})
def test_any_header_of_a_caller_is_decoded_or_refused(headers):
    """Callers are told which header is malformed."""
    all_headers = [("Host", "h"), ("Attempt-Id", "a"), *headers.items()]
    incoming = IncomingRequest("GET", "/", all_headers, b"", arrived=1.0)
    try:
        request = decode_request(incoming)
    except BadRequestError:
        return
    assert request.deadline >= 1.0
