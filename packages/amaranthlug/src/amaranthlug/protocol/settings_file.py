"""Reads and validates YAML settings files."""

import pathlib
from typing import Any, TypeVar

import pydantic
import yaml
from result import Err, Ok, Result

from amaranthlug.state.settings import NodeSettings


class SettingsError(Exception):
    """Invalid settings file; the message names the file, key and remedy."""


Settings = TypeVar("Settings")


def load_settings(path: pathlib.Path) -> Result[NodeSettings, SettingsError]:
    """Reads and validates the settings file of a node."""
    return load_settings_as(path, NodeSettings)


def load_settings_as(
    path: pathlib.Path, kind: type[Settings]
) -> Result[Settings, SettingsError]:
    """Reads and validates a settings file of the data class `kind`."""
    try:
        content: Any = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        return Err(SettingsError(f"{path}: cannot be read: {error}"))
    return parse_settings_as(str(path), content, kind)


def parse_settings(
    source: str, content: Any
) -> Result[NodeSettings, SettingsError]:
    """Validates the settings of a node; `source` is named in errors."""
    return parse_settings_as(source, content, NodeSettings)


def parse_settings_as(
    source: str, content: Any, kind: type[Settings]
) -> Result[Settings, SettingsError]:
    """Validates settings of the data class `kind`; see `parse_settings`."""
    unknown = find_unknown_key(content, kind)
    if unknown:
        return Err(
            SettingsError(
                f"{source}: {unknown}: unknown key; remove it or see "
                "docs/operate/settings.md for the known ones"
            )
        )
    try:
        return Ok(pydantic.TypeAdapter(kind).validate_python(content))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        return Err(
            SettingsError(
                f"{source}: {key}: {first['msg']}; see "
                "docs/operate/settings.md for the expected value"
            )
        )


def find_unknown_key(content: Any, kind: Any) -> str:
    """Returns the path of the first key not in the data class, or ''."""
    fields = getattr(kind, "__dataclass_fields__", None)
    if fields is None or not isinstance(content, dict):
        return ""
    for name, value in content.items():
        if name not in fields:
            return str(name)
        nested = find_unknown_key(value, fields[name].type)
        if nested:
            return f"{name}.{nested}"
    return ""
