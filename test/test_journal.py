"""Tests `amaranthlug journal`."""

import json

import pytest
from click.testing import CliRunner

from amaranthlug_ui.main import main


def make_entry(day: str, score: float, **changes) -> dict:
    """Returns an entry of the benchmark with a field that is ignored."""
    return {
        "v": 1,
        "cmd": "run",
        "why": "Placement by zone",
        "head": "0123456789abcdef",
        "dirty": False,
        "site": "site-a",
        "days": [
            {"name": day, "G": score / 2, "score": score, "rules": {}},
        ],
        **changes,
    }


@pytest.fixture
def folder(tmp_path):
    """A function that writes entries, oldest first, and returns the folder."""

    def write(*entries):
        for number, entry in enumerate(entries):
            file = tmp_path / f"2026010{number}T000000-aa.json"
            file.write_text(json.dumps(entry))
        return str(tmp_path)

    return write


def run(*arguments):
    """Runs the command and returns its result."""
    return CliRunner().invoke(main, ["journal", *arguments])


def test_scores_of_a_day_are_plotted_over_the_runs(folder):
    """A regression shows as a lower bar."""
    result = run(folder(make_entry("day-1", 1.0), make_entry("day-1", 0.0)))
    assert result.exit_code == 0
    assert "site-a day-1  █▁" in result.output
    assert "0123456  score 1.000  worth 0.500" in result.output


def test_trials_are_left_out_unless_asked_for(folder):
    """A run on changed sources says nothing about a commit."""
    entries = folder(
        make_entry("day-1", 0.5, dirty=True),
        make_entry("day-1", 0.6, why="Trial: another bar"),
    )
    assert "0.5" not in run(entries).output
    assert run(entries, "--trials").output.count("(trial)") == 2


def test_broken_rule_in_the_newest_run_exits_with_1(folder):
    """Scripts detect a broken rule by the exit status."""
    broken = make_entry("day-1", 0.0)
    broken["days"][0]["rules"] = {"LOST": 2}
    result = run(folder(make_entry("day-1", 0.5), broken))
    assert result.exit_code == 1
    assert "LOST" in result.output


def test_rows_of_one_day_as_json(folder):
    """Programs read the rows of one day from standard output."""
    entries = folder(make_entry("day-1", 0.5), make_entry("day-2", 0.6))
    rows = run(entries, "--day", "day-2", "--json").output.splitlines()
    assert [json.loads(row)["score"] for row in rows] == [0.6]


def test_malformed_entry_is_reported(folder, tmp_path):
    """A malformed file must not hide the others."""
    entries = folder(make_entry("day-1", 0.5))
    (tmp_path / "20260109T000000-bb.json").write_text("{")
    result = run(entries)
    assert "20260109T000000-bb.json cannot be read" in result.output
    assert "score 0.500" in result.output
