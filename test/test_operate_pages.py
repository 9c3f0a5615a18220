"""Guards the operators' pages against metrics that they do not explain."""

import re

from _common import ROOT, SOURCE

CALL = re.compile(r"\.(?:incr|gauge|timing)\(\s*(f?)\"([^\"]+)\"")


def metric_names() -> set[str]:
    """Returns the metrics of the code; a part set at run time is `*`."""
    names = set()
    for path in SOURCE.rglob("*.py"):
        for form, name in CALL.findall(path.read_text()):
            names.add(re.sub(r"\{[^}]*\}", "*", name) if form else name)
    return names


def test_each_metric_has_an_action():
    """A counter that rises at night and that no page explains."""
    page = (ROOT / "docs" / "operate" / "metrics.md").read_text()
    listed = set(re.findall(r"^\| `([^`]+)`", page, re.MULTILINE))
    assert metric_names() - listed == set()
