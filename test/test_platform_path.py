"""The whole path over loopback: answers, failures, keys, leaving."""

import json

import gevent
import pytest
from _platform_fleet import (
    KEY,
    PlatformFleet,
    a_wire_config,
    call,
    event_ids,
    read_answer,
    reason,
    stream_headers,
    wait_for,
)

from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug_platform.records import SERVERS_TOPIC


@pytest.fixture
def fleet():
    """Starts one node and two servers."""
    running = PlatformFleet()
    yield running
    running.stop()


def faults_at_all(fleet, **faults):
    """Sets faults at all servers."""
    for server in fleet.servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)


def test_plain_answer_comes_unchanged(fleet):
    """Status, body and signature are those of the server."""
    answer = fleet.call("/safe/x?y=1", method="POST", body=b"hello")
    assert answer.status == 200
    assert answer.body == b"POST /safe/x?y=1hello"
    assert answer.headers["server-seal"].startswith("seal-s")
    assert answer.headers["attempt-id"] == "id-1"


def test_server_gets_organisation_but_no_key(fleet):
    """What a caller says of its organisation does not count."""
    forged = (("Tenant", "other"), ("Hold", "h1"), ("Pin-Ms", "9"))
    fleet.call("/safe/x", headers=forged)
    seen = next(s.seen[0] for s in fleet.servers if s.seen)
    names = [name.lower() for name, _ in seen.headers]
    assert seen.get("tenant") == "org-1"
    assert names.count("tenant") == 1
    assert not {"authorization", "hold", "pin-ms"} & set(names)
    assert 0 < int(seen.get("deadline-ms")) <= 3_000


def test_unknown_route_and_key(fleet):
    """They are refused for good."""
    assert fleet.call("/none/x").status == 404
    assert fleet.call("/safe/x", key="wrong").status == 401
    assert fleet.call("/safe/x", key=None).status == 401


def test_idempotent_request_is_repeated_elsewhere(fleet):
    """A lost answer costs the caller nothing."""
    fleet.servers[0].faults.lose_answers = True
    for number in range(6):
        assert fleet.call("/safe/x", request_id=f"r{number}").status == 200


def test_non_idempotent_request_runs_once(fleet):
    """After a lost answer it is not sent again, and nothing is promised."""
    faults_at_all(fleet, lose_answers=True)
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 502
    assert fleet.runs("id-1") == 1


def test_refusal_that_says_not_run_is_true(fleet):
    """503 comes only if no server began the request."""
    faults_at_all(fleet, refuse=True)
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert fleet.runs("id-1") == 0


def test_refusal_without_a_statement_is_no_promise(fleet):
    """A server's 503 that does not say 'not run' is not passed on."""
    faults_at_all(fleet, status=503)
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 502
    assert fleet.runs("id-1") == 1


def test_no_server_is_refused_at_once(fleet):
    """A caller is told to come back instead of being kept waiting."""
    for server in fleet.servers:
        fleet.store.remove(SERVERS_TOPIC, server.server_id)
    wait_for(lambda: not fleet.nodes[0].servers.usable_servers("pool"))
    with gevent.Timeout(0.4):
        answer = fleet.call("/safe/x")
    assert answer.status == 503


def test_silent_server_does_not_hold_an_idempotent_request(fleet):
    """Another server is asked before the caller's time is over."""
    fleet.servers[0].faults.hang = True
    for number in range(4):
        answer = fleet.call("/safe/x", request_id=f"r{number}")
        assert answer.status == 200


def test_timeout_of_the_route_ends_the_wait(fleet):
    """A non-idempotent request ends with 504 soon after its limit."""
    config = a_wire_config(2)
    config["routes"][1]["timeout_ms"] = 300
    fleet.configure(config)
    faults_at_all(fleet, hang=True)
    with gevent.Timeout(0.7):
        answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 504
    wait_for(lambda: sum(s.abandoned for s in fleet.servers) == 1)


def test_answer_to_another_request_is_passed_over(fleet):
    """A late answer of an earlier request belongs to nobody."""
    faults_at_all(fleet, foreign_first=True)
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 200
    assert answer.body == b"POST /once/xb"


def test_second_answer_does_not_reach_the_next_caller(fleet):
    """Bytes behind an answer end the connection that they came on."""
    faults_at_all(fleet, extra=True)
    for number in range(6):
        answer = fleet.call(f"/safe/{number}", request_id=f"r{number}")
        assert answer.body == f"GET /safe/{number}".encode()


def test_cut_answer_is_not_passed_off_as_whole(fleet):
    """A body that ends early is a failure."""
    faults_at_all(fleet, truncate=True)
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 502


def test_server_failure_is_delivered(fleet):
    """A server's own failure keeps its status."""
    faults_at_all(fleet, status=500)
    answer = fleet.call("/safe/x")
    assert answer.status == 500
    assert "server-seal" in answer.headers


def test_stream_is_whole(fleet):
    """All events come once and in order."""
    answer = fleet.call("/stream/x", headers=stream_headers())
    assert answer.whole
    assert event_ids(answer.body) == [1, 2, 3, 4, 5]


def test_cut_stream_goes_on_at_another_server(fleet):
    """The caller sees one stream without a gap or a repeated event."""
    fleet.servers[0].faults.cut_after = 2
    for number in range(4):
        answer = fleet.call(
            "/stream/x", request_id=f"r{number}", headers=stream_headers()
        )
        assert answer.whole
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]


def test_cut_stream_that_may_not_go_on_is_cut_for_the_caller(fleet):
    """It must not look complete."""
    faults_at_all(fleet, cut_after=2)
    answer = fleet.call("/cut/x", headers=stream_headers())
    assert not answer.whole
    assert fleet.runs("id-1") == 1


def test_caller_resumes_where_it_was(fleet):
    """The id of the last event goes on to the server."""
    answer = fleet.call(
        "/stream/x", headers=stream_headers(("Last-Event-Id", "3"))
    )
    assert event_ids(answer.body) == [4, 5]


def test_unsure_model_is_followed_by_the_largest():
    """The caller receives only the larger model's answer."""
    fleet = PlatformFleet(confidence={"small": 20, "large": 90})
    try:
        answer = fleet.call("/stream/x", headers=stream_headers())
        assert answer.whole
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        models = [r.get("model") for s in fleet.servers for r in s.seen]
        assert sorted(models) == ["large", "small"]
    finally:
        fleet.stop()


def test_larger_model_that_would_be_late_is_not_asked():
    """Overload: an answer at hand is not dropped for one that comes late."""
    fleet = PlatformFleet(confidence={"small": 20, "large": 90})
    headers = [
        (name, "60000,50" if name == "Token-Count" else value)
        for name, value in stream_headers()
    ]
    try:
        answer = fleet.call("/stream/x", headers=headers)
        assert answer.whole
        models = [r.get("model") for s in fleet.servers for r in s.seen]
        assert models == ["small"]
    finally:
        fleet.stop()


def test_sure_model_is_enough():
    """A small model's answer is delivered if it is sure."""
    fleet = PlatformFleet(confidence={"small": 90})
    try:
        fleet.call("/stream/x", headers=stream_headers())
        models = [r.get("model") for s in fleet.servers for r in s.seen]
        assert models == ["small"]
    finally:
        fleet.stop()


def test_caller_that_leaves_ends_the_work(fleet):
    """The server stops within half a second."""
    for server in fleet.servers:
        server.events, server.event_s = 200, 0.05
    node = fleet.nodes[0]
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    headers = [
        ("Host", "svc.example"),
        ("Attempt-Id", "leaver"),
        ("Authorization", f"Bearer {KEY}"),
        *stream_headers(),
    ]
    connection.send(render_request("GET", "/stream/x", headers, b""), 1.0)
    connection.read_head(2.0)
    connection.close()
    wait_for(lambda: sum(s.abandoned for s in fleet.servers) == 1, 0.5)


def test_withdrawn_key_stops(fleet):
    """A request with it does not run any more."""
    fleet.configure(a_wire_config(2, keys=("key-2",)))
    assert fleet.call("/safe/x").status == 401
    assert fleet.runs("id-1") == 0


def test_keys_that_cannot_be_confirmed_are_refused_for_now(fleet):
    """Cut off from the store a node says 503, never 401."""
    node = fleet.nodes[0]
    fleet.store.faults.down = "busy"
    node.router.key_age_limit_s = 0.3
    wait_for(lambda: node.config_follower.age_s() > 0.4)
    answer = fleet.call("/safe/x")
    assert answer.status == 503
    assert reason(answer) == "unconfirmed_configuration"
    node.router.key_age_limit_s = 4.0
    assert fleet.call("/safe/x").status == 200


def test_added_route_is_served_and_dropped_route_is_not(fleet):
    """A new configuration is in force as soon as it is read."""
    config = a_wire_config(2)
    config["routes"][0]["path_prefix"] = "/new/"
    fleet.configure(config)
    assert fleet.call("/new/x").status == 200
    assert fleet.call("/safe/x").status == 404


def test_store_that_forgets_its_history_changes_nothing(fleet):
    """Nodes load the newest records and go on."""
    fleet.store.forget_history()
    fleet.configure(a_wire_config(3))
    assert fleet.call("/safe/x").status == 200


def test_silent_store_is_left_and_found_again(fleet):
    """A silent connection ends by the node's own limit."""
    fleet.store.faults.down = "silent"
    gevent.sleep(2.5)
    fleet.store.faults.down = ""
    fleet.configure(a_wire_config(4))


def test_crashed_server_is_passed_over(fleet):
    """Its entry still stands, so the first send fails and another is tried."""
    fleet.servers[0].crash()
    for number in range(6):
        answer = fleet.call(
            "/once/x", method="POST", body=b"b", request_id=f"r{number}"
        )
        assert answer.status == 200


def test_pipelined_requests_are_answered_in_order(fleet):
    """Bytes that were read ahead belong to the next request."""
    node = fleet.nodes[0]
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    data = b""
    for number in range(3):
        headers = [
            ("Host", "svc.example"),
            ("Attempt-Id", f"p{number}"),
            ("Authorization", f"Bearer {KEY}"),
        ]
        data += render_request("GET", f"/safe/{number}", headers, b"")
    connection.send(data, 1.0)
    for number in range(3):
        answer = read_answer(connection)
        assert answer.body == f"GET /safe/{number}".encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /safe/x HTTP/1.1\r\nHost: svc.example\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nhello",
            400,
        ),
        (b"GET /safe/x HTTP/1.1\r\nA: " + b"b" * 5_000 + b"\r\n\r\n", 431),
        (
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 200000\r\n\r\n" + b"x" * 120_000,
            413,
        ),
        (b"GET /safe/x HTTP/1.1\r\nHost: a\r\n", 408),
    ],
)
def test_malformed_requests_are_rejected(fleet, data, status):
    """One strict reading of framing, and the limits of the configuration."""
    node = fleet.nodes[0]
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    connection.send(data, 1.0)
    assert read_answer(connection).status == status


def test_request_hidden_in_a_body_does_not_run(fleet):
    """What a body holds is no request."""
    hidden = b"GET /safe/hidden HTTP/1.1\r\nAttempt-Id: hidden\r\n\r\n"
    assert fleet.call("/safe/x", method="POST", body=hidden).status == 200
    assert fleet.runs("hidden") == 0


def test_directory_readiness_and_metrics(fleet):
    """What the platform and callers ask is answered."""
    addresses = fleet.nodes[0].settings.addresses
    wait_for(fleet.nodes[0].is_ready)
    target = "/amaranthlug/resolve?name=svc.example&zone=zone-a&region=region"
    found = call(addresses.directory, target)
    assert json.loads(found.body)["addresses"] == [addresses.callers]
    assert call(addresses.readiness, "/amaranthlug/readyz").status == 200
    fleet.call("/safe/x")
    metrics = call(addresses.metrics, "/metrics").body.decode()
    assert 'amaranthlug_requests_total{kind="answered"} 1.0' in metrics


def test_leaving_node_cuts_no_request():
    """Running streams end whole, and callers are sent elsewhere at once."""
    fleet = PlatformFleet(nodes=2, events=40, event_s=0.1)
    try:
        node, border = fleet.nodes[0], fleet.borders[0]
        directory = fleet.nodes[1].settings.addresses.directory
        target = "/amaranthlug/resolve?name=svc.example&zone=zone-a"
        wait_for(
            lambda: (
                len(json.loads(call(directory, target).body)["addresses"]) == 2
            )
        )
        streams = [
            gevent.spawn(
                fleet.call,
                "/stream/x",
                request_id=f"r{number}",
                headers=stream_headers(),
            )
            for number in range(4)
        ]
        gevent.sleep(0.3)
        border.begin_drain()
        leaving = gevent.spawn(
            node.stop, border.running, border.callers.stop_accepting
        )
        wait_for(
            lambda: (
                len(json.loads(call(directory, target).body)["addresses"]) == 1
            ),
            2.5,
        )
        addresses = node.settings.addresses
        assert call(addresses.readiness, "/amaranthlug/readyz").status == 503
        late = fleet.call("/safe/x", request_id="late")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        for stream in streams:
            answer = stream.get()
            assert answer.whole
            assert len(event_ids(answer.body)) == 40
        leaving.get(timeout=8)
    finally:
        fleet.stop()


def test_stopped_listener_closes_idle_connections(fleet):
    """A kept connection brings no request to a node that is about to end."""
    node, border = fleet.nodes[0], fleet.borders[0]
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    headers = [
        ("Host", "svc.example"),
        ("Attempt-Id", "kept"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    connection.send(render_request("GET", "/safe/x", headers, b""), 1.0)
    assert read_answer(connection).status == 200
    assert connection.is_open_and_idle()
    border.callers.stop_accepting()
    wait_for(lambda: not connection.is_open_and_idle(), 0.5)


def test_request_that_is_being_read_is_answered_before_the_end(fleet):
    """The process must not end between reading and answering it."""
    node, border = fleet.nodes[0], fleet.borders[0]
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    headers = [
        ("Host", "svc.example"),
        ("Attempt-Id", "halfway"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    data = render_request("GET", "/safe/x", headers, b"")
    connection.send(data[:40], 1.0)
    wait_for(lambda: border.running() == 1, 1.0)
    border.begin_drain()
    border.callers.stop_accepting()
    gevent.sleep(0.1)
    assert border.running() == 1
    connection.send(data[40:], 1.0)
    assert read_answer(connection).status == 200
    wait_for(lambda: border.running() == 0, 1.0)


def test_stream_that_began_before_the_close_is_the_last_on_its_connection():
    """Its head could not yet say that the connection will close."""
    fleet = PlatformFleet(events=10, event_s=0.05)
    try:
        node, border = fleet.nodes[0], fleet.borders[0]
        connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
        headers = [
            ("Host", "svc.example"),
            ("Attempt-Id", "early"),
            ("Authorization", f"Bearer {KEY}"),
            *stream_headers(),
        ]
        connection.send(render_request("GET", "/stream/x", headers, b""), 1.0)
        wait_for(lambda: sum(s.runs["early"] for s in fleet.servers) == 1)
        gevent.sleep(0.1)
        border.begin_drain()
        border.callers.stop_accepting()
        answer = read_answer(connection)
        assert answer.whole
        assert len(event_ids(answer.body)) == 10
        wait_for(lambda: not connection.is_open_and_idle(), 0.5)
    finally:
        fleet.stop()


def test_request_that_crosses_the_close_of_its_connection_is_answered(fleet):
    """The end of reading must not be taken for a caller that left."""
    node, border = fleet.nodes[0], fleet.borders[0]
    for server in fleet.servers:
        server.faults.delay_s = 0.2
    connection = HttpConnection.open(node.settings.addresses.callers, 1.0)
    wait_for(lambda: len(border.callers.idle) == 1, 1.0)
    headers = [
        ("Host", "svc.example"),
        ("Attempt-Id", "crossing"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    connection.send(render_request("GET", "/safe/x", headers, b""), 1.0)
    border.callers.stop_accepting()
    assert read_answer(connection).status == 200


def test_every_request_leaves_a_line_with_its_decisions(fleet):
    """The line names servers, outcome and the age of the configuration."""
    fleet.servers[0].faults.lose_answers = True
    fleet.servers[1].faults.lose_answers = True
    fleet.call("/once/x", method="POST", body=b"b", request_id="traced")
    line = next(
        line for line in fleet.lines.requests if line["request_id"] == "traced"
    )
    assert line["outcome"] == "upstream_failed"
    assert line["config_version"] == 1
    assert line["attempts"][0]["outcome"] == "broken"
