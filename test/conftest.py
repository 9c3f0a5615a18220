"""Shared fixtures; deselects exactly the tests listed in KNOWN-RED.txt."""

import pytest
from _common import known_red_tests


@pytest.fixture
def start_standin():
    """Returns a function that starts stand-ins; stops them after the test."""
    running = []

    def start(standin_class, **values):
        running.append(standin_class.from_config(**values).start())
        return running[-1]

    yield start
    for standin in running:
        standin.stop()


def pytest_collection_modifyitems(config, items):
    """Deselects the listed tests; test_known_red checks that they exist."""
    listed = known_red_tests()
    known = [item for item in items if item.nodeid in listed]
    if known:
        config.hook.pytest_deselected(items=known)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter):
    """Prints the deselected tests."""
    for test in sorted(known_red_tests()):
        terminalreporter.write_line(f"known red, not run: {test}")
