"""Tests the configuration from the log: races, repeats, expired records."""

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


def kind_body(target):
    """Returns the body of a kind with a quality target."""
    return {"quality_target": target}


def publication(name, base, target=0.5, operator="ana", path="kinds/k"):
    """Returns a publication that changes one kind."""
    return Publication(
        id=name, operator=operator, base=base, parts={path: kind_body(target)}
    )


def apply_records(records, state=None, start=0):
    """Applies records from offset `start`; returns state and verdicts."""
    state, verdicts = state or ConfigState(), []
    for offset, record in enumerate(records, start):
        entry = LogEntry(offset=offset, record=record)
        state, verdict = apply_entry(state, entry)
        verdicts.append(verdict)
    return state, verdicts


def test_losing_publication_is_rejected_and_names_the_winner():
    """Two operators publish against one base; a merge would mix their parts."""
    loser = publication("c", 0, 0.9, "rui", "kinds/other")
    state, verdicts = apply_records(
        [publication("a", -1), publication("b", 0, 0.7, "mei"), loser]
    )
    assert (state.revision, verdicts[2].accepted) == (1, False)
    assert "kinds/other" not in state.parts
    assert "mei published revision 1 with kinds/k" in str(verdicts[2])


def test_repeated_publication_has_no_effect():
    """A writer that lost a response appends again after a later publication.

    The repeated record must not revert the later one.
    """
    first = publication("a", -1)
    state, verdicts = apply_records([first, publication("b", 0, 0.7), first])
    assert (state.revision, state.parts["kinds/k"]) == (1, kind_body(0.7))
    assert not verdicts[2].accepted


def test_invalid_configuration_is_rejected_with_the_reason():
    """A command of another release may publish parts that nodes cannot use."""
    state, verdicts = apply_records([publication("a", -1, 7)])
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
def test_malformed_part_is_rejected(path, body, expected):
    """A part that raises an exception would stop every node at its offset."""
    record = Publication(id="a", operator="ana", base=-1, parts={path: body})
    state, verdicts = apply_records([record])
    assert (state.revision, verdicts[0].accepted) == (-1, False)
    assert expected in str(verdicts[0])


def test_deleting_a_referenced_part_is_rejected():
    """A deletion must not leave a dangling reference."""
    pool = {"upstreams": [{"address": "h:1", "zone": "a"}]}
    version = {"pool": "p", "input_price": 1, "output_price": 1}
    parts = {"pools/p": pool, "versions/m@1": version}
    deletion = Publication(
        id="b", operator="ana", base=0, parts={}, deleted=["pools/p"]
    )
    state, verdicts = apply_records(
        [Publication(id="a", operator="ana", base=-1, parts=parts), deletion]
    )
    assert (state.revision, verdicts[1].accepted) == (0, False)
    assert "pools/p" in state.parts


def test_stale_snapshot_does_not_revert_a_publication():
    """A slow writer may append its snapshot after a later publication."""
    state, _ = apply_records([publication("a", -1)])
    stale = state.snapshot("s")
    state, _ = apply_records([publication("b", 0, 0.7), stale], state, 1)
    assert (state.revision, state.parts["kinds/k"]) == (1, kind_body(0.7))


def test_snapshot_followed_by_missing_records_is_not_used():
    """A publication that expired after the snapshot was taken would be lost."""
    snapshot = apply_records([publication("a", -1)])[0].snapshot("s")
    state, _ = apply_records([snapshot], start=9)
    assert (state.revision, state.complete) == (-1, False)


def test_publications_after_a_gap_wait_for_a_snapshot():
    """A node whose next records expired must not accept on an old revision."""
    before_gap, _ = apply_records([publication("a", -1)])
    state, verdicts = apply_records([publication("x", 0, 0.9)], before_gap, 7)
    assert (state.revision, verdicts) == (0, [None])
    unknown = [UnknownRecord(id="u")] * 3
    others = [*unknown, publication("b", 0, 0.6), *unknown]
    reference, _ = apply_records(others, before_gap, 1)
    state, _ = apply_records([reference.snapshot("s")], state, 8)
    assert (state.revision, state.complete) == (4, True)


@pytest.mark.parametrize(
    ("changes", "withdrawn"),
    [
        ([("w", 0)], True),
        ([("w", 0), ("r", 0)], False),
        ([("r", 0), ("w", 0)], False),
        ([("w", 0), ("r", 0), ("w", 1)], True),
        ([("w", 0), ("w", 1), ("r", 0)], True),
        ([("w", 0), ("r", 0), ("w", 1), ("r", 1), ("w", 1)], False),
    ],
)
def test_withdrawal_of_an_older_epoch_has_no_effect(changes, withdrawn):
    """Withdrawals and readmissions arrive late and in any order."""
    records = [
        Withdrawal(id=f"w{n}", version="m@1", epoch=epoch, reason="bad")
        if change == "w"
        else Readmission(id=f"r{n}", version="m@1", epoch=epoch, operator="o")
        for n, (change, epoch) in enumerate(changes)
    ]
    state, _ = apply_records(records)
    assert state.withdrawals.is_withdrawn("m@1") is withdrawn
    shuffled = random.Random(1).sample(records, len(records))
    assert (
        apply_records(shuffled)[0].withdrawals.is_withdrawn("m@1") is withdrawn
    )


def random_log(seed):
    """Returns random records, the state after them, and its snapshots.

    The records contain races, repeats and late snapshots.
    """
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
        state, _ = apply_records([record], state, offset)
        snapshots.append(state.snapshot(f"s{offset}"))
    return records, state, snapshots


@pytest.mark.parametrize("seed", range(20))
def test_node_that_starts_late_reaches_the_same_state(seed):
    """A node that misses expired records must not differ from the others."""
    records, reference, snapshots = random_log(seed)
    for start in range(60):
        state, _ = apply_records([*records[start:], snapshots[-1]], start=start)
        assert state.complete
        assert (state.revision, state.parts) == (
            reference.revision,
            reference.parts,
        )
        assert state.withdrawals == reference.withdrawals


def test_records_are_decoded_and_unknown_ones_are_skipped():
    """A record of a newer release must not stop a reader of the log."""
    claim = LeaseClaim(id="c", slots={3: -1}, owner="o", successors=["s"])
    assert decode_record(4, encode_record(claim)).record == claim
    for raw in ({"type": "new", "id": "n"}, {"type": "publication"}, []):
        assert isinstance(decode_record(1, raw).record, UnknownRecord)
