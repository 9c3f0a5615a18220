"""Reads a configuration folder of YAML files into validated parts.

Files are merged in the order of their names. Mappings are merged key by key;
any other value of a later file replaces that of an earlier one, so that
`90-local.yaml` can change one price without repeating the other keys.
"""

import dataclasses
import pathlib
from typing import Any

import pydantic
import yaml
from result import Err, Ok, Result

from amaranthlug.protocol.config_models import BODY_MODELS
from amaranthlug.state.catalog import Catalog
from amaranthlug.state.catalog_check import build_catalog
from amaranthlug.state.parts import PartProblem


@dataclasses.dataclass(frozen=True)
class FolderProblem:
    """One error in a configuration folder.

    Attributes:
        file: Name of the file that set the wrong value, or the folder.
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
    """Content of a valid folder: the parts to publish, and their catalogue."""

    parts: dict[str, dict[str, Any]]
    catalog: Catalog


class FolderReader:
    """Merges the files of a folder and records which file set each key."""

    def __init__(self, folder: pathlib.Path):
        """Creates a reader; it does not access the folder yet."""
        self.folder = folder
        self.merged: dict[str, Any] = {}
        self.origins: dict[tuple[str, ...], str] = {}
        self.problems: list[FolderProblem] = []

    def read(self) -> Result[ConfigFolder, list[FolderProblem]]:
        """Reads, merges and validates all files."""
        files = sorted(self.folder.glob("*.yaml"), key=lambda file: file.name)
        if not files:
            self.add_problem(
                (), "no *.yaml files", "name the folder that has them"
            )
        for file in files:
            self.read_file(file)
        parts = self.parts()
        if self.problems:
            return Err(self.problems)
        built = build_catalog(parts, -1)
        if isinstance(built, Err):
            return Err(
                [self.to_folder_problem(problem) for problem in built.err_value]
            )
        return Ok(ConfigFolder(parts, built.ok_value))

    def read_file(self, file: pathlib.Path) -> None:
        """Parses a file and merges its content; adds a problem if it cannot."""
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
                    f"start it with one of {', '.join(BODY_MODELS)}",
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
        """Merges a mapping into another and records the file of each key.

        Args:
            into: Mapping to change.
            content: Mapping read from `file`.
            at: Path of both mappings in the configuration.
            file: Name of the file.
        """
        for raw_name, value in content.items():
            name = str(raw_name)
            key_path = (*at, name)
            self.origins[key_path] = file
            if isinstance(value, dict):
                child = into.get(name)
                if not isinstance(child, dict):
                    child = into[name] = {}
                self.merge(child, value, key_path, file)
            else:
                into[name] = value

    def parts(self) -> dict[str, dict[str, Any]]:
        """Returns the validated bodies by path, and adds the problems found."""
        parts = {}
        for section, members in self.merged.items():
            if section not in BODY_MODELS:
                self.add_problem(
                    (section,),
                    "unknown section",
                    f"use one of {', '.join(BODY_MODELS)}",
                )
                continue
            if not isinstance(members, dict):
                self.add_problem(
                    (section,),
                    "is not a mapping",
                    "list its parts by name",
                )
                continue
            for name, body in members.items():
                validated = self.validate_body(section, name, body)
                if validated is not None:
                    parts[f"{section}/{name}"] = validated
        return parts

    def validate_body(
        self, section: str, name: str, body: Any
    ) -> dict[str, Any] | None:
        """Returns a validated body; adds a problem for each error."""
        try:
            model = BODY_MODELS[section].model_validate(body)
        except pydantic.ValidationError as error:
            for details in error.errors():
                key_path = (section, name, *map(str, details["loc"]))
                self.add_problem(
                    key_path, details["msg"], remedy_for(details["type"])
                )
            return None
        return model.model_dump(mode="json")

    def add_problem(
        self, key_path: tuple[str, ...], message: str, remedy: str
    ) -> None:
        """Adds a problem of a key."""
        self.problems.append(
            FolderProblem(
                self.origin(key_path), ".".join(key_path), message, remedy
            )
        )

    def origin(self, key_path: tuple[str, ...]) -> str:
        """Returns the file that set a key or its nearest parent."""
        for length in range(len(key_path), 0, -1):
            if key_path[:length] in self.origins:
                return self.origins[key_path[:length]]
        return str(self.folder)

    def to_folder_problem(self, problem: PartProblem) -> FolderProblem:
        """Returns a problem of a part with its file and full key."""
        section, _, name = problem.path.partition("/")
        key_path: tuple[str, ...] = (section, name)
        if problem.key:
            key_path += tuple(problem.key.replace("[", ".").split("."))
        key = ".".join([section, name, *filter(None, [problem.key])])
        return FolderProblem(
            self.origin(key_path), key, problem.message, problem.remedy
        )


def remedy_for(error_type: str) -> str:
    """Returns the remedy for an error type of pydantic."""
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
