"""Rules about upstreams that depart, nodes that leave and revisions."""

import math

from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.history import FAILED
from amaranthlug_standins.run_history import (
    DEPART,
    EXIT,
    FAULT,
    SHUTDOWN,
    START,
    Act,
    History,
    RevisionSeen,
)
from amaranthlug_standins.violations import Violation, call_line, run_line

DEPART_LIMIT_S = 3.0
"""Seconds until a departing upstream gets no new work."""

HIDES_LIST = ("zone-cut",)
"""Faults that may keep nodes from the VM list; the limit counts from their
end, since a node keeps the last answer while the list is out."""

CONFIG_LIMIT_S = 12.0
"""Seconds until an accepted configuration is in force everywhere."""


def departing_upstream(history: History) -> list[Violation]:
    """Finds new work at an upstream that had been leaving for a while."""
    found = []
    hidden = [act for act in history.acts_of(FAULT) if act.detail in HIDES_LIST]
    for act in history.acts_of(DEPART):
        for run in history.runs:
            if run.upstream != act.target or run.first > 0:
                continue
            since = undisturbed_since(hidden, act.at, run.started_at)
            if run.started_at > since + DEPART_LIMIT_S:
                text = (
                    f"{run.upstream} got new work "
                    f"{run.started_at - act.at:.2f} s after it began to leave "
                    f"(limit {DEPART_LIMIT_S:.0f} s)"
                )
                lines = (f"leaving at {act.at:.3f}", run_line(run))
                found.append(Violation("departing-upstream", text, lines))
    return found


def graceful_shutdown(history: History) -> list[Violation]:
    """Finds nodes that ended badly or cut a request while they left."""
    found = []
    for act in history.acts_of(SHUTDOWN):
        exits = [
            end for end in history.acts_of(EXIT, act.target) if end.at >= act.at
        ]
        if not exits or exits[0].detail != "0":
            code = exits[0].detail if exits else "none"
            text = f"{act.target} ended with exit code {code}"
            line = f"SIGTERM at {act.at:.3f}"
            found.append(Violation("graceful-shutdown", text, (line,)))
        found += cut_requests(history, act)
    return found


def cut_requests(history: History, act: Act) -> list[Violation]:
    """Returns attempts at a leaving node that ended without a reply."""
    later = [start.at for start in history.acts_of(START, act.target)]
    until = min((at for at in later if at > act.at), default=math.inf)
    return [
        Violation(
            "graceful-shutdown",
            f"{act.target} cut a request {item.ended_at - act.at:.2f} s after "
            "SIGTERM",
            (f"SIGTERM at {act.at:.3f}", call_line(call), str(item)),
        )
        for call in history.calls
        for item in call.tries
        if item.node == act.target
        and item.outcome == FAILED
        and act.at <= item.ended_at < until
    ]


def config_in_force(history: History) -> list[Violation]:
    """Finds nodes whose revision fell or stayed behind."""
    found = []
    highest: dict[tuple[str, str], RevisionSeen] = {}
    late: set[str] = set()
    accepted = accepted_revisions(history.records)
    faults = history.acts_of(FAULT)
    for seen in sorted(history.revisions, key=lambda seen: seen.at):
        place = (seen.node, seen.incarnation)
        before = highest.setdefault(place, seen)
        if seen.revision < before.revision:
            lines = (str(before), str(seen))
            text = f"{seen.node} fell back to revision {seen.revision}"
            found.append(Violation("config-in-force", text, lines))
        else:
            highest[place] = seen
        for revision in accepted:
            if revision.offset <= seen.revision or seen.node in late:
                continue
            since = undisturbed_since(faults, revision.at, seen.at)
            if seen.at - since > CONFIG_LIMIT_S:
                late.add(seen.node)
                text = (
                    f"{seen.node} lacks revision {revision.offset} "
                    f"{seen.at - since:.1f} s after it was accepted or the "
                    f"last fault ended (limit {CONFIG_LIMIT_S:.0f} s)"
                )
                line = f"accepted at {revision.at:.3f}"
                found.append(
                    Violation("config-in-force", text, (line, str(seen)))
                )
    return found


def undisturbed_since(faults: list[Act], start: float, end: float) -> float:
    """Returns when the last fault within a time ended, or its start."""
    ends = [
        min(max(act.until, act.at), end)
        for act in faults
        if act.at <= end and max(act.until, act.at) >= start
    ]
    return max([start, *ends])
