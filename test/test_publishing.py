"""Tests publishing: concurrent operators, lost answers, outages."""

import gevent
import pytest
from _fakes_log import FakeLog
from result import Err, Ok

from amaranthlug.coordination.publishing import (
    LogSession,
    publish_parts,
    readmit_version,
    wait_until_in_force,
    withdraw_version,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug_standins.sample_folders import HENGYUN, load_sample


def make_parts(target=0.5, name="k"):
    """Returns a configuration with one kind."""
    return {f"kinds/{name}": {"quality_target": target}}


def publish(log, wanted, operator="ana", base=None, timeout_s=2.0):
    """Publishes in a new session."""
    return publish_parts(LogSession(log, timeout_s), wanted, operator, base)


@pytest.fixture(name="log")
def log_fixture():
    """Returns a log with one publication in force."""
    log = FakeLog()
    assert publish(log, make_parts()).unwrap().revision == 0
    return log


def test_losing_publication_names_the_winner_and_has_no_effect(log):
    """Both operators read revision 0 before either appends."""

    class RacingLog(FakeLog):
        """A log on which another operator publishes just before an append."""

        def append(self, records):
            """Appends after the other operator."""
            publish(log, make_parts(0.7), "mei").unwrap()
            return log.append(records)

        def read(self, after, limit, wait_ms):
            """Reads the shared log."""
            return log.read(after, limit, wait_ms)

    error = publish(RacingLog(), make_parts(0.9, "other"), "rui").unwrap_err()
    assert "mei published revision 1 with kinds/k" in error.message
    session = LogSession(log, 1.0)
    assert session.read().unwrap().parts == make_parts(0.7)


def test_outdated_base_is_rejected_before_the_append(log):
    """A folder without another operator's change would revert that change."""
    publish(log, make_parts(0.6), "mei").unwrap()
    appends = log.appends
    error = publish(log, make_parts(0.5), "rui", base=0).unwrap_err()
    assert error.winners[0].operator == "mei"
    assert log.appends == appends


def test_lost_answer_is_resolved_by_reading(log):
    """The operator must learn that the publication is in force."""
    log.lose_answers = 1
    assert publish(log, make_parts(0.6)).unwrap().revision == 1
    assert len(log.records) == 2


def test_publication_waits_for_the_end_of_an_outage(log):
    """Operators must not have to retry by hand during an outage."""
    task = gevent.spawn(publish, log, make_parts(0.6), timeout_s=3.0)
    log.outage = True
    gevent.sleep(0.2)
    log.outage = False
    assert task.get(timeout=3.0).unwrap().revision == 1


def test_outage_longer_than_the_wait_changes_nothing(log):
    """A command that timed out must not take effect later."""
    session = LogSession(log, 0.1)
    session.read().unwrap()
    log.outage = True
    error = publish_parts(session, make_parts(0.6), "ana", None).unwrap_err()
    assert "nothing was changed" in error.message
    log.outage = False
    gevent.sleep(0.05)
    assert len(log.records) == 1


def test_only_changed_and_deleted_parts_are_published(log):
    """Publishing an unchanged folder must not take a new revision."""
    assert publish(log, make_parts()).unwrap().paths == ()
    published = publish(log, make_parts(name="new")).unwrap()
    assert published.paths == ("kinds/k", "kinds/new")
    assert len(log.records) == 2


def test_version_is_withdrawn_readmitted_and_withdrawn_again():
    """A second withdrawal must not be taken for the lifted one."""
    log = FakeLog()
    publish(log, load_sample(HENGYUN).parts).unwrap()
    session, name = LogSession(log, 1.0), "swift@4"
    assert readmit_version(session, name, "ana").is_err()
    assert withdraw_version(session, "no@1", "bad", "ana").is_err()
    assert withdraw_version(session, name, "bad", "ana") == Ok(0)
    assert withdraw_version(session, name, "bad", "ana") == Ok(0)
    assert len(log.records) == 2
    assert readmit_version(session, name, "ana") == Ok(0)
    assert withdraw_version(session, name, "bad", "ana") == Ok(1)
    assert session.read().unwrap().withdrawals.is_withdrawn(name)


def test_nodes_without_the_revision_are_listed():
    """A disconnected node must not count as up to date."""
    answers = {"a": Ok({"revision": 7}), "b": Ok({"revision": 3})}
    found = wait_until_in_force(
        5,
        ["a", "b", "c"],
        lambda node: answers.get(node, Err("no answer")),
        0.3,
        TimerService(1),
    )
    assert set(found.seconds) == {"a"}
    assert found.missing == ("b", "c")
