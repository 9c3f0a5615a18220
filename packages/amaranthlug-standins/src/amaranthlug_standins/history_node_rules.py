"""Rules on departing upstreams, node shutdowns and configuration revisions."""

import math

from amaranthlug_standins.calls import FAILED
from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.run_history import (
    DEPART,
    EXIT,
    FAULT,
    SHUTDOWN,
    START,
    Act,
    History,
    ObservedRevision,
)
from amaranthlug_standins.violations import Violation, format_call, format_run

DEPART_LIMIT_S = 3.0
"""Time after which a departing upstream must get no new work."""

VM_LIST_FAULTS = ("zone-cut",)
"""Faults that may keep nodes from reading the VM list. The limit counts from
their end, since a node uses the last list that it read while it cannot read a
new one."""

CONFIG_LIMIT_S = 12.0
"""Time within which an accepted configuration must be in force everywhere."""


def find_work_at_departing_upstreams(history: History) -> list[Violation]:
    """Finds new runs at upstreams too long after they began to leave."""
    violations = []
    list_faults = [
        act for act in history.acts_of(FAULT) if act.detail in VM_LIST_FAULTS
    ]
    for act in history.acts_of(DEPART):
        for run in history.runs:
            if run.upstream != act.target or run.first > 0:
                continue
            since = limit_start(list_faults, act.at, run.started_at)
            if run.started_at > since + DEPART_LIMIT_S:
                text = (
                    f"{run.upstream} got new work "
                    f"{run.started_at - act.at:.2f} s after it began to leave "
                    f"(limit {DEPART_LIMIT_S:.0f} s)"
                )
                lines = (f"leaving at {act.at:.3f}", format_run(run))
                violations.append(Violation("departing-upstream", text, lines))
    return violations


def find_shutdown_errors(history: History) -> list[Violation]:
    """Finds nodes that failed to exit with 0 or cut requests in a shutdown."""
    violations = []
    for act in history.acts_of(SHUTDOWN):
        exits = [
            exit_act
            for exit_act in history.acts_of(EXIT, act.target)
            if exit_act.at >= act.at
        ]
        if not exits or exits[0].detail != "0":
            code = exits[0].detail if exits else "none"
            text = f"{act.target} ended with exit code {code}"
            line = f"SIGTERM at {act.at:.3f}"
            violations.append(Violation("graceful-shutdown", text, (line,)))
        violations += find_cut_requests(history, act)
    return violations


def find_cut_requests(history: History, act: Act) -> list[Violation]:
    """Finds attempts at a node in shutdown that ended without a reply."""
    starts = [start.at for start in history.acts_of(START, act.target)]
    restarted_at = min((at for at in starts if at > act.at), default=math.inf)
    return [
        Violation(
            "graceful-shutdown",
            f"{act.target} cut a request {attempt.ended_at - act.at:.2f} s "
            "after SIGTERM",
            (f"SIGTERM at {act.at:.3f}", format_call(call), str(attempt)),
        )
        for call in history.calls
        for attempt in call.tries
        if attempt.node == act.target
        and attempt.outcome == FAILED
        and act.at <= attempt.ended_at < restarted_at
    ]


def find_config_errors(history: History) -> list[Violation]:
    """Finds nodes whose revision decreased or stayed out of date too long."""
    violations = []
    highest: dict[tuple[str, str], ObservedRevision] = {}
    late_nodes: set[str] = set()
    accepted = accepted_revisions(history.records)
    faults = history.acts_of(FAULT)
    for observed in sorted(history.revisions, key=lambda item: item.at):
        process = (observed.node, observed.incarnation)
        previous = highest.setdefault(process, observed)
        if observed.revision < previous.revision:
            lines = (str(previous), str(observed))
            text = f"{observed.node} fell back to revision {observed.revision}"
            violations.append(Violation("config-in-force", text, lines))
        else:
            highest[process] = observed
        for revision in accepted:
            if (
                revision.offset <= observed.revision
                or observed.node in late_nodes
            ):
                continue
            since = limit_start(faults, revision.at, observed.at)
            if observed.at - since > CONFIG_LIMIT_S:
                late_nodes.add(observed.node)
                text = (
                    f"{observed.node} lacks revision {revision.offset} "
                    f"{observed.at - since:.1f} s after it was accepted or the "
                    f"last fault ended (limit {CONFIG_LIMIT_S:.0f} s)"
                )
                line = f"accepted at {revision.at:.3f}"
                violations.append(
                    Violation("config-in-force", text, (line, str(observed)))
                )
    return violations


def limit_start(faults: list[Act], start: float, end: float) -> float:
    """Returns the time from which a limit counts, between start and end.

    It is the end of the last fault in this period, or the start without one.
    """
    ends = [
        min(max(act.until, act.at), end)
        for act in faults
        if act.at <= end and max(act.until, act.at) >= start
    ]
    return max([start, *ends])
