"""From the id of a failed request to its cause, by logs alone."""

import json
import logging
import os

import gevent
import pytest
from _platform_fleet import (
    PlatformFleet,
    a_wire_config,
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
    """A fleet whose node logs into a file."""

    def __init__(self, path, **options):
        """Starts one node."""
        self.path = path
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        self.writer = LineWriter(descriptor)
        self.log = StructuredLog("node-0", self.writer)
        root = logging.getLogger()
        self.before = root.level
        root.addHandler(self.log)
        root.setLevel("INFO")
        self.fleet = PlatformFleet(lines=self.log, **options)

    def explain(self, request_id, *words):
        """Returns exit status and output of the command."""
        gevent.sleep(0.1)
        self.writer.flush()
        done = CliRunner().invoke(
            main, ["explain", request_id, str(self.path), *words]
        )
        return done.exit_code, done.output

    def stop(self):
        """Stops the fleet and the log."""
        logging.getLogger().removeHandler(self.log)
        logging.getLogger().setLevel(self.before)
        self.fleet.stop()
        self.writer.greenlet.kill()


@pytest.fixture
def logged(tmp_path):
    """Starts a fleet that logs."""
    running = LoggedFleet(tmp_path / "node-0.log")
    yield running
    running.stop()


def test_refused_request_leads_to_the_servers_that_left(logged):
    """The command shows the refusal and when the servers went."""
    fleet = logged.fleet
    for server in fleet.servers:
        fleet.store.remove(SERVERS_TOPIC, server.server_id)
    wait_for(lambda: not fleet.nodes[0].servers.usable_servers("pool"))
    assert fleet.call("/safe/x", request_id="refused-1").status == 503
    status, output = logged.explain("refused-1")
    assert status == 0
    assert "no_server (status 503)" in output
    assert "it was sent to no server" in output


def test_cut_stream_leads_to_the_server_that_broke(logged):
    """The command names the server of each sending and what it did."""
    for server in logged.fleet.servers:
        server.faults.cut_after = 2
    logged.fleet.call("/cut/x", request_id="cut-1", headers=stream_headers())
    status, output = logged.explain("cut-1")
    assert status == 0
    assert "stream_cut" in output
    assert "broken" in output


def test_late_answer_leads_to_the_server_that_hung(logged):
    """The command shows the time that the first server took."""
    for server in logged.fleet.servers:
        server.faults.hang = True
    config = a_wire_config(2)
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
    """A script can tell that nothing was found."""
    status, output = logged.explain("nobody")
    assert status == 1
    assert "no line of nobody" in output


def test_lines_of_served_requests_are_left_out_first(tmp_path):
    """Under load the lines of failed requests are kept."""
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
    """A reader that does not read costs lines, not time."""
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    for _ in range(5 * MAX_PENDING):
        writer.put(b"x" * 1_000 + b"\n")
    with gevent.Timeout(2):
        writer.flush()
        writer.flush()
    assert writer.dropped
    writer.greenlet.kill()
    os.close(reading)
    os.close(writing)


def test_fleet_shows_what_is_in_force():
    """Operators see configuration, servers and nodes by one command."""
    fleet = PlatformFleet()
    try:
        wait_for(lambda: fleet.store.topic("keyed.nodes").newest)
        done = gevent.get_hub().threadpool.spawn(
            CliRunner().invoke,
            main,
            ["fleet", "--store", fleet.store.address, "--json"],
        )
        content = json.loads(done.get(timeout=10).output)
    finally:
        fleet.stop()
    assert content["configuration"] == 1
    assert {s["server"] for s in content["servers"]} == {"s0", "s1"}
    assert content["nodes"][0]["node"] == "node-0"


def test_wrong_settings_name_key_and_remedy(tmp_path):
    """A start with wrong settings stops with its reason."""
    path = tmp_path / "settings.yaml"
    path.write_text("name: n\nzone: z\nport: 7\n")
    done = CliRunner().invoke(main, ["check-settings", str(path)])
    assert done.exit_code == 2
    assert "port: unknown key" in done.output
