"""Guards the list of known faults."""

from _common import ROOT, known_red_tests


def test_only_named_tests_are_passed_over():
    """A loose entry that hides more than the test it names."""
    text = "test: test/test_a.py::test_b\ncommand: x\nnote: test: y\n"
    assert known_red_tests(text) == {"test/test_a.py::test_b"}


def test_listed_tests_exist():
    """An entry that outlives its test."""
    for test in known_red_tests():
        path, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
