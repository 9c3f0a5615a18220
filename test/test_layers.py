"""Checks that no layer imports a higher one."""

import ast
import pathlib

import pytest
from _common import SOURCE

LAYERS = ["state", "coordination", "protocol", "transport"]
"""Layers from the lowest to the highest."""


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
    """Returns the forbidden imports among the modules `names`."""
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
    """A layer must be understandable without the layers above it."""
    found = {
        str(path): upward_imports(layer, imported_modules(path))
        for path in (SOURCE / layer).rglob("*.py")
    }
    assert {path: names for path, names in found.items() if names} == {}


def test_forbidden_import_is_found():
    """The check must find an actual violation."""
    assert upward_imports("state", ["amaranthlug.transport.app"])
