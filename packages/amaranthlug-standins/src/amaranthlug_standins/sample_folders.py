"""Access to the sample folders of both deployments and to their caller keys.

Upstream addresses in the samples are placeholders; `with_upstreams` puts in
those of running stand-ins.
"""

import hashlib
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

from amaranthlug.protocol.config_folder import ConfigFolder, load_folder

SAMPLES = pathlib.Path(__file__).resolve().parent / "samples"
"""Folder that has one configuration folder for each deployment."""

HENGYUN = "hengyun"
MAPALIMPO = "mapalimpo"


def sample_folder(name: str) -> pathlib.Path:
    """Returns the folder of a deployment, `hengyun` or `mapalimpo`."""
    return SAMPLES / name


def load_sample(name: str) -> ConfigFolder:
    """Reads the sample folder of a deployment.

    Raises:
        UnwrapError: The sample is invalid.
    """
    return load_folder(sample_folder(name)).unwrap()


def caller_key(organisation: str) -> str:
    """Returns the caller key of an organisation in the samples."""
    return f"key-{organisation}"


def key_digest(key: str) -> str:
    """Returns the digest by which a configuration names a caller key."""
    return hashlib.sha256(key.encode()).hexdigest()


def with_upstreams(
    parts: Mapping[str, Mapping[str, Any]],
    addresses: Mapping[str, Sequence[str]],
) -> dict[str, dict[str, Any]]:
    """Returns parts whose pools have other addresses.

    Args:
        parts: Parts by path.
        addresses: Pool name to addresses; zones are taken from the pool's own
            upstreams in turn.
    """
    changed = {path: dict(body) for path, body in parts.items()}
    for pool, hosts in addresses.items():
        body = changed[f"pools/{pool}"]
        zones = [upstream["zone"] for upstream in body["upstreams"]]
        body["upstreams"] = [
            {"address": host, "zone": zones[number % len(zones)]}
            for number, host in enumerate(hosts)
        ]
    return changed
