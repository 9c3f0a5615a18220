"""Tests of the signs by which a node tells that a server ended; no network."""

import dataclasses

import gevent
import pytest
from _crash_watch import make_watch
from _platform_fleet import wait_for
from _routing import FakeClock, make_server

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.server_directory import ServerDirectory
from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.server_ends import (
    CHECK_DELAYS_S,
    LIFE_S,
    RELISTING_S,
    REST_CHECK_S,
)
from amaranthlug.state.routing.server_ends import EndSign
from amaranthlug.state.routing.servers import ServerState

SERVER = make_server()
CHECKED_S = sum(CHECK_DELAYS_S) + 0.05


@pytest.fixture
def ends():
    """The ends known to a node before one server."""
    return make_watch(SERVER).ends


def check(ends, state: PathState) -> EndSign | None:
    """Checks the server once a new connection meets this state."""
    ends.port.states[SERVER.instance_key] = state
    ends.check_soon(SERVER)
    gevent.sleep(CHECKED_S)
    end = ends.known.get(SERVER.instance_name)
    return end.sign if end else None


@pytest.mark.parametrize(
    ("state", "sign"),
    [
        (PathState.REFUSED, EndSign.REFUSED),
        (PathState.CLOSED, EndSign.CLOSED),
        (PathState.OPEN, None),
        (PathState.UNKNOWN, None),
    ],
)
def test_sign_of_a_new_connection(ends, state, sign):
    """A host that does not answer says nothing of the process."""
    assert check(ends, state) is sign


def test_server_that_runs_requests_and_closes_others_has_not_ended(ends):
    """It is at its limit of connections."""
    ends.health.record_start(SERVER)
    assert check(ends, PathState.CLOSED) is None


def test_server_that_answered_since_has_not_ended(ends):
    """Its last answer came after the one that broke."""
    ends.port.states[SERVER.instance_key] = PathState.CLOSED
    ends.check_soon(SERVER)
    ends.clock.advance(0.2)
    ends.health.record_byte(SERVER)
    gevent.sleep(CHECKED_S)
    assert not ends.known


def test_ended_server_gets_no_request_until_it_accepts_again(ends):
    """Then it gets trial requests."""
    assert check(ends, PathState.CLOSED) is EndSign.CLOSED
    assert ends.health.is_gone(SERVER)
    ends.port.states[SERVER.instance_key] = PathState.OPEN
    wait_for(lambda: not ends.health.is_gone(SERVER))
    assert ends.health.is_bad(ends.health.get_or_create(SERVER))


# Guards against a node without servers for up to 8 s after a cut between it and
# all of them, in which connections were refused.
def test_server_that_was_cut_off_for_seconds_is_used_again_soon(ends):
    """Its path is checked all the while."""
    assert check(ends, PathState.REFUSED) is EndSign.REFUSED
    gevent.sleep(3.2)
    assert ends.health.is_gone(SERVER)
    ends.port.states[SERVER.instance_key] = PathState.OPEN
    gevent.sleep(REST_CHECK_S + 0.1)
    assert not ends.health.is_gone(SERVER)


def test_entry_that_is_back_before_its_server_is_followed(ends):
    """Nothing is left to follow."""
    ends.record_departure(SERVER, EndSign.REMOVED)
    ends.record_return(SERVER)
    ends.rest(SERVER)
    assert not ends.known


def test_end_that_another_node_reports_is_checked(ends):
    """A wrong report takes no server from this node."""
    ends.record_reported(SERVER.instance_name)
    gevent.sleep(0.05)
    assert not ends.health.is_gone(SERVER)


def test_reported_end_that_is_true_keeps_requests_away(ends):
    """This node has not been at that server."""
    ends.port.states[SERVER.instance_key] = PathState.CLOSED
    ends.record_reported(SERVER.instance_name)
    gevent.sleep(0.05)
    assert ends.health.is_gone(SERVER)


def test_server_that_answers_long_after_its_end_lives(ends):
    """What it sent was not on its way since before."""
    lives = []
    ends.receive_life = lives.append
    ends.record_end(SERVER, EndSign.CLOSED)
    ends.clock.advance(LIFE_S + 0.1)
    ends.health.record_byte(SERVER)
    ends.clock.advance(RELISTING_S + 0.1)
    wait_for(lambda: lives == [SERVER.instance_name])
    assert not ends.known


def test_last_bytes_of_an_ended_server_are_no_sign_of_life(ends):
    """They were read a moment after the first answer broke."""
    ends.record_end(SERVER, EndSign.REFUSED)
    ends.clock.advance(LIFE_S - 0.1)
    ends.health.record_byte(SERVER)
    ends.clock.advance(RELISTING_S + 1.0)
    gevent.sleep(1.1)
    assert SERVER.instance_name in ends.known


def test_server_that_is_registered_again_lives(ends):
    """Its entry lapsed, for instance while it did not reach the store."""
    ends.record_departure(SERVER, EndSign.REMOVED)
    ends.record_return(SERVER)
    assert not ends.known


class Directory:
    """A directory whose departures and returns are collected."""

    def __init__(self):
        """Starts with one server."""
        self.departures, self.returns = [], []
        self.directory = ServerDirectory(self, lambda: -9.0, FakeClock())
        self.directory.receive_departure = lambda entry, sign: (
            self.departures.append((entry.instance_name, sign))
        )
        self.directory.receive_return = self.returns.append
        self.put(SERVER)

    def server(self, record):
        """Returns the entry, which is not encoded here."""
        return record.value

    def put(self, entry) -> None:
        """Writes an entry."""
        self.directory.apply(KeyedRecord(entry.server_id, entry, 0))

    def remove(self) -> None:
        """Removes the entry of the server."""
        self.directory.apply(KeyedRecord(SERVER.server_id, None, 0))


LATER = SERVER.started_ms + 1_000


@pytest.mark.parametrize(
    "changes",
    [{"started_ms": LATER}, {"started_ms": LATER, "server_id": "another"}],
)
def test_new_instance_at_an_id_or_address_replaces_the_former(changes):
    """It cannot listen there while the former runs."""
    directory = Directory()
    directory.put(dataclasses.replace(SERVER, **changes))
    replaced = (SERVER.instance_name, EndSign.REPLACED)
    assert directory.departures == [replaced]


def test_instance_elsewhere_replaces_nothing():
    """Neither id nor address are those of the server."""
    directory = Directory()
    other = {"server_id": "another", "address": "10.0.0.9:1"}
    directory.put(dataclasses.replace(SERVER, started_ms=LATER, **other))
    assert directory.departures == []


def test_entry_that_is_removed_and_written_again():
    """An entry may lapse although its server lives."""
    directory = Directory()
    directory.remove()
    assert directory.departures == [(SERVER.instance_name, EndSign.REMOVED)]
    directory.put(SERVER)
    assert directory.returns == [SERVER]


def test_server_that_announced_to_leave_has_not_crashed():
    """Its end is planned."""
    directory = Directory()
    directory.put(dataclasses.replace(SERVER, state=ServerState.DRAINING))
    directory.remove()
    assert directory.departures == []
