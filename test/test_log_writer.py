"""Guards the writer: lost answers, outages, full queues."""

import gevent
import pytest
from _fakes_log import FakeLog, FakeMetrics, wait_until
from result import Err

from amaranthlug.coordination import log_writer
from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.coordination.platform import PlatformError
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.records import NodeLeft


def record(name):
    """Returns a small record."""
    return NodeLeft(id=name, address="h:1", incarnation="i")


@pytest.fixture(name="log")
def log_fixture():
    """A log with some records of others."""
    log = FakeLog()
    log.records = [{"id": f"old{n}", "type": "x"} for n in range(5)]
    return log


@pytest.fixture(name="writer")
def writer_fixture(log, monkeypatch):
    """A running writer with short waits."""
    monkeypatch.setattr(log_writer, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(log_writer, "MAX_RETRY_WAIT_S", 0.02)
    writer = LogWriter(log, lambda: 2, TimerService(1), FakeMetrics(), 1.0)
    writer.start()
    yield writer
    writer.stop()


def test_lost_answer_gives_one_record_and_its_offset(log, writer):
    """An append repeated after a lost answer would take effect twice."""
    log.lose_answers = 1
    assert writer.append(record("a")).unwrap() == 5
    assert log.ids().count("a") == 1


def test_answers_lost_in_a_row_keep_one_effect_per_record(log, writer):
    """Batches with several lost answers must neither lose nor repeat."""
    log.lose_answers = 10
    names = [f"r{n}" for n in range(500)]
    for name in names:
        assert writer.enqueue(record(name))
    assert writer.flush(3.0)
    assert log.ids()[5:] == names


def test_lost_answer_with_expired_position_is_resolved(log, writer):
    """The known position may leave the retained range in an outage."""
    log.lose_answers = 1
    log.expire(4)
    assert writer.append(record("a")).unwrap() == 5
    assert log.ids().count("a") == 1


def test_queue_survives_an_outage(log, writer):
    """Withdrawals and bills wait for the log to come back."""
    log.outage = True
    for number in range(50):
        assert writer.enqueue(record(f"r{number}"))
    gevent.sleep(0.1)
    assert (log.ids()[5:], writer.backlog()) == ([], 50)
    log.outage = False
    assert writer.flush(3.0)
    assert log.ids()[5:] == [f"r{number}" for number in range(50)]


def test_queue_is_bounded(log, writer, monkeypatch):
    """A long outage must not use up the memory."""
    log.outage = True
    monkeypatch.setattr(log_writer, "MAX_DEFERRED", 3)
    gevent.sleep(0.01)
    assert [writer.enqueue(record(str(n))) for n in range(5)] == [
        *[True] * 3,
        *[False] * 2,
    ]


def test_waiting_writer_gets_an_error_and_its_record_is_not_sent(log, writer):
    """A claim that was given up must not take effect after the outage."""
    log.outage = True
    writer.append_wait_s = 0.05
    assert not writer.append(record("a")).unwrap_err().effect_unknown
    log.outage = False
    assert writer.append(record("b")).is_ok()
    assert "a" not in log.ids()


def test_failing_adapter_does_not_lose_the_batch(log, writer):
    """An unexpected exception must not end the writing greenlet."""
    append = log.append
    log.append = lambda records: 1 / 0
    assert writer.enqueue(record("a"))
    gevent.sleep(0.02)
    log.append = append
    assert wait_until(lambda: "a" in log.ids())


def test_waiting_writer_learns_that_the_effect_is_unknown(log, writer):
    """A publication whose answers are lost must not be called undone."""
    log.lose_answers = 1
    log.read = lambda *_: Err(PlatformError("log", "no answer"))
    writer.append_wait_s = 0.1
    assert writer.append(record("a")).unwrap_err().effect_unknown
    assert "a" in log.ids()
