"""Guards the design page against modules that came or went."""

import re

from _common import ROOT, SOURCE

NAMED = re.compile(r"`((?:state|coordination|protocol|transport)/[\w/]+\.py)`")


def test_page_names_exactly_the_modules():
    """A table of modules that no longer leads a newcomer to the code."""
    named = set(NAMED.findall((ROOT / "docs" / "design.md").read_text()))
    layers = ("state", "coordination", "protocol", "transport")
    found = {
        path.relative_to(SOURCE).as_posix()
        for layer in layers
        for path in (SOURCE / layer).rglob("*.py")
        if path.name != "__init__.py"
    }
    assert named - found == set()
    assert found - named == set()
