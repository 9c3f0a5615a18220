"""Tests which requests give way when callers take a node's memory.

The load: many callers hold large requests at once. Guards against a process
that runs out of memory, and against ordinary callers that get no answer since
others hold what there is.
"""

import math

import pytest
from _routing import FakeClock

from amaranthlug.protocol.routing.held_bytes import SMALL_BYTES
from amaranthlug.protocol.routing.request_memory import (
    MIN_AGE_S,
    RequestMemory,
)
from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.transport.routing.request_parser import (
    IncomingRequest,
    RejectedRequestError,
    RequestParser,
)

LIMIT = 1_000_000
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class Account:
    """An account with connections that record their eviction."""

    def __init__(self):
        """Creates an empty account."""
        self.clock = FakeClock()
        self.memory = RequestMemory(LIMIT, self.clock)
        self.evicted = []

    def open(self, name, size=0, is_reading=True):
        """Adds a connection that holds bytes; returns its entry."""
        entry = self.memory.add(lambda: self.evicted.append(name))
        entry.began_at = self.clock.now if is_reading else math.inf
        self.memory.resize(entry, size)
        return entry


def test_small_requests_always_have_room():
    """A crowd with large ones does not keep ordinary requests out."""
    account = Account()
    account.open("large", LIMIT + SMALL_BYTES, is_reading=False)
    small = account.open("small")
    assert account.memory.resize(small, SMALL_BYTES)
    assert not account.memory.resize(small, SMALL_BYTES + 1)


def test_single_request_has_room_beyond_the_limit():
    """The limits on one request decide alone while nobody else holds any."""
    account = Account()
    alone = account.open("alone")
    assert account.memory.resize(alone, 8 * LIMIT)
    assert not account.memory.resize(account.open("next"), 2 * SMALL_BYTES)


def test_slowest_unfinished_request_gives_way():
    """A body that stops short of its end is slower than one that goes on."""
    account = Account()
    account.open("slow", 300_000)
    account.clock.advance(9.0)
    account.open("fast", 300_000)
    account.open("slowest", 20_000)
    account.clock.advance(MIN_AGE_S)
    new = account.open("new")
    assert account.memory.resize(new, 500_000)
    assert account.evicted == ["slowest", "slow"]


def test_new_requests_and_those_being_answered_do_not_give_way():
    """Only what has been read for long is ended; the newcomer is refused."""
    account = Account()
    account.open("answered", 500_000, is_reading=False)
    account.open("young", 500_000)
    account.clock.advance(MIN_AGE_S / 2)
    assert not account.memory.resize(account.open("new"), 300_000)
    assert account.evicted == []


def test_evicted_connection_gets_no_room_and_frees_its_own():
    """It may still be reading when it is ended."""
    account = Account()
    slow = account.open("slow", 900_000)
    account.clock.advance(MIN_AGE_S)
    assert account.memory.evict_slowest()
    assert account.memory.used_bytes == 0
    assert not account.memory.resize(slow, 10)
    account.memory.remove(slow)
    assert account.memory.used_bytes == 0


@pytest.mark.parametrize("size", [0, 100, SMALL_BYTES, 40_000])
def test_all_is_given_back(size):
    """Nothing stays counted for connections that have ended."""
    account = Account()
    entries = [account.open(str(n), size) for n in range(5)]
    for entry in entries:
        account.memory.resize(entry, size // 2)
        account.memory.remove(entry)
    assert account.memory.used_bytes == 0
    assert not account.memory.held


def make_parser(**limits) -> RequestParser:
    """Returns a parser with these limits."""
    return RequestParser(lambda: CallerLimits(**limits))


def test_trailers_are_dropped():
    """Guards against trailers that became headers of the request."""
    parser = make_parser()
    parser.feed(HEAD + b"1\r\nx\r\n0\r\nExpect: 100-continue\r\na: b\r\n\r\n")
    [(request, _)] = parser.complete_requests
    assert request.body == b"x"
    assert request.get("a") is None
    assert not parser.wants_continue


@pytest.mark.parametrize("step", [1, 7, 4_096])
@pytest.mark.parametrize("repeated", [b"a:\r\n", b"x"])
def test_trailers_have_a_limit(step, repeated):
    """Guards against trailers without end, in lines or in one value."""
    parser = make_parser(header_bytes=1_000)
    parser.feed(HEAD)
    data = b"1\r\nx\r\n0\r\nb: c\r\n" + repeated * (16_000 // len(repeated))
    with pytest.raises(RejectedRequestError) as caught:
        for start in range(0, len(data), step):
            parser.feed(data[start : start + step])
    assert (caught.value.status, caught.value.reason) == (431, "trailer_bytes")
    assert parser.trailer_bytes <= 1_000 + 4_096


def test_chunks_of_one_byte_take_no_more_than_the_body():
    """Guards against a list entry for each chunk."""
    parser = make_parser()
    parser.feed(HEAD)
    for _ in range(100):
        parser.feed(b"1\r\nx\r\n" * 1_000)
    assert len(parser.body) == 100_000
    assert parser.held_bytes < 105_000


def test_head_beyond_its_limit_is_not_kept():
    """Guards against a refused head that is stored line by line first."""
    parser = make_parser(header_bytes=1_000)
    with pytest.raises(RejectedRequestError) as caught:
        parser.feed(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 700)
    assert caught.value.status == 431
    assert len(parser.headers) <= 1_000 / 6


def test_lines_count_with_the_memory_that_they_take():
    """Guards against a count of bytes alone."""
    parser = make_parser()
    parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 1_000)
    assert parser.held_bytes > 170_000


def test_request_keeps_what_it_takes():
    """It is counted until it is answered."""
    parser = make_parser()
    parser.feed(b"POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n")
    parser.feed(b"x" * 50_000)
    assert parser.held_bytes >= 100_000  # The body is copied to be sent.
    request, _ = parser.complete_requests.popleft()
    assert isinstance(request, IncomingRequest)
    assert parser.held_bytes == 0


@pytest.mark.parametrize(
    ("size", "count", "fragmented"),
    [(1, 900, False), (1, 1_100, True), (64, 5_000, False)],
)
def test_body_of_many_small_chunks_is_told_from_others(size, count, fragmented):
    """Guards against a crowd of them that leaves no time for others."""
    parser = make_parser()
    parser.feed(HEAD + b"%x\r\n%b\r\n" % (size, b"x" * size) * count)
    assert parser.is_fragmented() == fragmented
    parser.feed(b"0\r\n\r\n" + HEAD)
    assert not parser.is_fragmented()
