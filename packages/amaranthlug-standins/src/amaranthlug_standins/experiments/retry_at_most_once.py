"""Callers send non-idempotent requests again in four ways."""

import dataclasses
from collections.abc import Mapping

import gevent
import msgspec
from gevent import socket

from amaranthlug_standins.caller import Caller
from amaranthlug_standins.calls import ANSWERED, REFUSED, Call
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.entry_addresses import NoEntryError
from amaranthlug_standins.experiments.node_loss import kill_node
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.http_json import CONNECTION_ERRORS
from amaranthlug_standins.load import Mix
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 20.0
RATE = 30.0
KILL_AT_S = 8.0

READ_LIMIT_S = 0.08
"""Longest time after which a caller drops the connection unread."""

AGAIN, AT_ONCE, LOST = "again", "at once", "lost"
WAYS = (AGAIN, AT_ONCE, LOST)
"""Ways to send twice; the fourth is the usual retry after a killed node."""


class RepeatingCaller(Caller):
    """Sends each keyed request twice, to different nodes if there are.

    The second sending is a call of its own in `repeats`, with the same key.
    """

    repeats: list[tuple[str, Call, Call]]

    def run(self) -> Call:
        """Runs the call in one of the ways, by its number."""
        call = self.call
        if not call.key or call.idempotent:
            return super().run()
        way = WAYS[call.number % len(WAYS)]
        call.resent = True
        second = msgspec.structs.replace(call, tries=[])
        self.repeats.append((way, call, second))
        other = Caller(self.clients, self.entry_cache, second, self.outgoing)
        if way == AT_ONCE:
            beside = gevent.spawn(other.run)
            super().run()
            beside.join()
        elif way == LOST:
            self.send_unread()
            super().run()
            other.run()
        else:
            super().run()
            other.run()
        return call

    def send_unread(self) -> None:
        """Sends the request and drops the connection before the answer."""
        out = self.outgoing
        headers = {**out.headers, "Content-Length": str(len(out.body))}
        lines = [f"{out.method} {out.path} HTTP/1.1", "Host: loopback"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        try:
            host, _, port = self.entry_cache.address().rpartition(":")
            with socket.create_connection((host, int(port)), 3.0) as sock:
                sock.sendall(head.encode() + out.body)
                gevent.sleep(self.entry_cache.rng.uniform(0, READ_LIMIT_S))
        except (NoEntryError, *CONNECTION_ERRORS):
            return


def only_once(mix: Mix) -> Mix:
    """Keeps the requests that may not run twice."""
    services = [call for call in mix.services if not call.repeatable]
    return dataclasses.replace(
        mix,
        kinds={"make-good": 1.0},
        services=tuple(services),
        service_share=0.5,
    )


def prepare(context: ScenarioContext) -> None:
    """Gives the load callers that repeat themselves."""
    repeats: list[tuple[str, Call, Call]] = []
    context.results["repeats"] = repeats
    context.trial.load.caller_class = type(
        "ScenarioCaller", (RepeatingCaller,), {"repeats": repeats}
    )


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Counts the second sendings; an answer to one must be the first's."""
    for way in WAYS:
        pairs = [pair for pair in context.results["repeats"] if pair[0] == way]
        answered = sum(second.outcome == ANSWERED for _, _, second in pairs)
        whole = sum(second.whole for _, _, second in pairs)
        counts.notes[f"second_sent_{way}"] = len(pairs)
        counts.notes[f"second_answered_{way}"] = answered
        counts.require(whole == answered, f"{way}: a repeat was not whole")
        lied = sum(is_lie(pair, truth) for pair in pairs)
        counts.require(not lied, f"{way}: {lied} false refusals as not run")
    counts.notes["refused_second"] = refusals(context)


def is_lie(pair: tuple[str, Call, Call], truth: Truth) -> bool:
    """Tells whether a key ran although no sending of it can have run.

    "Not run" speaks of one sending, so a run is a lie if all sendings were
    refused as not run, or if it began before the second sending.
    """
    way, first, second = pair
    if way == LOST or not surely_refused(first):
        return False
    if surely_refused(second):
        return truth.has_run(first)
    return way == AGAIN and any(
        run.started_at < second.sent_at for run in truth.runs_of(first)
    )


def surely_refused(call: Call) -> bool:
    """Tells whether the only attempt was refused as not run."""
    return call.outcome == REFUSED and call.not_run and call.attempts == 1


def refusals(context: ScenarioContext) -> dict[str, int]:
    """Counts the second sendings that were not answered, by code."""
    found: dict[str, int] = {}
    for _, _, second in context.results["repeats"]:
        if second.outcome != ANSWERED:
            code = f"{second.outcome}: {second.code}"[:80]
            found[code] = found.get(code, 0) + 1
    return found


PLAN = Plan(
    "retry-at-most-once",
    LOAD_S,
    RATE,
    (ScheduledAction(KILL_AT_S, "kill", kill_node),),
    check,
    only_once,
    prepare=prepare,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
