"""Tests the settings file, its error messages and its reference page."""

import pathlib

import pytest
from _common import ROOT

from amaranthlug.protocol.settings_file import load_settings, parse_settings
from amaranthlug.protocol.settings_reference import (
    descriptions,
    reference,
    rows,
)
from amaranthlug.state.settings import NodeSettings, Timings

VALID_SETTINGS = {
    "name": "entry-1",
    "address": "10.0.0.1:8080",
    "zone": "neihu-a",
    "region": "tw-north",
    "platform": {"log": "http://10.0.0.9:8080"},
    "peers": {"keys": {"k1": "secret"}},
}


def test_defaults_apply_to_keys_not_given():
    """A section with some keys must keep the defaults of the others."""
    settings = parse_settings(
        "f", {**VALID_SETTINGS, "timings": {"drain_s": 5}}
    ).unwrap()
    assert settings.timings.drain_s == 5
    assert settings.timings.exchange_s == Timings().exchange_s


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"zone": 3}, "zone"),
        ({"colour": "red"}, "colour"),
        ({"timings": {"exchange": 1}}, "timings.exchange"),
        ({"bounds": {"pins": "many"}}, "bounds.pins"),
    ],
)
def test_errors_name_file_key_and_remedy(change, key):
    """An operator needs the file and key to correct an error."""
    message = str(
        parse_settings("a.yaml", {**VALID_SETTINGS, **change}).unwrap_err()
    )
    assert message.startswith(f"a.yaml: {key}:")
    assert "docs/operate/settings.md" in message


def test_missing_file_and_broken_yaml_are_errors(tmp_path: pathlib.Path):
    """An unreadable file must give an error message, not a traceback."""
    assert load_settings(tmp_path / "no.yaml").is_err()
    broken = tmp_path / "broken.yaml"
    broken.write_text("a: [")
    assert load_settings(broken).is_err()


def test_reference_page_is_current():
    """The page must not list settings that no longer exist."""
    page = ROOT / "docs" / "operate" / "settings.md"
    assert page.read_text() == reference()


def test_each_setting_is_described():
    """A new setting must have a description on the page."""
    assert [row for row in rows(NodeSettings) if row.endswith("|  |")] == []
    assert "exchange_s" in descriptions(Timings)
