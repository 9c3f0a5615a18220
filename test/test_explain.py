"""Tests `explain`, `fleet`, `check-settings` and the structured log."""

import json
import logging
import os

import gevent
import pytest
from _platform_fleet import (
    PlatformFleet,
    make_wire_config,
    stream_headers,
    wait_for,
)
from click.testing import CliRunner

from amaranthlug.transport.routing.decision_log import (
    MAX_PENDING,
    SERVED_LINES_PER_S,
    LineWriter,
    StructuredLog,
)
from amaranthlug_platform.records import SERVERS_TOPIC
from amaranthlug_ui.main import main


class LoggedFleet:
    """A fleet whose node logs to a file."""

    def __init__(self, path, **options):
        """Starts one node."""
        self.path = path
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        self.writer = LineWriter(descriptor)
        self.log = StructuredLog("node-0", self.writer)
        root = logging.getLogger()
        self.previous_level = root.level
        root.addHandler(self.log)
        root.setLevel("INFO")
        self.fleet = PlatformFleet(lines=self.log, **options)

    def explain(self, request_id, *options):
        """Runs `explain` and returns its exit status and output."""
        gevent.sleep(0.1)
        self.writer.flush()
        result = CliRunner().invoke(
            main, ["explain", request_id, str(self.path), *options]
        )
        return result.exit_code, result.output

    def stop(self):
        """Stops the fleet and restores the root logger."""
        logging.getLogger().removeHandler(self.log)
        logging.getLogger().setLevel(self.previous_level)
        self.fleet.stop()
        self.writer.greenlet.kill()


@pytest.fixture
def logged(tmp_path):
    """A running fleet that logs to a file."""
    started = LoggedFleet(tmp_path / "node-0.log")
    yield started
    started.stop()


def test_refused_request_is_explained(logged):
    """The command shows that no server was available."""
    fleet = logged.fleet
    for server in fleet.servers:
        fleet.store.remove(SERVERS_TOPIC, server.server_id)
    wait_for(lambda: not fleet.nodes[0].servers.usable_servers("pool"))
    assert fleet.call("/safe/x", request_id="refused-1").status == 503
    status, output = logged.explain("refused-1")
    assert status == 0
    assert "no_server (status 503)" in output
    assert "it was sent to no server" in output


def test_version_of_a_session_is_explained(logged):
    """The line shows what the node knew of the session and what decided."""
    headers = stream_headers(("Session", "se-1"))
    for request_id in ("first-1", "second-1"):
        logged.fleet.call("/cut/x", request_id=request_id, headers=headers)
    _, output = logged.explain("first-1")
    assert "session se-1: not known to this node; version chosen by: only" in (
        output
    )
    _, output = logged.explain("second-1")
    assert "session se-1: on v1 at this node 0" in output


def test_broken_stream_is_explained(logged):
    """The command shows the server and the outcome of each attempt."""
    for server in logged.fleet.servers:
        server.faults.cut_after = 2
    logged.fleet.call("/cut/x", request_id="cut-1", headers=stream_headers())
    status, output = logged.explain("cut-1")
    assert status == 0
    assert "stream_cut" in output
    assert "broken" in output


def test_request_that_crashes_its_servers_is_explained(logged):
    """The command shows the servers, also those of its repetitions."""
    fleet = logged.fleet
    for server in fleet.servers:
        server.faults.crash_on = "/once/bad"
    for number in range(3):
        fleet.wait_until_up()
        fleet.call("/once/bad", request_id=f"bad-{number}", method="POST")
    table = fleet.nodes[0].suspects.table
    wait_for(lambda: any(map(table.is_blocked, table.suspects)))
    answer = fleet.call("/once/bad", request_id="bad-3", method="POST")
    assert answer.status == 503
    status, output = logged.explain("bad-3")
    assert status == 0
    assert "poisoned_request (status 503)" in output
    assert output.count("ended under a request") == 3
    assert output.count("is blocked after 3 servers ended under it") == 1


def test_timeout_is_explained(logged):
    """The command shows the duration of the attempt that timed out."""
    for server in logged.fleet.servers:
        server.faults.hang = True
    config = make_wire_config(2)
    config["routes"][1]["timeout_ms"] = 300
    logged.fleet.configure(config)
    logged.fleet.call("/once/x", request_id="late-1", method="POST", body=b"b")
    status, output = logged.explain("late-1", "--json")
    assert status == 0
    lines = [json.loads(line) for line in output.splitlines()]
    request = next(line for line in lines if line["event"] == "request")
    assert request["outcome"] == "timeout"
    assert request["attempts"][0]["outcome"] == "timeout"
    assert request["attempts"][0]["ms"] >= 300
    assert request["config_version"] == 2


def test_unknown_request_exits_with_1(logged):
    """A script can tell by the exit status that nothing was found."""
    status, output = logged.explain("nobody")
    assert status == 1
    assert "no line of nobody" in output


def test_lines_of_served_requests_are_dropped_first(tmp_path):
    """Under load all lines of failed requests must be kept."""
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    writer = LineWriter(descriptor)
    log = StructuredLog("n", writer, now=lambda: 0.0)
    for number in range(500):
        log.request(True, {"event": "request", "request_id": number})
    for number in range(100):
        log.request(False, {"event": "request", "request_id": f"f{number}"})
    written = b"".join(writer.pending)
    assert written.count(b'"f') == 100
    assert len(writer.pending) < 100 + 10 * SERVED_LINES_PER_S
    writer.greenlet.kill()


def test_full_pipe_never_blocks():
    """A pipe that nobody reads costs lines and never blocks the node."""
    read_end, write_end = os.pipe()
    writer = LineWriter(write_end)
    for _ in range(5 * MAX_PENDING):
        writer.put(b"x" * 1_000 + b"\n")
    with gevent.Timeout(2):
        writer.flush()
        writer.flush()
    assert writer.dropped
    writer.greenlet.kill()
    os.close(read_end)
    os.close(write_end)


def test_fleet_shows_configuration_servers_and_nodes():
    """Operators see the state in force by one command."""
    fleet = PlatformFleet()
    try:
        wait_for(lambda: fleet.store.topic("keyed.nodes").newest)
        task = gevent.get_hub().threadpool.spawn(
            CliRunner().invoke,
            main,
            ["fleet", "--store", fleet.store.address, "--json"],
        )
        content = json.loads(task.get(timeout=10).output)
    finally:
        fleet.stop()
    assert content["configuration"] == 1
    assert {s["server"] for s in content["servers"]} == {"s0", "s1"}
    assert content["nodes"][0]["node"] == "node-0"


def test_unknown_key_in_settings_is_named(tmp_path):
    """Operators find invalid settings before a node is started."""
    path = tmp_path / "settings.yaml"
    path.write_text("name: n\nzone: z\nport: 7\n")
    result = CliRunner().invoke(main, ["check-settings", str(path)])
    assert result.exit_code == 2
    assert "port: unknown key" in result.output
