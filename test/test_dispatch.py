"""Guards the life of a request: refusals, retries, resumption, settlement."""

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
from amaranthlug.protocol.services import PlanStep
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
    """Bad input that reaches an engine, or leaves a place in flight taken."""
    bench = Bench()
    refusal = bench.ask(headers=headers, **body).unwrap_err()
    assert (refusal.code, refusal.status) == (code, status)
    assert refusal.not_run
    assert bench.engine.calls == []
    assert bench.metrics.counters == {f"refused.{code}": 1}
    bench.check_settled()


@pytest.mark.parametrize("raw", [b"", b"{", b"[]", b'{"model": 1}', b"\xff"])
def test_malformed_json_is_refused(raw):
    """A parser error that reaches the caller as an internal error."""
    bench = Bench()
    refusal = bench.dispatcher.handle(raw, HEADERS).unwrap_err()
    assert refusal.code == "bad_request"
    bench.check_settled()


@pytest.mark.parametrize("part", ["biller", "limits", "catalog"])
def test_gates_refuse_without_a_run(part):
    """A closed gate that is passed, or that keeps a key or a place."""
    bench = Bench()
    refusal = refuse(RefusalCode.BILLING_BACKLOG, "closed", "wait")
    getattr(bench, part).refusal = refusal
    headers = CallerHeaders(f"Bearer {KEY}", "describe", "", "k1")
    assert bench.ask(headers=headers).unwrap_err() == refusal
    assert bench.engine.calls == []
    assert bench.runs.runs == {}
    bench.check_settled()


def test_bound_in_flight_and_unreachable_deadline():
    """Work accepted above the bound, or that cannot end in time."""
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
    """A wrong cost, or an answer whose parts are not counted once."""
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


def test_stream_bills_before_its_end_marker():
    """A caller that has the whole answer although no bill is recorded."""
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
    ],
)
def test_retry_rules(reason, kind, retried):
    """A non-idempotent request sent twice, or a failure not retried."""
    bench = Bench(Script(error=reason))
    result = bench.ask(headers=kind)
    assert result.is_ok() == retried
    assert len(bench.engine.calls) == (2 if retried else 1)
    if retried:
        assert bench.metrics.counters[f"retried.{reason}"] == 1
        assert len(bench.biller.bills) == 1
    else:
        assert not result.unwrap_err().not_run
        # An error status shows that nothing was generated; a lost connection
        # does not, so the prompt is billed.
        bills = [(b.outcome, b.output_tokens) for b in bench.biller.bills]
        assert bills == ([] if reason == "status" else [("cut", 0)])
        assert len(bench.biller.closed) == (reason == "status")
    bench.check_settled()


@pytest.mark.parametrize(
    ("full", "outcome"), [(True, "unreached"), (False, "error")]
)
def test_waiting_at_a_full_server_is_no_fault_of_the_version(full, outcome):
    """An overload that withdrew all versions by its timeouts."""
    bench = Bench(Script(error="timeout"))
    upstreams = bench.catalog.now.pools["pool"].upstreams
    bench.servers.full = {s.address for s in upstreams} if full else set()
    assert bench.ask().is_ok()
    assert bench.chooser.ended[0][1] == outcome
    assert bench.servers.reports[0][1] == (not full)
    bench.check_settled()


def test_unreached_servers_give_a_true_not_run():
    """A refusal that says "not run" falsely, or is held back."""
    bench = Bench(*[Script(error="connect")] * 9)
    refusal = bench.ask(headers=TAG).unwrap_err()
    assert (refusal.code, refusal.not_run) == ("pool_exhausted", True)
    assert refusal.retry_after_s
    bench.check_settled()


def test_a_request_reaches_at_most_two_crashing_servers():
    """A poisoned request that takes down a third server."""
    bench = Bench(*[Script(error="reset")] * 9)
    assert bench.ask().unwrap_err().code == "upstream_failed"
    assert len(bench.engine.calls) == 2
    bench.check_settled()


def test_lost_connections_to_running_servers_are_no_crashes():
    """An idempotent request given up after two cuts of well servers."""
    bench = Bench(*[Script(error="reset")] * 2)
    bench.dispatcher.suspects = bench.sender.suspects = FakeSuspects()
    bench.sender.suspects.server_keeps_running = True
    assert bench.ask().is_ok()
    assert len(bench.engine.calls) == 3
    bench.check_settled()


def test_condemned_request_is_told_whether_it_ran():
    """A poisoned request refused as "not run" by the node that ran it."""
    bench = Bench(*[Script(error="reset")] * 9)
    bench.dispatcher.suspects = bench.sender.suspects = FakeSuspects()
    first = bench.ask().unwrap_err()
    assert (first.code, first.not_run) == ("poisoned_request", False)
    second = bench.ask().unwrap_err()
    assert (second.code, second.not_run) == ("poisoned_request", True)
    assert len(bench.engine.calls) == 2
    bench.check_settled()


def test_issue_time_of_a_key_reaches_the_register():
    """A new key refused after a takeover although it was issued later."""
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
    """Retries that multiply the load of a failing pool."""
    bench = Bench(*[Script(error="status")] * 500)
    for _ in range(100):
        bench.ask()
    assert len(bench.engine.calls) <= 100 + 10 + 20
    bench.check_settled()


@pytest.mark.parametrize("dead", [False, True])
@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("cut_at", [1, 4, 7])
def test_cut_stream_goes_on_at_the_right_token(dead, stream, cut_at):
    """A repeated or lost token after a cut, on the same or another server."""
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


def test_stream_that_gains_tokens_goes_on_past_three_cuts():
    """A request given up because three of many servers cut their answers."""
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
    """Retries without end while no server makes progress."""
    addresses = [f"127.0.0.1:{number}" for number in range(1, 7)]
    scripts = [Script(error="timeout")] * 6
    bench = Bench(*scripts, catalog=sample_catalog(addresses))
    assert bench.ask().unwrap_err().code == "upstream_timeout"
    assert len(bench.engine.calls) == 3
    bench.check_settled()


def test_cut_non_idempotent_stream_ends_with_an_error_event():
    """A second run of a non-idempotent request, or a false end marker."""
    bench = Bench(Script(cut_at=3))
    bench.engine.dead.add("127.0.0.1:1")
    events = read_events(bench.ask(stream=True, headers=TAG).unwrap())
    error = json.loads(events[-1])["error"]
    assert (error["code"], error["not_run"]) == ("upstream_failed", False)
    (bill,) = bench.biller.bills
    assert (bill.outcome, bill.output_tokens) == ("cut", 3)
    assert len(bench.chooser.started_versions) == 1
    bench.check_settled()


def test_withdrawn_version_gets_no_continued_stream():
    """New work for a version that was withdrawn during an answer."""
    bench = Bench(Script(cut_at=3))
    bench.engine.dead.add("127.0.0.1:1")
    answer = bench.ask(stream=True).unwrap()
    bench.catalog.withdrawn.add(CHEAP)
    assert "error" in json.loads(read_events(answer)[-1])
    assert len(bench.chooser.started_versions) == 1
    bench.check_settled()


def test_empty_answer_is_asked_elsewhere():
    """An empty answer delivered as whole."""
    bench = Bench(Script(empty=True))
    answer = bench.ask().unwrap()
    assert answer.body["choices"][0]["message"]["content"] == WHOLE
    assert [end[1] for end in bench.chooser.ended] == ["empty", "complete"]
    bench.check_settled()


@pytest.mark.parametrize("read", [0, 1, 4])
def test_caller_that_leaves_cancels_and_pays_for_what_ran(read):
    """Work that goes on for nobody, unbilled or billed twice."""
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
    """A stream that runs on after the caller's deadline."""
    bench = Bench(Script(pause_s=0.03))
    hurried = CallerHeaders(f"Bearer {KEY}", "describe", deadline_ms="100")
    events = read_events(bench.ask(stream=True, headers=hurried).unwrap())
    assert json.loads(events[-1])["error"]["code"] == "upstream_timeout"
    wait_for(lambda: bench.engine.cancelled)
    bench.check_settled()


@pytest.mark.parametrize("stream", [False, True])
def test_two_requests_with_one_key_run_once(stream):
    """A repeated key that runs or is billed twice, or gets another answer."""
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


def test_key_of_an_unreached_request_is_free_again():
    """A caller that cannot repeat a request that certainly did not run."""
    bench = Bench(*[Script(error="connect")] * 3)
    headers = CallerHeaders(f"Bearer {KEY}", "tag", "", "key-1")
    assert bench.ask(headers=headers).unwrap_err().not_run
    assert bench.ask(headers=headers).is_ok()
    bench.check_settled()


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("good", [False, True])
def test_cascade_delivers_only_checked_answers(stream, good):
    """A token of a failed answer shown to the caller, or a step unbilled."""
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
    """A non-idempotent request that runs on two versions."""
    bench = Bench(steps=(PlanStep(CHEAP, check=True), PlanStep(EXPENSIVE)))
    assert bench.ask(headers=TAG).unwrap().headers["X-Model"] == "vento"
    assert len(bench.engine.calls) == 1


def test_session_keeps_its_version_until_it_is_withdrawn():
    """A session that changes versions without need or without notice."""
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
    """A bug in a collaborator that leaks a place in flight."""
    bench = Bench()
    bench.engine.open = lambda address, call: 1 / 0
    with pytest.raises(ZeroDivisionError):
        bench.ask()
    bench.check_settled()
