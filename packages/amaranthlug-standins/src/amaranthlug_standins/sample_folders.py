"""Access to the sample folders of both deployments and to their caller keys.

Upstream addresses in the samples are placeholders; `with_upstreams` replaces
them by those of running stand-ins.
"""

import hashlib
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

from amaranthlug.protocol.config_folder import ConfigFolder, load_folder

SAMPLES_FOLDER = pathlib.Path(__file__).resolve().parent / "samples"
"""Parent of the configuration folders, one for each deployment."""

HENGYUN = "hengyun"
MAPALIMPO = "mapalimpo"


def sample_folder(name: str) -> pathlib.Path:
    """Returns the folder of a deployment, `hengyun` or `mapalimpo`."""
    return SAMPLES_FOLDER / name


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
    """Returns the SHA-256 digest of a caller key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def with_upstreams(
    parts: Mapping[str, Mapping[str, Any]],
    addresses: Mapping[str, Sequence[str]],
) -> dict[str, dict[str, Any]]:
    """Returns configuration parts with the pool addresses replaced.

    Args:
        parts: Parts by path.
        addresses: New addresses by pool name. They take the zones of the
            pool's present upstreams in turn.
    """
    changed = {path: dict(body) for path, body in parts.items()}
    for pool, hosts in addresses.items():
        body = changed[f"pools/{pool}"]
        zones = [upstream["zone"] for upstream in body["upstreams"]]
        body["upstreams"] = [
            {"address": host, "zone": zones[index % len(zones)]}
            for index, host in enumerate(hosts)
        ]
    return changed
