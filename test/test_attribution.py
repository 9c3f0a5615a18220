"""Tests of what crashes are attributed to; no network and no clock."""

import random

from _crash_mixes import CrashMix

from amaranthlug.coordination.routing.fleet_suspects import CRASHES_TO_BLOCK
from amaranthlug.state.attribution import explain
from amaranthlug.state.suspects import Suspect


def make_suspect(crashes: str, requests="", depth=None, cleared="") -> Suspect:
    """Returns a suspect with one crash and one request for each letter."""
    return Suspect(0.0, 0.0, set(crashes), set(cleared), set(requests), depth)


def blocked(**suspects: Suspect) -> set[str]:
    """Returns which of several suspects are blocked."""
    return set(explain(suspects, CRASHES_TO_BLOCK))


def test_part_of_two_requests_is_blocked_after_three_crashes():
    """No request is at all of the crashes."""
    suspects = {
        "part": make_suspect("abc", "xy", 1),
        "x": make_suspect("ab"),
        "y": make_suspect("c"),
    }
    assert blocked(**suspects) == {"part"}
    suspects["part"] = make_suspect("abc", "xy", 1, cleared="a")
    assert blocked(**suspects) == set()


def test_repeated_request_is_blocked_and_its_parts_are_not():
    """Only one request has been at the crashes."""
    assert blocked(
        x=make_suspect("abcd"), part=make_suspect("abcd", "x", 0)
    ) == {"x"}


def test_part_shared_with_a_crashing_request_is_not_blocked():
    """The request explains all crashes at which others were, too."""
    assert blocked(
        x=make_suspect("abc"), part=make_suspect("abc", "xyz", 0)
    ) == {"x"}


# Guards against issue 29: bystanders that tried three servers that ended under
# a prompt part were blocked for ten minutes.
def test_bystander_of_explained_crashes_is_not_blocked():
    """The part was at each of them, and at more."""
    assert blocked(
        part=make_suspect("abcd", "uvw", 1),
        bystander=make_suspect("bcd"),
        session=make_suspect("abc", "yz", 2),
    ) == {"part"}


def test_of_parts_alike_the_one_in_fewer_requests_is_blocked():
    """Sound requests share the other one."""
    assert blocked(
        first=make_suspect("abc", "uvwxyz", 0),
        middle=make_suspect("abc", "uv", 1),
        last=make_suspect("abc", "uvwx", 2),
    ) == {"middle"}


def test_of_parts_alike_the_one_that_was_never_answered_is_blocked():
    """Servers have answered on the other one before."""
    suspects = {
        "middle": make_suspect("abc", "xy", 1),
        "last": make_suspect("abc", "xy", 2),
    }
    assert set(explain(suspects, CRASHES_TO_BLOCK)) == {"last"}
    assert set(explain(suspects, CRASHES_TO_BLOCK, {"last"})) == {"middle"}


def test_two_causes_are_both_blocked():
    """Each explains crashes that the other does not."""
    assert blocked(
        part=make_suspect("abcd", "uv", 1), x=make_suspect("defg")
    ) == {"part", "x"}


def test_requests_that_cannot_be_told_apart_are_all_blocked():
    """Each of them was at the same three crashes."""
    assert blocked(x=make_suspect("abc"), y=make_suspect("abc")) == {"x", "y"}


MIXES = 200
MAX_FALSE_ALARMS = 0.01
"""Share of the mixes in which a sound part may be blocked at the end."""


def test_seeded_mixes_find_the_crashing_part():
    """Sound requests share all other parts; notices are late or lost."""
    missed, late, false_alarms, refused, sent = [], [], [], 0, 0
    for seed in range(MIXES):
        mix = CrashMix.draw(random.Random(seed), seed % 2)
        mix.run()
        if not mix.is_found():
            missed.append(seed)
        if mix.arrivals_after_fifth > 3:
            late.append((seed, mix.arrivals_after_fifth))
        if mix.blocked_sound_parts():
            false_alarms.append(seed)
        refused += mix.refused_sound
        sent += mix.sent_sound
    print(f"missed {missed}, late {late}, false alarms {false_alarms}")
    print(f"refused {refused} of {sent} sound requests")
    assert not missed
    assert not late
    assert len(false_alarms) <= MAX_FALSE_ALARMS * MIXES


# Guards against issue 33: a sound part that was blocked in place of the cause
# stayed so, as nothing was under way that could clear it.
def test_seeded_mixes_that_crash_from_the_start_block_no_sound_part():
    """No part has been answered before; seeds 2168 and 2188 are among them."""
    blocked_parts, missed = {}, []
    for seed in range(2120, 2200):
        mix = CrashMix.draw(random.Random(seed), seed % 2, faults_from_s=0.0)
        share = random.Random(seed + 7).choice([0.1, 0.3, 0.5])
        mix.crashing_share = share
        mix.run()
        if mix.blocked_sound_parts():
            blocked_parts[seed] = mix.blocked_sound_parts()
        if not mix.is_found():
            missed.append(seed)
    assert not blocked_parts
    assert not missed


def test_seeded_mixes_block_nothing_if_crashes_have_another_cause():
    """Several servers end at the same moment, again and again."""
    false_alarms = []
    for seed in range(MIXES // 2):
        mix = CrashMix.draw(random.Random(seed), 0, is_part_crashing=False)
        mix.run()
        if mix.blocked_parts():
            false_alarms.append(seed)
    print(f"false {false_alarms}")
    assert len(false_alarms) <= MAX_FALSE_ALARMS * MIXES / 2
