"""Tests the configuration folder: invalid files must not be published."""

import pytest
import yaml

from amaranthlug.protocol.config_folder import load_folder
from amaranthlug.state.catalog import VersionId
from amaranthlug_standins.sample_folders import (
    HENGYUN,
    MAPALIMPO,
    caller_key,
    key_digest,
    load_sample,
    with_upstreams,
)

ORG = "organisations"
DIGEST = key_digest("k")
STAGES = [{"share": 1.0, "min_rated": 0, "max_unrated": 1}]


def valid_content():
    """Returns a small valid configuration with one part per section."""
    return {
        ORG: {"acme": {"key_digests": [DIGEST], "allowed": ["m@1"]}},
        "versions": {
            f"m@{n}": {"pool": "gpu", "input_price": 1, "output_price": 2}
            for n in "12"
        },
        "pools": {
            "gpu": {"upstreams": [{"address": "h:1", "zone": "a"}]},
            "web": {
                "engine": False,
                "upstreams": [{"address": "h:2", "zone": "a"}],
            },
        },
        "kinds": {"draft": {"quality_target": 0.8}},
        "services": {"desk": {"pool": "web", "routes": []}},
        "rollouts": {
            "r": {
                "model": "m",
                "from_version": "1",
                "to_version": "2",
                "stages": STAGES,
            }
        },
    }


def write_and_check(folder, content, extra=None):
    """Writes the content to files and returns the problems as lines."""
    (folder / "10-base.yaml").write_text(yaml.safe_dump(content))
    if extra is not None:
        (folder / "20-extra.yaml").write_text(extra)
    loaded = load_folder(folder)
    return [] if loaded.is_ok() else [str(p) for p in loaded.unwrap_err()]


def test_valid_folder_has_no_problems(tmp_path):
    """A check that rejects valid files would block all publications."""
    assert write_and_check(tmp_path, valid_content()) == []


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ((ORG, "acme", "allowed"), ["m@9"], "m@9 is not defined; add it"),
        ((ORG, "acme", "allowed"), ["m"], "not of the form model@version"),
        ((ORG, "acme", "key_digests"), ["x"], "not a SHA-256 digest"),
        ((ORG, "acme", "services"), ["no"], "no is not defined"),
        ((ORG, "acme", "limits"), {"streams": -1}, "streams: -1 is too small"),
        ((ORG, "acme", "colour"), 1, "remove the key"),
        ((ORG, "b"), {"key_digests": [DIGEST]}, "belongs to acme too"),
        (("versions", "m@1", "pool"), "no", "add it under pools"),
        (("versions", "m@1", "pool"), "web", "has no engines"),
        (("versions", "m@1", "input_price"), "x", "correct the value"),
        (("versions", "m@1", "prior_quality"), 2.0, "is not a share"),
        (("versions", "m"), {"pool": "gpu"}, "versions.m.input_price"),
        (("pools", "gpu", "upstreams"), [], "list at least one"),
        (
            ("pools", "gpu", "upstreams"),
            [{"address": "h", "zone": "a"}],
            "write host:port",
        ),
        (("kinds", "draft", "quality_target"), 1.5, "is not a share"),
        (("kinds", "draft", "deadline_ms"), 5, "after the deadline"),
        (("services", "desk", "pool"), "gpu", "has engines"),
        (
            ("services", "desk", "routes"),
            [{"method": "GET", "prefix": "x", "repeatable": True}],
            "start it with a slash",
        ),
        (("rollouts", "r", "to_version"), "9", "m@9 is not defined"),
        (("rollouts", "r", "to_version"), 2, "put the value in quotes"),
        (("rollouts", "r", "to_version"), "1", "equals from_version"),
        (("rollouts", "r", "stages"), [], "end with share: 1.0"),
        (("colours",), {}, "unknown section"),
        (("kinds",), 3, "list its parts by name"),
        (
            ("pools", "gpu", "upstreams"),
            [{"address": "h:1", "zone": "a"}] * 2,
            "h:1 is listed twice",
        ),
        (
            ("services", "desk", "routes"),
            [{"method": "GET", "prefix": "/", "repeatable": True}] * 2,
            "GET / is listed twice",
        ),
        (
            ("rollouts", "r", "stages"),
            [{**STAGES[0], "share": 0.5}, {**STAGES[0], "share": 0.2}, *STAGES],
            "order the stages by share",
        ),
        (
            ("rollouts", "s"),
            {
                "model": "m",
                "from_version": "2",
                "to_version": "1",
                "stages": STAGES,
            },
            "remove the finished roll-out first",
        ),
    ],
)
def test_each_error_names_file_key_and_remedy(tmp_path, path, value, expected):
    """An operator needs file, key and remedy to correct an error."""
    content = valid_content()
    parent = content
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    lines = write_and_check(tmp_path, content)
    matching = [line for line in lines if expected in line]
    assert matching and matching[0].startswith(f"10-base.yaml: {path[0]}")
    assert "; " in matching[0]


def test_later_file_overrides_one_key_and_is_named(tmp_path):
    """The merge must keep the other keys of the earlier file."""
    lines = write_and_check(
        tmp_path, valid_content(), "kinds: {draft: {quality_target: 7}}"
    )
    assert lines[0].startswith("20-extra.yaml: kinds.draft.quality_target: ")


@pytest.mark.parametrize("text", ["a: [", "- x", "kinds: 3"])
def test_unreadable_file_is_named(tmp_path, text):
    """A file that is not a YAML mapping must not be skipped."""
    lines = write_and_check(tmp_path, valid_content(), text)
    assert lines[0].startswith("20-extra.yaml: ")


def test_empty_folder_is_an_error(tmp_path):
    """A mistyped folder name must not delete the whole configuration."""
    assert "no *.yaml files" in str(load_folder(tmp_path).unwrap_err()[0])


@pytest.mark.parametrize(
    ("name", "pools", "harmful"),
    [
        (HENGYUN, {"drafting": 9, "traffic-desk": 4}, "reconciliation"),
        (MAPALIMPO, {"description": 5, "upload": 4}, "obstacle-tags"),
    ],
)
def test_sample_folders_are_valid(name, pools, harmful):
    """Experiments use the sample folders, so they must stay valid."""
    folder = load_sample(name)
    catalog = folder.catalog
    found = {key: len(pool.upstreams) for key, pool in catalog.pools.items()}
    assert found == pools
    assert len(catalog.organisations) == 10
    assert catalog.kinds[harmful].harmful
    prices = [version.output_price for version in catalog.versions.values()]
    assert 10 <= max(prices) / min(prices) <= 30
    first = next(iter(catalog.organisations))
    digest = key_digest(caller_key(first))
    assert catalog.organisation_by_digest(digest).name == first


def test_with_upstreams_replaces_addresses_in_a_copy():
    """Test tools run stand-in servers at ports that the system assigns."""
    parts = load_sample(HENGYUN).parts
    changed = with_upstreams(parts, {"drafting": ["127.0.0.1:1"]})
    assert changed["pools/drafting"]["upstreams"] == [
        {"address": "127.0.0.1:1", "zone": "neihu-a"}
    ]
    assert len(parts["pools/drafting"]["upstreams"]) == 9
    assert VersionId.parse("swift@3") in load_sample(HENGYUN).catalog.versions
