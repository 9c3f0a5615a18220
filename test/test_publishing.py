"""Guards publishing: racing operators, lost answers, outages."""

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


def parts(target=0.5, name="k"):
    """Returns a configuration with one kind."""
    return {f"kinds/{name}": {"quality_target": target}}


def publish(log, wanted, operator="ana", base=None, timeout_s=2.0):
    """Publishes in a session of its own."""
    return publish_parts(LogSession(log, timeout_s), wanted, operator, base)


@pytest.fixture(name="log")
def log_fixture():
    """A log with one publication in force."""
    log = FakeLog()
    assert publish(log, parts()).unwrap().revision == 0
    return log


def test_racing_operator_is_told_the_winner_and_nothing_is_applied(log):
    """Both operators read revision 0 before either appends."""

    class RacingLog(FakeLog):
        """Another operator's publication comes just before the append."""

        def append(self, records):
            """Appends after the other."""
            publish(log, parts(0.7), "mei").unwrap()
            return log.append(records)

        def read(self, after, limit, wait_ms):
            """Reads the shared log."""
            return log.read(after, limit, wait_ms)

    error = publish(RacingLog(), parts(0.9, "other"), "rui").unwrap_err()
    assert "mei published revision 1 with kinds/k" in error.message
    session = LogSession(log, 1.0)
    assert session.read().unwrap().parts == parts(0.7)


def test_old_base_of_a_folder_is_refused_before_the_append(log):
    """A folder that lacks another operator's change would revert it."""
    publish(log, parts(0.6), "mei").unwrap()
    appends = log.appends
    error = publish(log, parts(0.5), "rui", base=0).unwrap_err()
    assert error.winners[0].operator == "mei"
    assert log.appends == appends


def test_lost_answer_is_resolved_by_reading(log):
    """The operator must learn that the publication is in force."""
    log.lose_answers = 1
    assert publish(log, parts(0.6)).unwrap().revision == 1
    assert len(log.records) == 2


def test_publication_waits_for_the_end_of_an_outage(log):
    """An outage must not make operators send by hand again and again."""
    task = gevent.spawn(publish, log, parts(0.6), timeout_s=3.0)
    log.outage = True
    gevent.sleep(0.2)
    log.outage = False
    assert task.get(timeout=3.0).unwrap().revision == 1


def test_outage_longer_than_the_wait_changes_nothing(log):
    """A command that gave up must not take effect later."""
    session = LogSession(log, 0.1)
    session.read().unwrap()
    log.outage = True
    error = publish_parts(session, parts(0.6), "ana", None).unwrap_err()
    assert "nothing was changed" in error.message
    log.outage = False
    gevent.sleep(0.05)
    assert len(log.records) == 1


def test_difference_deletes_and_skips_equal_parts(log):
    """Publishing an unchanged folder must not take a new revision."""
    assert publish(log, parts()).unwrap().paths == ()
    done = publish(log, parts(name="new")).unwrap()
    assert done.paths == ("kinds/k", "kinds/new")
    assert len(log.records) == 2


def test_version_is_withdrawn_readmitted_and_withdrawn_again():
    """A second withdrawal must not be taken for the one that was lifted."""
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


def test_nodes_without_the_revision_are_named():
    """A node that is cut off must not be counted as up to date."""
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
