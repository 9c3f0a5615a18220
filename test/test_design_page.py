"""Tests that the design page lists the modules that exist."""

import re

from _common import ROOT, SOURCE

MODULE_PATH = re.compile(
    r"`((?:state|coordination|protocol|transport)/[\w/]+\.py)`"
)


def test_page_names_exactly_the_modules():
    """The page must list every module and no removed one."""
    listed = set(MODULE_PATH.findall((ROOT / "docs" / "design.md").read_text()))
    layers = ("state", "coordination", "protocol", "transport")
    found = {
        path.relative_to(SOURCE).as_posix()
        for layer in layers
        for path in (SOURCE / layer).rglob("*.py")
        if path.name != "__init__.py"
    }
    assert listed - found == set()
    assert found - listed == set()
