"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

from _common import known_red_tests


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
