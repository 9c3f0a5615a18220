"""Shared fixtures; passes over exactly the tests that KNOWN-RED.txt lists."""

import pytest
from _common import known_red_tests


@pytest.fixture
def started():
    """Starts stand-ins and stops them after the test."""
    running = []

    def start(standin_class, **values):
        running.append(standin_class.from_config(**values).start())
        return running[-1]

    yield start
    for standin in running:
        standin.stop()


def pytest_collection_modifyitems(config, items):
    """Deselects the listed tests; a listed test that is gone is an error."""
    listed = known_red_tests()
    known = [item for item in items if item.nodeid in listed]
    if known:
        config.hook.pytest_deselected(items=known)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that were passed over."""
    for test in sorted(known_red_tests()):
        terminalreporter.write_line(f"known red, not run: {test}")
