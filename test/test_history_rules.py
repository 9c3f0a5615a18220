"""Tests that each history rule finds violations of its promise."""

import math

import msgspec
import pytest
from click.testing import CliRunner

from amaranthlug_standins import builders
from amaranthlug_standins.calls import Attempt, Call
from amaranthlug_standins.config_timeline import withdrawal_periods
from amaranthlug_standins.history_rules import RULES, check_history
from amaranthlug_standins.run_history import (
    Act,
    History,
    ObservedRevision,
    append_histories,
    read_histories,
)
from amaranthlug_standins.truth import EngineRun
from amaranthlug_ui.main import main

NODE = "127.0.0.1:1"
ENGINE = "127.0.0.1:2"


def make_publication(offset, at, base=-1):
    """Returns a publication record; `acme` may use the cheap version."""
    parts = builders.make_parts(
        builders.make_catalog(
            organisations=[
                builders.make_organisation(allowed=(builders.CHEAP,))
            ]
        )
    )
    record = builders.make_publication(parts, base=base)
    raw = msgspec.json.decode(msgspec.json.encode(record))
    return {**raw, "offset": offset, "appended_at": at}


def make_bills(*request_ids):
    """Returns a record with a bill for each request id."""
    entries = [
        msgspec.to_builtins(builders.make_bill(request_id, output_tokens=5))
        for request_id in request_ids
    ]
    return {"type": "bill_chunk", "entries": entries, "offset": 9}


def make_withdrawal(at, epoch=0):
    """Returns a withdrawal record of the cheap version."""
    return {
        "type": "withdrawal",
        "version": builders.CHEAP,
        "epoch": epoch,
        "offset": 5,
        "appended_at": at,
    }


def make_call(number=1, **values):
    """Returns an answered call that breaks no promise."""
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


def make_run(number=1, **values):
    """Returns the engine run of a call."""
    defaults = {
        "request_id": f"r{number}",
        "version": builders.CHEAP,
        "digest": f"d{number}",
        "generated": 5,
        "started_at": 20.1 + number,
        "upstream": ENGINE,
    }
    return EngineRun(**(defaults | values))


def refused_values(not_run=True):
    """Returns the values of a refused call."""
    attempt = Attempt(
        node=NODE, sent_at=21, ended_at=21.5, outcome="refused", not_run=not_run
    )
    return {"outcome": "refused", "not_run": not_run, "tries": [attempt]}


def make_failed_attempt():
    """Returns an attempt that ended without a reply."""
    return Attempt(node=NODE, sent_at=21, ended_at=21.5, outcome="failed")


def make_observed(at, revision):
    """Returns a revision that the node reported."""
    return ObservedRevision(
        at=at, node=NODE, incarnation="i", revision=revision
    )


def make_history(**values):
    """Returns a history of two calls that breaks no promise."""
    defaults = {
        "calls": [make_call(1), make_call(2)],
        "runs": [make_run(1), make_run(2)],
        "records": [make_publication(0, 1.0), make_bills("r1", "r2")],
        "acts": [
            Act(at=30, kind="shutdown", target=NODE),
            Act(at=36, kind="exit", target=NODE, detail="0"),
            Act(at=25, kind="depart", target=ENGINE),
        ],
        "revisions": [
            make_observed(3, -1),
            make_observed(4, 0),
            make_observed(29, 0),
        ],
    }
    return History(**(defaults | values))


VIOLATIONS = {
    "allowed-version": {
        "runs": [make_run(1), make_run(2, version=builders.BEST)]
    },
    "withdrawn": {
        "records": [
            make_publication(0, 1.0),
            make_bills("r1", "r2"),
            make_withdrawal(19.0),
        ]
    },
    "session-version": {
        "calls": [make_call(1), make_call(2, version=builders.BEST)]
    },
    "billed-once": {"records": [make_publication(0, 1.0), make_bills("r1")]},
    "whole-answer": {"calls": [make_call(1), make_call(2, whole=False)]},
    "not-run-true": {"calls": [make_call(1), make_call(2, **refused_values())]},
    "at-most-once": {
        "calls": [make_call(1), make_call(2, idempotent=False)],
        "runs": [make_run(1), make_run(2), make_run(2)],
    },
    "departing-upstream": {"acts": [Act(at=19, kind="depart", target=ENGINE)]},
    "graceful-shutdown": {
        "acts": [
            Act(at=30, kind="shutdown", target=NODE),
            Act(at=36, kind="exit", target=NODE, detail="1"),
        ]
    },
    "config-in-force": {
        "revisions": [make_observed(4, 0), make_observed(5, -1)]
    },
}


def test_every_rule_has_an_example_violation():
    """A rule without an example would not be tested."""
    assert set(VIOLATIONS) == set(RULES)


@pytest.mark.parametrize("rule", RULES)
def test_only_the_rule_of_a_promise_finds_its_violation(rule):
    """Each rule must find its own violation and ignore those of others."""
    assert RULES[rule](make_history()) == []
    checked = check_history(make_history(**VIOLATIONS[rule]))
    assert checked.broken() == [rule]
    assert checked.report()[0].startswith(f"{rule}: ")


@pytest.mark.parametrize(
    ("rule", "values"),
    [
        (
            "billed-once",
            {"runs": [make_run(1), make_run(1, request_id="r2"), make_run(2)]},
        ),
        ("billed-once", {"runs": [make_run(1), make_run(2, generated=4)]}),
        (
            "billed-once",
            {
                "records": [
                    make_publication(0, 1.0),
                    make_bills("r1", "r2", "r3"),
                ]
            },
        ),
        ("whole-answer", {"calls": [make_call(1), make_call(2, own=False)]}),
        (
            "whole-answer",
            {"calls": [make_call(1), make_call(2, outcome="failed")]},
        ),
        (
            "graceful-shutdown",
            {
                "calls": [
                    make_call(1),
                    make_call(2, tries=[make_failed_attempt()]),
                ],
                "acts": [
                    Act(at=21, kind="shutdown", target=NODE),
                    Act(at=36, kind="exit", target=NODE, detail="0"),
                ],
            },
        ),
        ("graceful-shutdown", {"acts": [Act(at=30, kind="shutdown")]}),
        ("config-in-force", {"revisions": [make_observed(13.1, -1)]}),
        (
            "at-most-once",
            {
                "calls": [
                    make_call(1),
                    make_call(2),
                    make_call(3, service="desk", path="/x"),
                ],
                "service_runs": {"/x": 2},
            },
        ),
    ],
)
def test_rule_finds_its_other_violations(rule, values):
    """A rule must find every form of violation that it covers."""
    for item in values.get("calls", []):
        if item.service:
            item.idempotent = False
    assert check_history(make_history(**values)).broken() == [rule]


def test_faults_extend_limits_and_stated_reasons_are_accepted():
    """Normal limits would report nodes that a fault had cut off."""
    fault = Act(at=18, until=24, kind="fault", detail="cut")
    late_records = [
        make_publication(0, 1.0),
        make_bills("r1", "r2"),
        make_withdrawal(17.5),
    ]
    assert (
        "withdrawn"
        in check_history(make_history(records=late_records)).broken()
    )
    assert not check_history(
        make_history(records=late_records, acts=[fault])
    ).broken()
    excused = History(
        records=[make_publication(0, 1.0)],
        acts=[fault],
        revisions=[make_observed(35.9, -1)],
    )
    assert not check_history(excused).broken()
    excused.revisions = [make_observed(36.1, -1)]
    assert check_history(excused).broken() == ["config-in-force"]
    explained = make_call(2, version=builders.BEST, moved="withdrawn")
    assert not RULES["session-version"](
        make_history(calls=[make_call(1), explained])
    )
    attempts = [make_failed_attempt(), refused_values()["tries"][0]]
    after_failure = make_call(
        2, outcome="refused", not_run=True, tries=attempts
    )
    assert not RULES["not-run-true"](make_history(calls=[after_failure]))


def test_rejected_publication_and_readmission_change_the_timeline():
    """Rejected publications do not count, and readmissions end withdrawals."""
    records = [
        make_publication(0, 1.0),
        make_publication(1, 2.0),
        make_bills("r1", "r2"),
    ]
    assert not check_history(make_history(records=records)).broken()
    readmission = {"type": "readmission", "version": builders.CHEAP, "epoch": 0}
    periods = withdrawal_periods(
        [make_withdrawal(3.0), {**readmission, "appended_at": 7.0}]
    )
    assert [(period.at, period.until) for period in periods] == [(3.0, 7.0)]
    assert withdrawal_periods([make_withdrawal(3.0)])[0].until == math.inf


def test_command_prints_evidence_and_exits_with_1(tmp_path):
    """The command must name the broken promise, with its evidence."""
    path = tmp_path / "sub" / "runs.jsonl"
    clean = make_history()
    append_histories(path, [clean])
    assert read_histories(path) == [clean]
    good = CliRunner().invoke(main, ["history", "check", str(path)])
    assert good.exit_code == 0 and "0 violations" in good.output
    append_histories(path, [make_history(**VIOLATIONS["billed-once"])])
    bad = CliRunner().invoke(main, ["history", "check", str(path)])
    assert bad.exit_code == 1 and "billed-once: no bill" in bad.output
