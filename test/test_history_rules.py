"""Guards the rules of histories: each must see its planted violation."""

import math

import msgspec
import pytest
from click.testing import CliRunner

from amaranthlug_standins import builders
from amaranthlug_standins.config_timeline import withdrawals
from amaranthlug_standins.history import Attempt, Call
from amaranthlug_standins.history_rules import RULES, check_history
from amaranthlug_standins.run_history import (
    Act,
    History,
    RevisionSeen,
    append_histories,
    read_histories,
)
from amaranthlug_standins.truth import EngineRun
from amaranthlug_ui.main import main

NODE = "127.0.0.1:1"
ENGINE = "127.0.0.1:2"


def publication(offset, at, base=-1):
    """Builds a record of a publication; `acme` may use the cheap version."""
    parts = builders.parts_of(
        builders.make_catalog(
            organisations=[
                builders.make_organisation(allowed=(builders.CHEAP,))
            ]
        )
    )
    record = builders.make_publication(parts, base=base)
    raw = msgspec.json.decode(msgspec.json.encode(record))
    return {**raw, "offset": offset, "appended_at": at}


def bills(*names):
    """Builds a record with bills."""
    entries = [
        msgspec.to_builtins(builders.make_bill(name, output_tokens=5))
        for name in names
    ]
    return {"type": "bill_chunk", "entries": entries, "offset": 9}


def withdrawal(at, epoch=0):
    """Builds a record of a withdrawal of the cheap version."""
    return {
        "type": "withdrawal",
        "version": builders.CHEAP,
        "epoch": epoch,
        "offset": 5,
        "appended_at": at,
    }


def call(number=1, **values):
    """Builds an answered call that is as it should be."""
    defaults = {
        "organisation": "acme",
        "kind": "question",
        "session": "s",
        "digest": f"d{number}",
        "node": NODE,
        "sent_at": 20.0 + number,
        "ended_at": 20.5 + number,
        "attempts": 1,
        "outcome": "answered",
        "version": builders.CHEAP,
        "request_id": f"r{number}",
        "own": True,
        "whole": True,
        "tries": [
            Attempt(
                node=NODE,
                sent_at=20.0 + number,
                ended_at=20.5 + number,
                outcome="answered",
            )
        ],
    }
    return Call(number=number, **(defaults | values))


def run(number=1, **values):
    """Builds the run of a call."""
    defaults = {
        "request_id": f"r{number}",
        "version": builders.CHEAP,
        "digest": f"d{number}",
        "generated": 5,
        "started_at": 20.1 + number,
        "upstream": ENGINE,
    }
    return EngineRun(**(defaults | values))


def refused(not_run=True):
    """Builds the values of a refused call."""
    item = Attempt(
        node=NODE, sent_at=21, ended_at=21.5, outcome="refused", not_run=not_run
    )
    return {"outcome": "refused", "not_run": not_run, "tries": [item]}


def failed():
    """Builds an attempt that ended without a reply."""
    return Attempt(node=NODE, sent_at=21, ended_at=21.5, outcome="failed")


def seen(at, revision):
    """Builds a sight of a node's revision."""
    return RevisionSeen(at=at, node=NODE, incarnation="i", revision=revision)


def history(**values):
    """Builds a history with two calls that breaks nothing."""
    defaults = {
        "calls": [call(1), call(2)],
        "runs": [run(1), run(2)],
        "records": [publication(0, 1.0), bills("r1", "r2")],
        "acts": [
            Act(at=30, kind="shutdown", target=NODE),
            Act(at=36, kind="exit", target=NODE, detail="0"),
            Act(at=25, kind="depart", target=ENGINE),
        ],
        "revisions": [seen(3, -1), seen(4, 0), seen(29, 0)],
    }
    return History(**(defaults | values))


PLANTED = {
    "allowed-version": {"runs": [run(1), run(2, version=builders.BEST)]},
    "withdrawn": {
        "records": [publication(0, 1.0), bills("r1", "r2"), withdrawal(19.0)]
    },
    "session-version": {"calls": [call(1), call(2, version=builders.BEST)]},
    "billed-once": {"records": [publication(0, 1.0), bills("r1")]},
    "whole-answer": {"calls": [call(1), call(2, whole=False)]},
    "not-run-true": {"calls": [call(1), call(2, **refused())]},
    "at-most-once": {
        "calls": [call(1), call(2, idempotent=False)],
        "runs": [run(1), run(2), run(2)],
    },
    "departing-upstream": {"acts": [Act(at=19, kind="depart", target=ENGINE)]},
    "graceful-shutdown": {
        "acts": [
            Act(at=30, kind="shutdown", target=NODE),
            Act(at=36, kind="exit", target=NODE, detail="1"),
        ]
    },
    "config-in-force": {"revisions": [seen(4, 0), seen(5, -1)]},
}


def test_every_promise_has_a_rule_and_a_planted_violation():
    """A promise without a rule would never be seen broken."""
    assert set(PLANTED) == set(RULES)


@pytest.mark.parametrize("rule", RULES)
def test_rule_finds_the_planted_violation_and_no_other_does(rule):
    """A rule that is blind, or one that cries at another's violation."""
    assert RULES[rule](history()) == []
    found = check_history(history(**PLANTED[rule]))
    assert found.broken() == [rule]
    assert found.report()[0].startswith(f"{rule}: ")


@pytest.mark.parametrize(
    ("rule", "values"),
    [
        ("billed-once", {"runs": [run(1), run(1, request_id="r2"), run(2)]}),
        ("billed-once", {"runs": [run(1), run(2, generated=4)]}),
        (
            "billed-once",
            {"records": [publication(0, 1.0), bills("r1", "r2", "r3")]},
        ),
        ("whole-answer", {"calls": [call(1), call(2, own=False)]}),
        ("whole-answer", {"calls": [call(1), call(2, outcome="failed")]}),
        (
            "graceful-shutdown",
            {
                "calls": [call(1), call(2, tries=[failed()])],
                "acts": [
                    Act(at=21, kind="shutdown", target=NODE),
                    Act(at=36, kind="exit", target=NODE, detail="0"),
                ],
            },
        ),
        ("graceful-shutdown", {"acts": [Act(at=30, kind="shutdown")]}),
        ("config-in-force", {"revisions": [seen(13.1, -1)]}),
        (
            "at-most-once",
            {
                "calls": [call(1), call(2), call(3, service="desk", path="/x")],
                "service_runs": {"/x": 2},
            },
        ),
    ],
)
def test_rule_finds_its_other_violations(rule, values):
    """A rule with several forms must see each of them."""
    for item in values.get("calls", []):
        if item.service:
            item.idempotent = False
    assert check_history(history(**values)).broken() == [rule]


def test_faults_move_the_limits_and_reasons_excuse():
    """Limits that hold without faults would blame nodes that were cut off."""
    fault = Act(at=18, until=24, kind="fault", detail="cut")
    late = [publication(0, 1.0), bills("r1", "r2"), withdrawal(17.5)]
    assert "withdrawn" in check_history(history(records=late)).broken()
    assert not check_history(history(records=late, acts=[fault])).broken()
    excused = History(
        records=[publication(0, 1.0)], acts=[fault], revisions=[seen(35.9, -1)]
    )
    assert not check_history(excused).broken()
    excused.revisions = [seen(36.1, -1)]
    assert check_history(excused).broken() == ["config-in-force"]
    told = call(2, version=builders.BEST, moved="withdrawn")
    assert not RULES["session-version"](history(calls=[call(1), told]))
    some_ran = [failed(), refused()["tries"][0]]
    after_failure = call(2, outcome="refused", not_run=True, tries=some_ran)
    assert not RULES["not-run-true"](history(calls=[after_failure]))


def test_rejected_publication_and_readmission_change_the_timeline():
    """A losing publication must not count as in force."""
    records = [publication(0, 1.0), publication(1, 2.0), bills("r1", "r2")]
    assert not check_history(history(records=records)).broken()
    lifted = {"type": "readmission", "version": builders.CHEAP, "epoch": 0}
    found = withdrawals([withdrawal(3.0), {**lifted, "appended_at": 7.0}])
    assert [(item.at, item.until) for item in found] == [(3.0, 7.0)]
    assert withdrawals([withdrawal(3.0)])[0].until == math.inf


def test_command_prints_evidence_and_exits_with_1(tmp_path):
    """An operator must see which promise broke without reading JSON."""
    path = tmp_path / "sub" / "runs.jsonl"
    clean = history()
    append_histories(path, [clean])
    assert read_histories(path) == [clean]
    good = CliRunner().invoke(main, ["history", "check", str(path)])
    assert good.exit_code == 0 and "0 violations" in good.output
    append_histories(path, [history(**PLANTED["billed-once"])])
    bad = CliRunner().invoke(main, ["history", "check", str(path)])
    assert bad.exit_code == 1 and "billed-once: no bill" in bad.output
