"""Reads the operators' folder of YAML files into validated parts.

The files are merged in the order of their names. Mappings are merged key by
key; any other value of a later file replaces that of an earlier one, so that
`90-local.yaml` can change one price without repeating the rest.
"""

import dataclasses
import pathlib
from typing import Any

import pydantic
import yaml
from result import Err, Ok, Result

from amaranthlug.protocol.config_models import BODIES
from amaranthlug.state.catalog import Catalog
from amaranthlug.state.catalog_check import build_catalog
from amaranthlug.state.parts import PartProblem


@dataclasses.dataclass(frozen=True)
class FolderProblem:
    """One error in a configuration folder.

    Attributes:
        file: File that set the wrong value, or the folder.
        key: Path of the key, such as `kinds.drafting.deadline_ms`.
        message: What is wrong.
        remedy: What the operator can do.
    """

    file: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Returns the problem as one line."""
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.message}; {self.remedy}"


@dataclasses.dataclass(frozen=True)
class ConfigFolder:
    """A valid folder: parts as they are published, and their catalogue."""

    parts: dict[str, dict[str, Any]]
    catalog: Catalog


class FolderReader:
    """Merges files and remembers which file set each key."""

    def __init__(self, folder: pathlib.Path):
        """Creates a reader of a folder."""
        self.folder = folder
        self.merged: dict[str, Any] = {}
        self.origins: dict[tuple[str, ...], str] = {}
        self.problems: list[FolderProblem] = []

    def read(self) -> Result[ConfigFolder, list[FolderProblem]]:
        """Reads, merges and checks all files."""
        files = sorted(self.folder.glob("*.yaml"), key=lambda file: file.name)
        if not files:
            self.add((), "no *.yaml files", "name the folder that has them")
        for file in files:
            self.read_file(file)
        parts = self.parts()
        if self.problems:
            return Err(self.problems)
        built = build_catalog(parts, -1)
        if isinstance(built, Err):
            return Err([self.located(found) for found in built.err_value])
        return Ok(ConfigFolder(parts, built.ok_value))

    def read_file(self, file: pathlib.Path) -> None:
        """Merges one file."""
        try:
            content = yaml.safe_load(file.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            message = " ".join(str(error).split())
            self.problems.append(
                FolderProblem(
                    file.name, "", message, "correct the file's YAML syntax"
                )
            )
            return
        if content is None:
            return
        if not isinstance(content, dict):
            self.problems.append(
                FolderProblem(
                    file.name,
                    "",
                    "the file is not a mapping",
                    f"start it with one of {', '.join(BODIES)}",
                )
            )
            return
        self.merge(self.merged, content, (), file.name)

    def merge(
        self,
        into: dict[str, Any],
        content: dict[Any, Any],
        at: tuple[str, ...],
        file: str,
    ) -> None:
        """Merges a mapping and records the origin of each key."""
        for raw_name, value in content.items():
            name = str(raw_name)
            place = (*at, name)
            self.origins[place] = file
            if isinstance(value, dict):
                below = into.get(name)
                if not isinstance(below, dict):
                    below = into[name] = {}
                self.merge(below, value, place, file)
            else:
                into[name] = value

    def parts(self) -> dict[str, dict[str, Any]]:
        """Returns the validated bodies by path; adds problems found."""
        parts = {}
        for section, members in self.merged.items():
            if section not in BODIES:
                self.add(
                    (section,),
                    "unknown section",
                    f"use one of {', '.join(BODIES)}",
                )
                continue
            if not isinstance(members, dict):
                self.add(
                    (section,),
                    "is not a mapping",
                    "list its parts by name",
                )
                continue
            for name, body in members.items():
                checked = self.checked_body(section, name, body)
                if checked is not None:
                    parts[f"{section}/{name}"] = checked
        return parts

    def checked_body(
        self, section: str, name: str, body: Any
    ) -> dict[str, Any] | None:
        """Validates one body; adds a problem for each error."""
        try:
            model = BODIES[section].model_validate(body)
        except pydantic.ValidationError as error:
            for found in error.errors():
                place = (section, name, *map(str, found["loc"]))
                self.add(place, found["msg"], remedy_of(found["type"]))
            return None
        return model.model_dump(mode="json")

    def add(self, place: tuple[str, ...], message: str, remedy: str) -> None:
        """Adds a problem at a key."""
        self.problems.append(
            FolderProblem(self.origin(place), ".".join(place), message, remedy)
        )

    def origin(self, place: tuple[str, ...]) -> str:
        """Returns the file that set a key or the nearest key above it."""
        for length in range(len(place), 0, -1):
            if place[:length] in self.origins:
                return self.origins[place[:length]]
        return str(self.folder)

    def located(self, problem: PartProblem) -> FolderProblem:
        """Adds file and full key to a problem of a part."""
        section, _, name = problem.path.partition("/")
        place: tuple[str, ...] = (section, name)
        if problem.key:
            place += tuple(problem.key.replace("[", ".").split("."))
        key = ".".join([section, name, *filter(None, [problem.key])])
        return FolderProblem(
            self.origin(place), key, problem.message, problem.remedy
        )


def remedy_of(error_type: str) -> str:
    """Returns what to do about an error type of pydantic."""
    if error_type == "extra_forbidden":
        return "remove the key or correct its spelling"
    if error_type == "missing":
        return "add the key"
    if error_type == "string_type":
        return "put the value in quotes"
    return "correct the value"


def load_folder(
    folder: pathlib.Path,
) -> Result[ConfigFolder, list[FolderProblem]]:
    """Reads a configuration folder.

    Returns:
        The parts and their catalogue, or every problem found.
    """
    return FolderReader(folder).read()
