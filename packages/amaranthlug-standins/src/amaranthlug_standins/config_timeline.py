"""Configuration and withdrawals over time, from the records of the log.

This is a simpler implementation, independent of the router's own reading of
the log, so that checks against it expose errors there. It assumes that
experiments publish only valid parts.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Any


@dataclasses.dataclass(frozen=True)
class Revision:
    """An accepted publication.

    Attributes:
        at: Wall-clock time at which the log appended it, in seconds.
        allowed: Names of allowed versions by organisation.
    """

    offset: int
    at: float
    operator: str
    allowed: Mapping[str, frozenset[str]]


@dataclasses.dataclass(frozen=True)
class WithdrawalPeriod:
    """A period in which a version is withdrawn, in wall-clock seconds."""

    version: str
    at: float
    until: float = math.inf


def accepted_revisions(records: Iterable[Mapping[str, Any]]) -> list[Revision]:
    """Returns the accepted publications in the order of the log.

    A publication is accepted if its base is the revision in force. A second
    copy of an accepted publication is rejected, because the first copy is in
    force by then and the base is older.
    """
    revisions: list[Revision] = []
    allowed: dict[str, frozenset[str]] = {}
    for record in records:
        if record.get("type") != "publication":
            continue
        if record["base"] != (revisions[-1].offset if revisions else -1):
            continue
        for path, body in record.get("parts", {}).items():
            section, _, name = path.partition("/")
            if section == "organisations":
                allowed[name] = frozenset(body["allowed"])
        for path in record.get("deleted", []):
            allowed.pop(path.removeprefix("organisations/"), None)
        revisions.append(
            Revision(
                record["offset"],
                record.get("appended_at", 0.0),
                record["operator"],
                dict(allowed),
            )
        )
    return revisions


def allowed_between(
    revisions: Iterable[Revision], organisation: str, start: float, end: float
) -> frozenset[str]:
    """Returns the versions allowed at any time between start and end."""
    versions: frozenset[str] = frozenset()
    ordered = list(revisions)
    for index, revision in enumerate(ordered):
        is_last = index + 1 == len(ordered)
        until = math.inf if is_last else ordered[index + 1].at
        if revision.at <= end and until >= start:
            versions |= revision.allowed.get(organisation, frozenset())
    return versions


def withdrawal_periods(
    records: Iterable[Mapping[str, Any]],
) -> list[WithdrawalPeriod]:
    """Returns the withdrawal periods of all versions.

    A readmission ends the withdrawals of its version up to its own epoch.
    """
    periods: dict[tuple[str, int], WithdrawalPeriod] = {}
    for record in records:
        kind, at = record.get("type"), record.get("appended_at", 0.0)
        if kind == "withdrawal":
            key = (record["version"], record["epoch"])
            periods.setdefault(key, WithdrawalPeriod(record["version"], at))
        elif kind == "readmission":
            for key, period in periods.items():
                same_version = key[0] == record["version"]
                if same_version and key[1] <= record["epoch"]:
                    until = min(period.until, at)
                    periods[key] = WithdrawalPeriod(
                        period.version, period.at, until
                    )
    return list(periods.values())
