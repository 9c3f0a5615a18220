"""Nodes name no dead node to callers, and no live one is missing."""

import dataclasses
import time

import gevent
import pytest
from _platform_fleet import wait_for

from amaranthlug_platform_standins.soak_directory import (
    DirectoryWatch,
    find_missing,
    find_named_dead,
)
from amaranthlug_platform_standins.soak_fleet import SoakFleet
from amaranthlug_platform_standins.soak_losses import (
    Trouble,
    cut_from_store,
    drop_history,
    end_by_kill,
    end_silently,
    lose_answers,
    nothing,
    pause,
    restart_in_turn,
    return_to_copies,
    silent_store,
    slow_store,
)

NODES = 8
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
RELAY = 1
"""Number of a node that is the relay of its zone."""
MEMBER = 5
"""Number of the other node of that zone."""
WATCHED_S = 9.0
"""Time after the end of the node for which the others are asked, in seconds."""
FAULT_S = 6.0
"""Length of a trouble that ends meanwhile, in seconds."""
OTHERS = (0, 2, 3, 6, 7, 4)
"""Numbers of the nodes of the other zones."""


@dataclasses.dataclass
class Case:
    """What happens beside the end of a node.

    Attributes:
        trouble: What disturbs the store or nodes.
        nodes: Numbers of the nodes that it concerns.
        excused: Numbers of the nodes that need not name all others, and that
            others need not name.
        for_s: Length of the trouble, in seconds.
    """

    trouble: Trouble = nothing
    nodes: tuple[int, ...] = ()
    excused: tuple[int, ...] = ()
    for_s: float = FAULT_S


CASES = {
    "nothing": Case(),
    "others start again": Case(restart_in_turn, OTHERS, OTHERS),
    "history dropped": Case(drop_history, for_s=WATCHED_S),
    "slow store": Case(slow_store, for_s=WATCHED_S),
    "silent store": Case(silent_store),
    "lost answers of the store": Case(lose_answers, for_s=WATCHED_S),
    # Without the store a relay refuses keys after 4.6 s, and is left out.
    "nodes cut from the store": Case(cut_from_store, (2, 3, 5), (2,)),
    "others paused": Case(pause, OTHERS, OTHERS),
    "older copies": Case(return_to_copies),
}


def play(folder, case: Case, number: int, end) -> list[str]:
    """Ends a node of a fleet beside trouble; returns what was wrong."""
    fleet = SoakFleet(folder, 1, NODES, 1, ZONES)
    watch = DirectoryWatch(fleet)
    injected = None
    try:
        fleet.start()
        watch.start()
        wait_for(watch.names_all, 15.0)
        dead = fleet.nodes[number]
        end(dead)
        died_at = time.monotonic()
        injected = gevent.spawn(
            case.trouble,
            fleet,
            [fleet.nodes[n] for n in case.nodes],
            case.for_s,
        )
        gevent.sleep(WATCHED_S)
    finally:
        gevent.killall([injected] if injected else [])
        watch.stop()
        fleet.stop()
    excused = {fleet.nodes[n].name for n in (*case.excused, number)}
    sound = {n.name: n.zone for n in fleet.nodes if n.name not in excused}
    return find_named_dead(watch.answers, dead.name, died_at) + find_missing(
        [a for a in watch.answers if a.asked in sound], sound, died_at
    )


# Guards against a node that named the other one of its zone for 6 s and more
# after that had lost its power, as each report that it read counted as new.
@pytest.mark.processes
@pytest.mark.parametrize("name", CASES)
def test_relay_without_power_is_not_named(tmp_path, name):
    """Its members learn of it from no relay."""
    assert play(tmp_path, CASES[name], RELAY, end_silently) == []


@pytest.mark.processes
@pytest.mark.parametrize("number", [RELAY, MEMBER])
@pytest.mark.parametrize("end", [end_by_kill, end_silently])
def test_dead_node_is_not_named(tmp_path, number, end):
    """A relay, a member; its connections are refused or hang."""
    assert play(tmp_path, Case(), number, end) == []
