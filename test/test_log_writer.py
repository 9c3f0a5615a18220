"""Tests the log writer: lost answers, outages, full queues."""

import gevent
import pytest
from _fakes_log import FakeLog, FakeMetrics, wait_until
from result import Err

from amaranthlug.coordination import log_writer
from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.coordination.platform import PlatformError
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.records import NodeLeft


def make_record(name):
    """Returns a small record."""
    return NodeLeft(id=name, address="h:1", incarnation="i")


@pytest.fixture(name="log")
def log_fixture():
    """Returns a log with five records of other nodes."""
    log = FakeLog()
    log.records = [{"id": f"old{n}", "type": "x"} for n in range(5)]
    return log


@pytest.fixture(name="writer")
def writer_fixture(log, monkeypatch):
    """Yields a running writer with short retry waits."""
    monkeypatch.setattr(log_writer, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(log_writer, "MAX_RETRY_WAIT_S", 0.02)
    writer = LogWriter(log, lambda: 2, TimerService(1), FakeMetrics(), 1.0)
    writer.start()
    yield writer
    writer.stop()


def test_lost_answer_gives_one_record_and_its_offset(log, writer):
    """A blind retry after a lost answer would append the record twice."""
    log.lose_answers = 1
    assert writer.append(make_record("a")).unwrap() == 5
    assert log.ids().count("a") == 1


def test_repeatedly_lost_answers_give_one_record_each(log, writer):
    """Several lost answers in a row must not lose or duplicate records."""
    log.lose_answers = 10
    names = [f"r{n}" for n in range(500)]
    for name in names:
        assert writer.enqueue(make_record(name))
    assert writer.flush(3.0)
    assert log.ids()[5:] == names


def test_lost_answer_is_resolved_after_records_expired(log, writer):
    """The records after the known position may expire during an outage."""
    log.lose_answers = 1
    log.expire(4)
    assert writer.append(make_record("a")).unwrap() == 5
    assert log.ids().count("a") == 1


def test_queue_survives_an_outage(log, writer):
    """Withdrawals and bills must be appended after an outage."""
    log.outage = True
    for number in range(50):
        assert writer.enqueue(make_record(f"r{number}"))
    gevent.sleep(0.1)
    assert (log.ids()[5:], writer.backlog()) == ([], 50)
    log.outage = False
    assert writer.flush(3.0)
    assert log.ids()[5:] == [f"r{number}" for number in range(50)]


def test_queue_is_bounded(log, writer, monkeypatch):
    """A long outage must not exhaust the memory."""
    log.outage = True
    monkeypatch.setattr(log_writer, "MAX_DEFERRED", 3)
    gevent.sleep(0.01)
    assert [writer.enqueue(make_record(str(n))) for n in range(5)] == [
        *[True] * 3,
        *[False] * 2,
    ]


def test_timed_out_append_is_not_sent_later(log, writer):
    """A slot claim that timed out must not take effect after the outage."""
    log.outage = True
    writer.append_wait_s = 0.05
    assert not writer.append(make_record("a")).unwrap_err().effect_unknown
    log.outage = False
    assert writer.append(make_record("b")).is_ok()
    assert "a" not in log.ids()


def test_exception_in_an_append_does_not_lose_the_batch(log, writer):
    """An unexpected exception must not stop the greenlet that appends."""
    append = log.append
    log.append = lambda records: 1 / 0
    assert writer.enqueue(make_record("a"))
    gevent.sleep(0.02)
    log.append = append
    assert wait_until(lambda: "a" in log.ids())


def test_append_reports_an_unknown_effect(log, writer):
    """A publication with a lost answer must not be reported as not done."""
    log.lose_answers = 1
    log.read = lambda *_: Err(PlatformError("log", "no answer"))
    writer.append_wait_s = 0.1
    assert writer.append(make_record("a")).unwrap_err().effect_unknown
    assert "a" in log.ids()
