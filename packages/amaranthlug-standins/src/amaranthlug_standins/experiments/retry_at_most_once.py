"""Callers resend non-idempotent requests in four ways."""

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
REQUESTS_PER_S = 30.0
KILL_AT_S = 8.0

MAX_READ_DELAY_S = 0.08
"""Longest delay before a caller drops the connection without reading."""

AFTER_ANSWER, CONCURRENT, CONNECTION_DROPPED = "again", "at once", "lost"
RESEND_MODES = (AFTER_ANSWER, CONCURRENT, CONNECTION_DROPPED)
"""Ways to send a request twice. The fourth way is the usual retry after a node
was killed."""


class RepeatingCaller(Caller):
    """Sends each non-idempotent request twice, to different nodes if possible.

    The second request has the same key and is recorded in `repeats`.
    """

    repeats: list[tuple[str, Call, Call]]

    def run(self) -> Call:
        """Runs the call and its repeat; the call number selects the mode."""
        call = self.call
        if not call.key or call.idempotent:
            return super().run()
        mode = RESEND_MODES[call.number % len(RESEND_MODES)]
        call.resent = True
        second = msgspec.structs.replace(call, tries=[])
        self.repeats.append((mode, call, second))
        second_caller = Caller(
            self.clients, self.entry_cache, second, self.outgoing
        )
        if mode == CONCURRENT:
            second_task = gevent.spawn(second_caller.run)
            super().run()
            second_task.join()
        elif mode == CONNECTION_DROPPED:
            self.send_unread()
            super().run()
            second_caller.run()
        else:
            super().run()
            second_caller.run()
        return call

    def send_unread(self) -> None:
        """Sends the request and drops the connection without reading."""
        out = self.outgoing
        headers = {**out.headers, "Content-Length": str(len(out.body))}
        lines = [f"{out.method} {out.path} HTTP/1.1", "Host: loopback"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        try:
            host, _, port = self.entry_cache.address().rpartition(":")
            with socket.create_connection((host, int(port)), 3.0) as sock:
                sock.sendall(head.encode() + out.body)
                gevent.sleep(self.entry_cache.rng.uniform(0, MAX_READ_DELAY_S))
        except (NoEntryError, *CONNECTION_ERRORS):
            return


def keep_non_idempotent(mix: Mix) -> Mix:
    """Keeps only the non-idempotent requests of a mix."""
    services = [call for call in mix.services if not call.repeatable]
    return dataclasses.replace(
        mix,
        kinds={"make-good": 1.0},
        services=tuple(services),
        service_share=0.5,
    )


def prepare(context: ScenarioContext) -> None:
    """Makes the load use `RepeatingCaller`."""
    repeats: list[tuple[str, Call, Call]] = []
    context.results["repeats"] = repeats
    context.trial.load.caller_class = type(
        "ScenarioCaller", (RepeatingCaller,), {"repeats": repeats}
    )


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Counts the repeats; each answered one must be whole.

    Also requires that no request was wrongly refused as not run.
    """
    for mode in RESEND_MODES:
        pairs = [pair for pair in context.results["repeats"] if pair[0] == mode]
        answered = sum(second.outcome == ANSWERED for _, _, second in pairs)
        whole = sum(second.whole for _, _, second in pairs)
        counts.notes[f"second_sent_{mode}"] = len(pairs)
        counts.notes[f"second_answered_{mode}"] = answered
        counts.require(whole == answered, f"{mode}: an answer was incomplete")
        false_refusals = sum(is_false_refusal(pair, truth) for pair in pairs)
        counts.require(
            not false_refusals,
            f"{mode}: {false_refusals} false refusals as not run",
        )
    counts.notes["refused_second"] = count_failed_repeats(context)


def is_false_refusal(pair: tuple[str, Call, Call], truth: Truth) -> bool:
    """Tells whether a request ran although it was refused as not run.

    "Not run" refers to one of the two attempts to send it. The refusal of the
    first is false if the second was refused so too and the request ran, or if
    a run started before the second was sent.
    """
    mode, first, second = pair
    if mode == CONNECTION_DROPPED or not is_refused_as_not_run(first):
        return False
    if is_refused_as_not_run(second):
        return truth.has_run(first)
    return mode == AFTER_ANSWER and any(
        run.started_at < second.sent_at for run in truth.runs_of(first)
    )


def is_refused_as_not_run(call: Call) -> bool:
    """Tells whether a call made one attempt that was refused as not run."""
    return call.outcome == REFUSED and call.not_run and call.attempts == 1


def count_failed_repeats(context: ScenarioContext) -> dict[str, int]:
    """Counts the repeats that were not answered, by outcome and code."""
    failures_by_code: dict[str, int] = {}
    for _, _, second in context.results["repeats"]:
        if second.outcome != ANSWERED:
            code = f"{second.outcome}: {second.code}"[:80]
            failures_by_code[code] = failures_by_code.get(code, 0) + 1
    return failures_by_code


PLAN = Plan(
    "retry-at-most-once",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(KILL_AT_S, "kill", kill_node),),
    check,
    keep_non_idempotent,
    prepare=prepare,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
