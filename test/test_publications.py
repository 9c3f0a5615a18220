"""Guards the configuration fold: races, repeats, old records, expiry."""

import random

import pytest

from amaranthlug.state.publications import ConfigState, apply_entry
from amaranthlug.state.record_codec import decode_record, encode_record
from amaranthlug.state.records import (
    LeaseClaim,
    LogEntry,
    Publication,
    Readmission,
    UnknownRecord,
    Withdrawal,
)


def kind(target):
    """Returns the body of a kind."""
    return {"quality_target": target}


def publication(name, base, target=0.5, operator="ana", path="kinds/k"):
    """Returns a publication that changes one kind."""
    return Publication(
        id=name, operator=operator, base=base, parts={path: kind(target)}
    )


def folded(records, state=None, start=0):
    """Folds records at consecutive offsets; returns state and verdicts."""
    state, verdicts = state or ConfigState(), []
    for offset, record in enumerate(records, start):
        entry = LogEntry(offset=offset, record=record)
        state, verdict = apply_entry(state, entry)
        verdicts.append(verdict)
    return state, verdicts


def test_loser_of_a_race_is_rejected_whole_and_told_the_winner():
    """Two operators publish against one base; a merge would mix them."""
    loser = publication("c", 0, 0.9, "rui", "kinds/other")
    state, verdicts = folded(
        [publication("a", -1), publication("b", 0, 0.7, "mei"), loser]
    )
    assert (state.revision, verdicts[2].accepted) == (1, False)
    assert "kinds/other" not in state.parts
    assert "mei published revision 1 with kinds/k" in str(verdicts[2])


def test_publication_sent_again_after_later_one_changes_nothing():
    """A writer that lost an answer appends again; this must not revert."""
    first = publication("a", -1)
    state, verdicts = folded([first, publication("b", 0, 0.7), first])
    assert (state.revision, state.parts["kinds/k"]) == (1, kind(0.7))
    assert not verdicts[2].accepted


def test_invalid_result_is_rejected_with_the_reason():
    """A command of another release can publish what nodes cannot use."""
    state, verdicts = folded([publication("a", -1, 7)])
    assert state.revision == -1
    assert "quality_target: 7.0 is not a share" in str(verdicts[0])


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        ("colours/x", {}, "unknown section"),
        ("kinds/k", {}, "missing required field `quality_target`"),
        ("kinds/k", {"quality_target": "high"}, "quality_target: Expected"),
        ("organisations/o", {"key_digests": [], "allowed": ["m"]}, "allowed"),
        ("versions/m", {}, "not of the form model@version"),
        ("kinds/k", 3, "kinds/k: "),
    ],
)
def test_malformed_part_is_rejected_by_the_fold(path, body, expected):
    """A part that stops the fold would stop every node at its offset."""
    record = Publication(id="a", operator="ana", base=-1, parts={path: body})
    state, verdicts = folded([record])
    assert (state.revision, verdicts[0].accepted) == (-1, False)
    assert expected in str(verdicts[0])


def test_deleting_a_part_in_use_is_rejected():
    """A deletion must not leave a reference without its target."""
    pool = {"upstreams": [{"address": "h:1", "zone": "a"}]}
    version = {"pool": "p", "input_price": 1, "output_price": 1}
    parts = {"pools/p": pool, "versions/m@1": version}
    deletion = Publication(
        id="b", operator="ana", base=0, parts={}, deleted=["pools/p"]
    )
    state, verdicts = folded(
        [Publication(id="a", operator="ana", base=-1, parts=parts), deletion]
    )
    assert (state.revision, verdicts[1].accepted) == (0, False)
    assert "pools/p" in state.parts


def test_stale_snapshot_never_reverts():
    """A slow snapshot writer appends its snapshot after a publication."""
    state, _ = folded([publication("a", -1)])
    stale = state.snapshot("s")
    state, _ = folded([publication("b", 0, 0.7), stale], state, 1)
    assert (state.revision, state.parts["kinds/k"]) == (1, kind(0.7))


def test_snapshot_with_missing_records_after_it_is_not_used():
    """A publication that expired after the taking would be lost."""
    snapshot = folded([publication("a", -1)])[0].snapshot("s")
    state, _ = folded([snapshot], start=9)
    assert (state.revision, state.complete) == (-1, False)


def test_gap_holds_publications_until_a_snapshot_covers_it():
    """A node behind the retained range must not accept by an old base."""
    known, _ = folded([publication("a", -1)])
    state, verdicts = folded([publication("x", 0, 0.9)], known, 7)
    assert (state.revision, verdicts) == (0, [None])
    unknown = [UnknownRecord(id="u")] * 3
    others = [*unknown, publication("b", 0, 0.6), *unknown]
    truth, _ = folded(others, known, 1)
    state, _ = folded([truth.snapshot("s")], state, 8)
    assert (state.revision, state.complete) == (4, True)


@pytest.mark.parametrize(
    ("facts", "withdrawn"),
    [
        ([("w", 0)], True),
        ([("w", 0), ("r", 0)], False),
        ([("r", 0), ("w", 0)], False),
        ([("w", 0), ("r", 0), ("w", 1)], True),
        ([("w", 0), ("w", 1), ("r", 0)], True),
        ([("w", 0), ("r", 0), ("w", 1), ("r", 1), ("w", 1)], False),
    ],
)
def test_withdrawal_of_an_older_epoch_has_no_effect(facts, withdrawn):
    """Withdrawals and readmissions reach nodes late and in any order."""
    records = [
        Withdrawal(id=f"w{n}", version="m@1", epoch=epoch, reason="bad")
        if fact == "w"
        else Readmission(id=f"r{n}", version="m@1", epoch=epoch, operator="o")
        for n, (fact, epoch) in enumerate(facts)
    ]
    state, _ = folded(records)
    assert state.withdrawals.is_withdrawn("m@1") is withdrawn
    shuffled = random.Random(1).sample(records, len(records))
    assert folded(shuffled)[0].withdrawals.is_withdrawn("m@1") is withdrawn


def random_log(seed):
    """Returns records with races, repeats and late snapshots, and the fold."""
    rng, state, records, snapshots = random.Random(seed), ConfigState(), [], []
    for offset in range(60):
        choice = rng.random()
        if choice < 0.5:
            base = rng.choice([state.revision, state.revision, offset // 2])
            record = publication(f"p{offset}", base, rng.choice([0.1, 0.9, 7]))
        elif choice < 0.6 and snapshots:
            record = rng.choice(snapshots[-3:])
        elif choice < 0.7 and records:
            record = rng.choice(records)
        else:
            record = Withdrawal(
                id=f"w{offset}", version="m@1", epoch=offset, reason=""
            )
        records.append(record)
        state, _ = folded([record], state, offset)
        snapshots.append(state.snapshot(f"s{offset}"))
    return records, state, snapshots


@pytest.mark.parametrize("seed", range(20))
def test_node_that_starts_late_reaches_the_same_configuration(seed):
    """Records before the retained range must not make nodes differ."""
    records, truth, snapshots = random_log(seed)
    for start in range(60):
        state, _ = folded([*records[start:], snapshots[-1]], start=start)
        assert state.complete
        assert (state.revision, state.parts) == (truth.revision, truth.parts)
        assert state.withdrawals == truth.withdrawals


def test_records_survive_the_log_and_unknown_ones_are_skipped():
    """A record of a newer release must not stop or derail a fold."""
    claim = LeaseClaim(id="c", slots={3: -1}, owner="o", successors=["s"])
    assert decode_record(4, encode_record(claim)).record == claim
    for raw in ({"type": "new", "id": "n"}, {"type": "publication"}, []):
        assert isinstance(decode_record(1, raw).record, UnknownRecord)
