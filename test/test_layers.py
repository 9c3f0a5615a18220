"""Guards the layers: a lower layer that imports an upper one."""

import ast
import pathlib

import pytest
from _common import SOURCE

LAYERS = ["state", "coordination", "protocol", "transport"]
"""From the lowest layer to the highest."""


def imported_modules(path: pathlib.Path) -> list[str]:
    """Returns the modules that a source file imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def upward_imports(layer: str, names: list[str]) -> list[str]:
    """Returns the imports that a layer may not have."""
    above = LAYERS[LAYERS.index(layer) + 1 :]
    forbidden = [f"amaranthlug.{name}" for name in above]
    forbidden += ["amaranthlug.node", "amaranthlug_ui", "amaranthlug_standins"]
    return [
        name
        for name in names
        if any(name == f or name.startswith(f + ".") for f in forbidden)
    ]


@pytest.mark.parametrize("layer", LAYERS)
def test_layer_imports_nothing_above(layer):
    """A lower layer that imports an upper one could not be read alone."""
    found = {
        str(path): upward_imports(layer, imported_modules(path))
        for path in (SOURCE / layer).rglob("*.py")
    }
    assert {path: names for path, names in found.items() if names} == {}


def test_rule_finds_a_planted_violation():
    """A check that finds nothing would pass for every layout."""
    assert upward_imports("state", ["amaranthlug.transport.app"])
