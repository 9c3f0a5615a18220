"""Tests the operators' commands against the log stand-in."""

import json
import shutil

import pytest
import yaml
from click.testing import CliRunner
from result import Err, Ok

from amaranthlug.state.record_codec import encode_record
from amaranthlug.state.records import BillChunk, BillEntry
from amaranthlug_standins.log import LogStandIn
from amaranthlug_standins.sample_folders import HENGYUN, sample_folder
from amaranthlug_ui import connections
from amaranthlug_ui.main import main


@pytest.fixture(name="log")
def log_fixture():
    """A running log stand-in."""
    log = LogStandIn.from_config().start()
    yield log
    log.stop()


@pytest.fixture(name="folder")
def folder_fixture(tmp_path):
    """A copy of a sample folder."""
    shutil.copytree(sample_folder(HENGYUN), tmp_path / "config")
    return tmp_path / "config"


def run(*arguments, log=None, operator="ana"):
    """Runs the command and returns exit status and output."""
    env = {"AMARANTHLUG_OPERATOR": operator}
    if log is not None:
        env["AMARANTHLUG_LOG"] = f"http://{log.address}"
    result = CliRunner().invoke(
        main, [str(argument) for argument in arguments], env=env
    )
    return result.exit_code, result.output


def write_quality_target(folder, target):
    """Overrides the quality target of one kind in an additional file."""
    body = {"kinds": {"copy-note": {"quality_target": target}}}
    (folder / "90-change.yaml").write_text(yaml.safe_dump(body))


def test_check_exits_with_2_and_names_the_key(folder):
    """A script must not continue with a folder that has errors."""
    assert run("check", folder)[0] == 0
    write_quality_target(folder, 7.0)
    status, output = run("check", folder)
    assert status == 2
    assert "90-change.yaml: kinds.copy-note.quality_target: 7.0" in output
    assert run("publish", folder, "--log", "http://127.0.0.1:9")[0] == 2


def test_publish_reports_nodes_and_time(log, folder, monkeypatch):
    """An operator must see a node that has not applied a revision."""
    statuses = {"a:1": Ok({"revision": 0}), "b:1": Err("refused")}
    monkeypatch.setattr(connections, "node_status", statuses.get)
    status, output = run("publish", folder, "--nodes", "a:1", log=log)
    assert (status, "in force at 1 of 1 nodes" in output) == (0, True)
    options = ("--nodes", "a:1,b:1", "--wait", "0.3")
    status, output = run("publish", folder, *options, log=log)
    assert status == 3
    assert "1 of 2 nodes" in output and "not confirmed by b:1" in output


def test_conflict_names_the_other_operator_and_applies_nothing(log, folder):
    """The operator whose publication fails must learn who published first."""
    other = folder.parent / "other"
    assert run("publish", folder, log=log)[0] == 0
    shutil.copytree(folder, other)
    write_quality_target(folder, 0.6)
    assert run("publish", folder, log=log, operator="mei")[0] == 0
    write_quality_target(other, 0.5)
    status, output = run("publish", other, log=log, operator="rui")
    assert status == 1
    assert "mei published revision 1 with kinds/copy-note" in output
    assert "revision 1 by mei" in run("status", log=log)[1]
    assert json.loads((other / ".amaranthlug.json").read_text()) == {
        "revision": 0
    }
    status, _ = run("publish", other, "--rebase", log=log, operator="rui")
    assert status == 0
    assert "revision 2 by rui" in run("status", log=log)[1]


def test_withdraw_and_readmit_show_in_status(log, folder):
    """Operators must see which versions are out of service."""
    run("publish", folder, log=log)
    assert run("withdraw", "swift@4", "--reason", "bad", log=log)[0] == 0
    assert "withdrawn: swift@4" in run("status", log=log)[1]
    assert run("readmit", "swift@4", log=log)[0] == 0
    assert "withdrawn" not in run("status", log=log)[1]
    status, output = run("readmit", "swift@4", log=log)
    assert (status, "is not withdrawn" in output) == (1, True)


def make_chunk(sequence, *names):
    """Returns a chunk with a bill of 5 for each request id."""
    entries = [
        BillEntry(
            request_id=name,
            organisation="billing",
            kind="copy-note",
            version="swift@3",
            prompt_tokens=10,
            output_tokens=20,
            cost=5,
            outcome="complete",
        )
        for name in names
    ]
    return encode_record(
        BillChunk(
            id=f"c{sequence}",
            incarnation="i",
            sequence=sequence,
            entries=entries,
        )
    )


def test_bill_counts_each_request_once(log):
    """A node that cannot see a bill may append it a second time."""
    log.append([make_chunk(1, "a", "b"), make_chunk(2, "b", "c", "c")])
    status, output = run("bill", "--requests", log=log)
    assert status == 0
    assert output.count("cost 5\n") == 3
    assert "billing: 3 requests, cost 15" in output
    assert "total: 3 requests, cost 15" in output
    assert run("bill", "--request", "c", log=log)[1].startswith("c billing")


def test_command_that_is_not_installed_is_not_listed():
    """Help must work without the packages of optional commands."""
    assert run("--help")[0] == 0
    assert run("no-such-command")[0] == 2
