"""Tests the dispatcher: refusals, retries, resumption and settlement."""

import json

import gevent
import pytest
from _fakes import (
    CHEAP,
    EXPENSIVE,
    HEADERS,
    KEY,
    WORDS,
    Bench,
    FakeSuspects,
    Script,
    joined_text,
    read_events,
    sample_catalog,
    wait_for,
)

from amaranthlug.protocol.chat import CallerHeaders
from amaranthlug.protocol.interfaces import PlanStep
from amaranthlug.state.refusal import RefusalCode, refuse

WHOLE = "".join(word + " " for word in WORDS)
TAG = CallerHeaders(f"Bearer {KEY}", "tag")


@pytest.mark.parametrize(
    ("headers", "body", "code", "status"),
    [
        (CallerHeaders(), {}, "missing_key", 401),
        (CallerHeaders("Bearer x", "describe"), {}, "unknown_key", 401),
        (CallerHeaders(f"Bearer {KEY}", "y"), {}, "unknown_kind", 400),
        (HEADERS, {"messages": []}, "bad_request", 400),
        (HEADERS, {"messages": "x"}, "bad_request", 400),
        (HEADERS, {"surprise": 1}, "bad_request", 400),
        (HEADERS, {"n": 2}, "bad_request", 400),
        (HEADERS, {"max_tokens": 0}, "bad_request", 400),
        (
            CallerHeaders(f"Bearer {KEY}", "describe", deadline_ms="0"),
            {},
            "deadline_passed",
            400,
        ),
        (
            CallerHeaders(f"Bearer {KEY}", "describe", deadline_ms="soon"),
            {},
            "bad_request",
            400,
        ),
        (
            CallerHeaders(f"Bearer {KEY}", "describe", session_id="s" * 300),
            {},
            "bad_request",
            400,
        ),
    ],
)
def test_bad_input_is_refused_before_dispatch(headers, body, code, status):
    """Guards against invalid input that is sent on or stays in flight."""
    bench = Bench()
    refusal = bench.ask(headers=headers, **body).unwrap_err()
    assert (refusal.code, refusal.status) == (code, status)
    assert refusal.not_run
    assert bench.engine.calls == []
    assert bench.metrics.counters == {f"refused.{code}": 1}
    bench.check_settled()


@pytest.mark.parametrize("raw", [b"", b"{", b"[]", b'{"model": 1}', b"\xff"])
def test_malformed_json_is_refused(raw):
    """Guards against parser errors that become internal errors."""
    bench = Bench()
    refusal = bench.dispatcher.handle(raw, HEADERS).unwrap_err()
    assert refusal.code == "bad_request"
    bench.check_settled()


@pytest.mark.parametrize("part", ["biller", "limits", "catalog"])
def test_request_refused_by_admission_reaches_no_engine(part):
    """Guards against ignored refusals, and keys or counts kept after one."""
    bench = Bench()
    refusal = refuse(RefusalCode.BILLING_BACKLOG, "closed", "wait")
    getattr(bench, part).refusal = refusal
    headers = CallerHeaders(f"Bearer {KEY}", "describe", "", "k1")
    assert bench.ask(headers=headers).unwrap_err() == refusal
    assert bench.engine.calls == []
    assert bench.runs.runs == {}
    bench.check_settled()


def test_in_flight_limit_and_unreachable_deadline():
    """Guards against requests above the limit or too late to be answered."""
    bench = Bench(bound=1)
    first = bench.ask(stream=True).unwrap()
    assert bench.ask().unwrap_err().code == "overloaded"
    read_events(first)
    bench.pace.observe(CHEAP, 5.0, 0.0)
    hurried = CallerHeaders(f"Bearer {KEY}", "describe", deadline_ms="100")
    refusal = bench.ask(headers=hurried).unwrap_err()
    assert refusal.code == "deadline_unreachable"
    bench.check_settled()


def test_whole_answer_is_billed_once():
    """Guards against wrong costs and usage that is not counted once."""
    bench = Bench()
    answer = bench.ask().unwrap()
    assert answer.body["choices"][0]["message"]["content"] == WHOLE
    assert answer.headers["X-Cost"] == str(5 + 2 * 8)
    assert answer.headers["X-Version"] == "1"
    (bill,) = bench.biller.bills
    assert (bill.cost, bill.outcome, bill.output_tokens) == (21, "complete", 8)
    assert bench.limits.used == [(13, 21)]
    assert bench.chooser.ended == [(CHEAP, "complete", WHOLE)]
    bench.check_settled()


def test_stream_is_billed_before_its_end_marker():
    """Guards against a complete answer without a recorded bill."""
    bench = Bench()
    answer = bench.ask(stream=True).unwrap()
    bills_at = []
    for block in answer:
        if b"[DONE]" in block:
            bills_at.append(len(bench.biller.bills))
            last = json.loads(block.split(b"\n\n")[0][6:])
    answer.close()
    assert bills_at == [1]
    assert last["amaranthlug"]["cost"] == 21
    assert last["usage"]["completion_tokens"] == 8
    bench.check_settled()


@pytest.mark.parametrize(
    ("reason", "kind", "retried"),
    [
        ("connect", HEADERS, True),
        ("status", HEADERS, True),
        ("draining", HEADERS, True),
        ("reset", HEADERS, True),
        ("timeout", HEADERS, True),
        ("connect", TAG, True),
        ("status", TAG, False),
        ("reset", TAG, False),
        ("timeout", TAG, False),
        ("malformed", TAG, False),
    ],
)
def test_retry_rules(reason, kind, retried):
    """Guards against repeated non-idempotent requests and missing retries."""
    bench = Bench(Script(error=reason))
    result = bench.ask(headers=kind)
    assert result.is_ok() == retried
    assert len(bench.engine.calls) == (2 if retried else 1)
    if retried:
        assert bench.metrics.counters[f"retried.{reason}"] == 1
        assert len(bench.biller.bills) == 1
    else:
        assert not result.unwrap_err().not_run
        # After an error status nothing was generated. After a lost connection
        # this is unknown, so the prompt is billed.
        bills = [(b.outcome, b.output_tokens) for b in bench.biller.bills]
        assert bills == ([] if reason == "status" else [("cut", 0)])
        assert len(bench.biller.closed) == (reason == "status")
    bench.check_settled()


@pytest.mark.parametrize(
    ("full", "outcome"), [(True, "unreached"), (False, "error")]
)
def test_timeout_in_a_queue_does_not_count_against_the_version(full, outcome):
    """Guards against withdrawing all versions in an overload.

    Requests time out in the queues of full servers; these timeouts were
    counted against the versions.
    """
    bench = Bench(Script(error="timeout"))
    upstreams = bench.catalog.now.pools["pool"].upstreams
    bench.servers.full = {s.address for s in upstreams} if full else set()
    assert bench.ask().is_ok()
    assert bench.chooser.ended[0][1] == outcome
    assert bench.servers.reports[0][1] == (not full)
    bench.check_settled()


def test_request_that_reached_no_server_is_reported_as_not_run():
    """Guards against a wrong or missing `not_run` in the refusal."""
    bench = Bench(*[Script(error="connect")] * 9)
    refusal = bench.ask(headers=TAG).unwrap_err()
    assert (refusal.code, refusal.not_run) == ("pool_exhausted", True)
    assert refusal.retry_after_s
    bench.check_settled()


def test_a_request_reaches_at_most_two_crashing_servers():
    """Guards against a poisoned request that crashes a third server."""
    bench = Bench(*[Script(error="reset")] * 9)
    assert bench.ask().unwrap_err().code == "upstream_failed"
    assert len(bench.engine.calls) == 2
    bench.check_settled()


def test_lost_connections_to_running_servers_do_not_count_as_crashes():
    """Guards against giving up after healthy servers lose two connections."""
    bench = Bench(*[Script(error="reset")] * 2)
    bench.dispatcher.suspects = bench.sender.suspects = FakeSuspects()
    bench.sender.suspects.server_keeps_running = True
    assert bench.ask().is_ok()
    assert len(bench.engine.calls) == 3
    bench.check_settled()


def test_refusal_of_a_blocked_request_tells_whether_it_ran():
    """Guards against a wrong `not_run` from the node that ran the request."""
    bench = Bench(*[Script(error="reset")] * 9)
    bench.dispatcher.suspects = bench.sender.suspects = FakeSuspects()
    first = bench.ask().unwrap_err()
    assert (first.code, first.not_run) == ("poisoned_request", False)
    second = bench.ask().unwrap_err()
    assert (second.code, second.not_run) == ("poisoned_request", True)
    assert len(bench.engine.calls) == 2
    bench.check_settled()


def test_issue_time_of_a_key_reaches_the_register():
    """Guards against refusing a new key after a slot takeover.

    The register accepts keys issued after the takeover, so it needs the time.
    """
    bench = Bench()
    seen = []
    begin = bench.runs.begin

    def note(*args):
        seen.append(args[-1])
        return begin(*args)

    bench.runs.begin = note
    headers = CallerHeaders(
        f"Bearer {KEY}", "tag", idempotency_key="k", key_issued_at="1700"
    )
    assert bench.ask(headers=headers).is_ok()
    assert seen == [1700]
    headers = CallerHeaders(f"Bearer {KEY}", key_issued_at="x")
    assert bench.ask(headers=headers).unwrap_err().code == "unknown_kind"
    headers = CallerHeaders(f"Bearer {KEY}", "tag", key_issued_at="x")
    assert bench.ask(headers=headers).unwrap_err().code == "bad_request"


def test_retries_stop_when_the_budget_is_empty():
    """Guards against retries that multiply the load of a failing pool."""
    bench = Bench(*[Script(error="status")] * 500)
    for _ in range(100):
        bench.ask()
    assert len(bench.engine.calls) <= 100 + 10 + 20
    bench.check_settled()


@pytest.mark.parametrize("dead", [False, True])
@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("cut_at", [1, 4, 7])
def test_cut_stream_is_resumed_at_the_right_token(dead, stream, cut_at):
    """Guards against repeated or lost tokens after a cut stream."""
    bench = Bench(Script(cut_at=cut_at))
    if dead:
        bench.engine.dead.add("127.0.0.1:1")
    answer = bench.ask(stream=stream).unwrap()
    if stream:
        events = read_events(answer)
        assert joined_text(events) == WHOLE
        assert events[-1] == "[DONE]"
    else:
        assert answer.body["choices"][0]["message"]["content"] == WHOLE
    (bill,) = bench.biller.bills
    assert (bill.output_tokens, bill.outcome) == (8, "complete")
    last = bench.engine.calls[-1][1]
    if dead:
        assert last.body["continue_tokens"] == cut_at
        so_far = "".join(word + " " for word in WORDS[:cut_at])
        assert last.body["messages"][-1]["content"] == so_far
    else:
        assert last.resume_after_tokens == cut_at
    bench.check_settled()


def test_stream_with_new_tokens_is_continued_after_three_cuts():
    """Guards against giving up after three of many servers cut the stream."""
    addresses = [f"127.0.0.1:{number}" for number in range(1, 7)]
    scripts = [Script(cut_at=at) for at in (2, 4, 6, 7)]
    bench = Bench(*scripts, catalog=sample_catalog(addresses))
    bench.engine.dead.update(addresses)
    bench.dispatcher.suspects = bench.sender.suspects = FakeSuspects()
    bench.sender.suspects.server_keeps_running = True
    answer = bench.ask(stream=True).unwrap()
    assert joined_text(read_events(answer)) == WHOLE
    assert len(bench.biller.bills) == 1
    bench.check_settled()


def test_servers_without_a_token_are_tried_three_times():
    """Guards against endless retries while no server sends a token."""
    addresses = [f"127.0.0.1:{number}" for number in range(1, 7)]
    scripts = [Script(error="timeout")] * 6
    bench = Bench(*scripts, catalog=sample_catalog(addresses))
    assert bench.ask().unwrap_err().code == "upstream_timeout"
    assert len(bench.engine.calls) == 3
    bench.check_settled()


def test_cut_non_idempotent_stream_ends_with_an_error_event():
    """Guards against a second run of the request and a false end marker."""
    bench = Bench(Script(cut_at=3))
    bench.engine.dead.add("127.0.0.1:1")
    events = read_events(bench.ask(stream=True, headers=TAG).unwrap())
    error = json.loads(events[-1])["error"]
    assert (error["code"], error["not_run"]) == ("upstream_failed", False)
    (bill,) = bench.biller.bills
    assert (bill.outcome, bill.output_tokens) == ("cut", 3)
    assert len(bench.chooser.started_versions) == 1
    bench.check_settled()


def test_stream_is_not_continued_on_a_withdrawn_version():
    """Guards against new work for a version withdrawn during the answer."""
    bench = Bench(Script(cut_at=3))
    bench.engine.dead.add("127.0.0.1:1")
    answer = bench.ask(stream=True).unwrap()
    bench.catalog.withdrawn.add(CHEAP)
    assert "error" in json.loads(read_events(answer)[-1])
    assert len(bench.chooser.started_versions) == 1
    bench.check_settled()


def test_empty_answer_is_retried_on_another_server():
    """Guards against delivering an empty answer as complete."""
    bench = Bench(Script(empty=True))
    answer = bench.ask().unwrap()
    assert answer.body["choices"][0]["message"]["content"] == WHOLE
    assert [end[1] for end in bench.chooser.ended] == ["empty", "complete"]
    bench.check_settled()


@pytest.mark.parametrize("read", [0, 1, 4])
def test_disconnected_caller_is_billed_and_its_stream_cancelled(read):
    """Guards against abandoned work that runs on, unbilled or billed twice."""
    bench = Bench()
    answer = bench.ask(stream=True).unwrap()
    for _ in range(read):
        next(answer)
    answer.close()
    answer.close()
    gevent.sleep(0)
    assert len(bench.engine.cancelled) == 1
    assert bench.engine.streams[0].closed
    (bill,) = bench.biller.bills
    assert bill.outcome == "cancelled"
    assert bill.output_tokens == max(read, 1)
    bench.check_settled()


def test_deadline_ends_a_stream_with_an_error_event():
    """Guards against streams that run past the deadline."""
    bench = Bench(Script(pause_s=0.03))
    hurried = CallerHeaders(f"Bearer {KEY}", "describe", deadline_ms="100")
    events = read_events(bench.ask(stream=True, headers=hurried).unwrap())
    assert json.loads(events[-1])["error"]["code"] == "upstream_timeout"
    wait_for(lambda: bench.engine.cancelled)
    bench.check_settled()


@pytest.mark.parametrize("stream", [False, True])
def test_two_requests_with_one_key_run_once(stream):
    """Guards against a key that runs twice or gets different answers."""
    bench = Bench(Script(pause_s=0.005))
    headers = CallerHeaders(f"Bearer {KEY}", "tag", "", "key-1")
    asked = [gevent.spawn(bench.ask, False, headers) for _ in range(3)]
    gevent.joinall(asked, raise_error=True)
    bodies = [job.value.unwrap().body for job in asked]
    assert bodies[0] == bodies[1] == bodies[2]
    if stream:
        answer = bench.ask(stream=True, headers=headers).unwrap()
        events = [e[6:] for e in b"".join(answer).decode().split("\n\n") if e]
        assert joined_text(events) == WHOLE
    assert len(bench.engine.calls) == len(bench.biller.bills) == 1
    other = bench.ask(headers=headers, temperature=0.5).unwrap_err()
    assert other.code == "key_reused"
    bench.check_settled()


def test_key_of_a_request_that_did_not_run_can_be_reused():
    """Guards against refusing to repeat a request that did not run."""
    bench = Bench(*[Script(error="connect")] * 3)
    headers = CallerHeaders(f"Bearer {KEY}", "tag", "", "key-1")
    assert bench.ask(headers=headers).unwrap_err().not_run
    assert bench.ask(headers=headers).is_ok()
    bench.check_settled()


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("good", [False, True])
def test_cascade_delivers_only_checked_answers(stream, good):
    """Guards against tokens of a failed answer and steps without a bill."""
    bench = Bench(steps=(PlanStep(CHEAP, check=True), PlanStep(EXPENSIVE)))
    bench.chooser.check_passes = good
    answer = bench.ask(stream=stream).unwrap()
    assert answer.headers["X-Model"] == ("brisa" if good else "vento")
    if stream:
        assert joined_text(read_events(answer)) == WHOLE
    (bill,) = bench.biller.bills
    assert bill.steps == (1 if good else 2)
    assert bill.cost == (21 if good else 21 + 210)
    bench.check_settled()


def test_non_idempotent_request_runs_one_step_of_a_cascade():
    """Guards against a non-idempotent request that runs on two versions."""
    bench = Bench(steps=(PlanStep(CHEAP, check=True), PlanStep(EXPENSIVE)))
    assert bench.ask(headers=TAG).unwrap().headers["X-Model"] == "vento"
    assert len(bench.engine.calls) == 1


def test_session_keeps_its_version_until_it_is_withdrawn():
    """Guards against a session moved without need or without notice."""
    bench = Bench()
    headers = CallerHeaders(f"Bearer {KEY}", "describe", "session-1")
    assert bench.ask(headers=headers).unwrap().headers["X-Model"] == "brisa"
    bench.chooser.steps = (PlanStep(EXPENSIVE),)
    assert bench.ask(headers=headers).unwrap().headers["X-Model"] == "brisa"
    bench.catalog.withdrawn.add(CHEAP)
    moved = bench.ask(headers=headers).unwrap().headers
    assert moved["X-Model"] == "vento"
    assert moved["X-Session-Moved"] == "withdrawn"
    bench.check_settled()


def test_unexpected_exception_is_settled():
    """Guards against a request that stays in flight after an exception."""
    bench = Bench()
    bench.engine.open = lambda address, call: 1 / 0
    with pytest.raises(ZeroDivisionError):
        bench.ask()
    bench.check_settled()
