"""Tests that the operators' pages explain every metric."""

import re

from _common import ROOT, SOURCE

METRIC_CALL = re.compile(r"\.(?:incr|gauge|timing)\(\s*(f?)\"([^\"]+)\"")


def metric_names() -> set[str]:
    """Returns the metric names in the code, with `*` for variable parts."""
    names = set()
    for path in SOURCE.rglob("*.py"):
        for f_prefix, name in METRIC_CALL.findall(path.read_text()):
            names.add(re.sub(r"\{[^}]*\}", "*", name) if f_prefix else name)
    return names


def test_each_metric_has_an_action():
    """A metric that no page explains leaves operators without an action."""
    page = (ROOT / "docs" / "operate" / "metrics.md").read_text()
    listed = set(re.findall(r"^\| `([^`]+)`", page, re.MULTILINE))
    assert metric_names() - listed == set()
