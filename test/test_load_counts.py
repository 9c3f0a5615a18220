"""Guards load and counts: a check that passes a broken promise is useless."""

import msgspec
import pytest
from _fake_router import FakeRouter

from amaranthlug_standins import builders
from amaranthlug_standins.counts import Setting, count, percentile
from amaranthlug_standins.history import Call, read_history, write_history
from amaranthlug_standins.load import Load, Mix, ServiceCall
from amaranthlug_standins.truth import Truth

MIX = Mix(
    rate=80.0,
    duration_s=0.4,
    kinds={"question": 1.0, "offer": 1.0},
    organisations={"acme": 1.0},
    services=(ServiceCall("desk", "POST", "/offers", repeatable=False),),
)


@pytest.fixture
def router():
    """Runs a router whose promises a test can break."""
    started = FakeRouter.from_config().start()
    yield started
    started.stop()


def catalog(allowed=(builders.CHEAP, builders.BEST)):
    """Builds a catalogue with a kind that may not run twice."""
    return builders.make_catalog(
        kinds=[
            builders.make_kind(),
            builders.make_kind("offer", idempotent=False),
        ],
        organisations=[builders.make_organisation(allowed=allowed)],
    )


def run_load(router, seed=1, **values):
    """Runs a load on the router and counts it."""
    load = Load(MIX, catalog(), [router.address], seed)
    load.run()
    bills = [
        msgspec.to_builtins(builders.make_bill(name)) for name in router.bills
    ]
    chunk = {"type": "bill_chunk", "entries": bills}
    truth = Truth.collect([router.seen()], [], [chunk])
    setting = values.pop("setting", Setting(catalog(), {}))
    return load, count("test", seed, load.calls, truth, setting)


def test_a_sound_run_breaks_no_promise(router):
    """False alarms would hide the real ones."""
    load, counts = run_load(router)
    assert counts.broken() == [] and counts.exit_code() == 0
    assert counts.answered_whole == counts.requests == len(load.calls) > 15
    assert counts.billed_once == sum(not call.service for call in load.calls)
    assert {call.stream for call in load.calls} == {True, False}
    assert counts.router_added_ttft_p95_ms > 0


def test_load_is_repeatable_by_seed(router):
    """A load that varies with its seed fixed could not be replayed."""
    first, second = (run_load(router)[0] for _ in range(2))
    assert [call.digest for call in first.calls] == [
        call.digest for call in second.calls
    ]


@pytest.mark.parametrize(
    ("broken", "promise"),
    [
        ("cut", "answered_not_whole"),
        ("no_bill", "unbilled"),
        ("bill_twice", "billed_twice"),
        ("run_twice", "ran_twice_non_idempotent"),
        ("refuse_after_run", "refused_not_run_but_ran"),
    ],
)
def test_each_broken_promise_is_counted(router, broken, promise):
    """A promise that no count watches can break unnoticed."""
    router.broken = broken
    counts = run_load(router)[1]
    assert promise in counts.broken() and counts.exit_code() == 1


def test_disallowed_and_withdrawn_versions_are_counted(router):
    """Runs of a version that nobody may use are the worst silent fault."""
    only_best = Setting(catalog(allowed=(builders.BEST,)), {})
    counts = run_load(router, setting=only_best)[1]
    assert counts.disallowed_version == counts.billed_once
    withdrawn = Setting(catalog(), {}, withdrawn_at={builders.CHEAP: 1.0})
    assert run_load(router, setting=withdrawn)[1].after_withdrawal > 0


def answered(number, version, **values):
    """Builds an answered call of a session."""
    defaults = {"session": "s", "outcome": "answered", "ended_at": number}
    return Call(
        number=number,
        organisation="acme",
        kind="question",
        version=version,
        **(defaults | values),
    )


def test_moved_sessions_are_counted_once_and_only_without_reason():
    """A session that moves without a word confuses the caller."""
    setting = Setting(catalog(), {})

    def moved(*calls, setting=setting):
        return count("t", 1, calls, Truth(), setting).session_moved

    cheap, best = builders.CHEAP, builders.BEST
    assert moved(answered(1, cheap), answered(2, cheap)) == 0
    assert moved(answered(1, cheap), answered(2, best)) == 1
    told = answered(2, best, moved="withdrawn")
    assert moved(answered(1, cheap), told, answered(3, best)) == 0


def test_lost_router_leaves_calls_unanswered():
    """A call without an end must not vanish from the counts."""
    router = FakeRouter.from_config().start()
    router.stop()
    load = Load(
        Mix(10.0, 0.2, MIX.kinds, MIX.organisations),
        catalog(),
        ["127.0.0.1:9"],
        3,
    )
    load.run()
    counts = count("t", 3, load.calls, Truth(), Setting(catalog(), {}))
    assert counts.unanswered == counts.requests > 0


def test_history_survives_a_file(tmp_path):
    """A history that loses fields cannot be checked later."""
    calls = [answered(1, builders.CHEAP, retry_after_s=0.5)]
    write_history(tmp_path / "calls.jsonl", calls)
    assert read_history(tmp_path / "calls.jsonl") == calls


def test_percentile_takes_the_upper_neighbour():
    """An interpolated percentile of few values would look too good."""
    assert percentile([1, 2, 3, 100], 0.95) == 100
    assert percentile([], 0.95) is None
