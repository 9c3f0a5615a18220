"""Tests the list of tests that are known to fail."""

from _common import ROOT, known_red_tests


def test_only_test_lines_name_tests():
    """An entry must not excuse more tests than the one it names."""
    text = "test: test/test_a.py::test_b\ncommand: x\nnote: test: y\n"
    assert known_red_tests(text) == {"test/test_a.py::test_b"}


def test_listed_tests_exist():
    """An entry must be removed with its test."""
    for test in known_red_tests():
        path, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
