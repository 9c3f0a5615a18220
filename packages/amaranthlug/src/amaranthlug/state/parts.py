"""Converts the parts of a configuration, JSON bodies by path, to a catalogue.

The result depends on the parts alone, so that all nodes reach the same
catalogue. Unknown keys of a body are ignored here, so that nodes of an older
release accept what a newer command publishes; the folder reader rejects them.
"""

import dataclasses
import re
from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Pool,
    RequestKind,
    Rollout,
    Service,
    Version,
)

Parts = Mapping[str, Mapping[str, Any]]
"""Bodies of parts by path `SECTION/NAME`."""

SECTIONS: dict[str, type] = {
    "organisations": Organisation,
    "versions": Version,
    "pools": Pool,
    "kinds": RequestKind,
    "services": Service,
    "rollouts": Rollout,
}
"""Data class of the parts of each section."""

KEY_IN_ERROR = re.compile(r" - at `\$\.?(.*)`$")
"""Key in an error message of msgspec, such as `... - at `$.limits.streams``."""


@dataclasses.dataclass(frozen=True)
class PartProblem:
    """One reason why parts do not form a valid configuration.

    Attributes:
        path: The part, `SECTION/NAME`.
        key: Key inside the part, such as `limits.streams`; may be empty.
        message: What is wrong.
        remedy: What the operator can do.
    """

    path: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Returns the problem as one line."""
        place = f"{self.path}: {self.key}" if self.key else self.path
        return f"{place}: {self.message}; {self.remedy}"


def split_path(path: str) -> tuple[str, str]:
    """Splits the path of a part into section and name."""
    section, _, name = path.partition("/")
    return section, name


def convert_part(path: str, body: Any) -> Result[Any, PartProblem]:
    """Converts the body of a part to the data class of its section."""
    section, name = split_path(path)
    if section not in SECTIONS or not name:
        return Err(
            PartProblem(
                path, "", "unknown section", f"use one of {', '.join(SECTIONS)}"
            )
        )
    try:
        fields = dict(body)
        fields["name"] = name
        if section == "versions":
            fields["id"] = split_version(name)
        if section == "organisations":
            fields["allowed"] = [
                split_version(text) for text in fields.get("allowed", [])
            ]
        return Ok(msgspec.convert(fields, SECTIONS[section]))
    except msgspec.ValidationError as error:
        found = KEY_IN_ERROR.search(str(error))
        message = KEY_IN_ERROR.sub("", str(error))
        key = found.group(1) if found else ""
        return Err(PartProblem(path, key, message, "correct the value"))
    except (TypeError, ValueError) as error:
        key = "allowed" if section == "organisations" else ""
        return Err(PartProblem(path, key, str(error), "correct the value"))


def split_version(text: str) -> dict[str, str]:
    """Splits `model@version` into the fields of a `VersionId`.

    Raises:
        ValueError: The text does not have this form.
    """
    model, separator, version = str(text).partition("@")
    if not separator or not model or not version:
        raise ValueError(f"{text!r} is not of the form model@version")
    return {"model": model, "version": version}


def convert_parts(
    parts: Parts, revision: int
) -> Result[Catalog, list[PartProblem]]:
    """Converts all parts to a catalogue, without validating its values.

    Returns:
        The catalogue, or a problem for each part that cannot be converted.
    """
    sections: dict[str, dict[Any, Any]] = {name: {} for name in SECTIONS}
    problems = []
    for path in sorted(parts):
        converted = convert_part(path, parts[path])
        if isinstance(converted, Err):
            problems.append(converted.err_value)
            continue
        section, name = split_path(path)
        value = converted.ok_value
        key = value.id if section == "versions" else name
        sections[section][key] = value
    if problems:
        return Err(problems)
    return Ok(Catalog(revision=revision, **sections))
