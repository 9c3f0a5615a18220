"""Tests of what an owner learns of the room at a server from its loads."""

from amaranthlug.state.routing.server_room import (
    COUNT_WINDOW_S,
    LOOK_S,
    PROBE_S,
    QUEUE_S,
    RISE_S,
    ServerRoom,
    StatedLoad,
)

SLOTS = 8


def observe(room: ServerRoom, now: float, load: StatedLoad) -> None:
    """Passes on a load as the register of grants does."""
    room.record_queue(load, SLOTS, now)
    if load.refused:
        room.record_full(load.requests - load.waiting, SLOTS, now)
    room.record_load(load, now, SLOTS)


def test_load_of_granted_requests_keeps_all_slots():
    """Ends may be known before the load that was stated earlier."""
    room = ServerRoom()
    room.record_count(5, 10.0)
    room.record_count(3, 10.0 + COUNT_WINDOW_S / 2)
    observe(room, 10.0 + COUNT_WINDOW_S, StatedLoad(5))
    assert room.others == 0
    assert room.room(SLOTS, 10.1) == SLOTS


def test_load_is_compared_with_the_count_of_its_time():
    """Loads are reported up to half a second later."""
    room = ServerRoom()
    room.record_count(5, 10.0)
    room.record_count(1, 10.2)
    observe(room, 10.5, StatedLoad(5, age_s=0.4))
    assert room.others == 0


# Guards against owners that grant all slots though others use some.
def test_slots_are_kept_free_for_requests_that_nobody_granted():
    """More than their mean number, since they come at random."""
    room = ServerRoom()
    room.record_count(2, 10.0)
    for number in range(20):
        observe(room, 10.0 + 0.1 * number, StatedLoad(4))
    assert 1.9 < room.others < 2.1
    assert room.room(SLOTS, 12.0) == SLOTS - 4


def test_one_request_looks_whether_the_others_have_gone():
    """No answer would show it else."""
    room = ServerRoom()
    for number in range(20):
        observe(room, 10.0 + 0.1 * number, StatedLoad(SLOTS))
    assert room.room(SLOTS, 12.0) == 0
    assert room.room(SLOTS, 12.0 + LOOK_S) == 1


# Guards against one odd load that costs slots for seconds.
def test_single_load_of_one_more_costs_nothing_for_long():
    """Half of it counts, and that expires."""
    room = ServerRoom()
    room.record_count(2, 10.0)
    observe(room, 10.0, StatedLoad(3))
    observe(room, 10.5, StatedLoad(2))
    assert room.room(SLOTS, 10.5) == SLOTS


def test_refusal_shows_what_a_server_runs():
    """One more is tried later, and later still after each refusal."""
    room = ServerRoom()
    room.record_count(5, 10.0)
    observe(room, 10.0, StatedLoad(4, refused=True))
    assert room.room(SLOTS, 10.0) == 4
    assert room.room(SLOTS, 10.0 + PROBE_S) == 5
    observe(room, 11.0, StatedLoad(4, refused=True))
    assert room.room(SLOTS, 11.0 + PROBE_S) == 4
    assert room.room(SLOTS, 11.0 + 2 * PROBE_S) == 5


# Guards against falls when servers that state too many slots stop to queue: up
# to then they turn nothing away from which their capacity could be learnt.
def test_lasting_queue_shows_what_a_server_runs():
    """A request that waits for a moment does not."""
    room = ServerRoom()
    room.record_count(6, 10.0)
    observe(room, 10.0, StatedLoad(6, waiting=2))
    observe(room, 10.0 + QUEUE_S / 2, StatedLoad(6))
    observe(room, 10.0 + QUEUE_S, StatedLoad(6, waiting=2))
    assert room.room(SLOTS, 10.5) == SLOTS
    observe(room, 10.0 + 2 * QUEUE_S, StatedLoad(6, waiting=2))
    assert room.room(SLOTS, 11.0) == 4


def test_more_that_runs_raises_what_is_granted_soon():
    """A server may have got more memory or slots."""
    room = ServerRoom()
    room.record_count(5, 10.0)
    observe(room, 10.0, StatedLoad(4, refused=True))
    observe(room, 11.0, StatedLoad(5))
    assert room.room(SLOTS, 11.0) == 5
    assert room.room(SLOTS, 11.0 + RISE_S) == 6


def test_queue_behind_all_slots_shows_nothing():
    """The stated slots are the true ones then."""
    room = ServerRoom()
    room.record_count(SLOTS + 2, 10.0)
    for number in range(10):
        observe(room, 10.0 + number, StatedLoad(SLOTS + 2, waiting=2))
    assert room.capacity is None
