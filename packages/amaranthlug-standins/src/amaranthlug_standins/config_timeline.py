"""Configuration and withdrawals over time, from the records of the log.

This is a second, simpler reading of the log beside the router's fold, so that
a fault in the fold is seen. It relies on experiments publishing valid parts.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Any


@dataclasses.dataclass(frozen=True)
class Revision:
    """An accepted publication.

    Attributes:
        at: Wall-clock time of its arrival at the log.
        allowed: Names of allowed versions by organisation.
    """

    offset: int
    at: float
    operator: str
    allowed: Mapping[str, frozenset[str]]


@dataclasses.dataclass(frozen=True)
class Withdrawn:
    """A time during which a version is withdrawn."""

    version: str
    at: float
    until: float = math.inf


def accepted_revisions(records: Iterable[Mapping[str, Any]]) -> list[Revision]:
    """Returns the accepted publications, by the rule of the log.

    A publication is accepted if its base is the revision in force; one that
    was appended twice has another base than itself and is rejected.
    """
    found: list[Revision] = []
    allowed: dict[str, frozenset[str]] = {}
    for record in records:
        if record.get("type") != "publication":
            continue
        if record["base"] != (found[-1].offset if found else -1):
            continue
        for path, body in record.get("parts", {}).items():
            section, _, name = path.partition("/")
            if section == "organisations":
                allowed[name] = frozenset(body["allowed"])
        for path in record.get("deleted", []):
            allowed.pop(path.removeprefix("organisations/"), None)
        found.append(
            Revision(
                record["offset"],
                record.get("appended_at", 0.0),
                record["operator"],
                dict(allowed),
            )
        )
    return found


def allowed_between(
    revisions: Iterable[Revision], organisation: str, start: float, end: float
) -> frozenset[str]:
    """Returns versions allowed by any revision in force within a time."""
    found: frozenset[str] = frozenset()
    ordered = list(revisions)
    for index, revision in enumerate(ordered):
        last = index + 1 == len(ordered)
        until = math.inf if last else ordered[index + 1].at
        if revision.at <= end and until >= start:
            found |= revision.allowed.get(organisation, frozenset())
    return found


def withdrawals(records: Iterable[Mapping[str, Any]]) -> list[Withdrawn]:
    """Returns the times of withdrawal, by the rule of epochs."""
    found: dict[tuple[str, int], Withdrawn] = {}
    for record in records:
        kind, at = record.get("type"), record.get("appended_at", 0.0)
        if kind == "withdrawal":
            place = (record["version"], record["epoch"])
            found.setdefault(place, Withdrawn(record["version"], at))
        elif kind == "readmission":
            for place, item in found.items():
                same = place[0] == record["version"]
                if same and place[1] <= record["epoch"]:
                    until = min(item.until, at)
                    found[place] = Withdrawn(item.version, item.at, until)
    return list(found.values())
