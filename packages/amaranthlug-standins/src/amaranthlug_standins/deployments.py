"""The two sample deployments with the true qualities of their models."""

import dataclasses
import importlib.resources
import pathlib
from collections.abc import Mapping
from typing import Any

from result import Err

from amaranthlug.protocol.config_folder import load_folder
from amaranthlug.state.catalog import Catalog
from amaranthlug_standins.answers import Quality


class SampleError(Exception):
    """A sample folder is invalid; the message names file and key."""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Configuration of a fleet and its engines.

    Attributes:
        zones: Zones to which nodes are assigned in turn.
        nodes: Number of entry VMs.
        parts: Configuration parts by path, with placeholders as upstream
            addresses.
        qualities: True quality by `model@version`, which the router is not
            told.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    nodes: int
    catalog: Catalog
    parts: Mapping[str, Mapping[str, Any]]
    qualities: Mapping[str, Quality]

    def versions_of(self, pool: str) -> tuple[str, ...]:
        """Returns the versions that a pool's engines load at start."""
        return tuple(
            sorted(
                str(version.id)
                for version in self.catalog.versions.values()
                if version.pool == pool
            )
        )


HENGYUN_QUALITIES = {
    "swift@3": Quality(easy=0.96, hard=0.62),
    "swift@4": Quality(easy=0.97, hard=0.70),
    "scribe@2": Quality(easy=0.98, hard=0.93),
    "counsel@1": Quality(easy=0.99, hard=0.98),
}

MAPALIMPO_QUALITIES = {
    "pebble@5": Quality(easy=0.95, hard=0.60),
    "pebble@6": Quality(easy=0.96, hard=0.68),
    "marl@3": Quality(easy=0.97, hard=0.86),
    "lioz@2": Quality(easy=0.985, hard=0.95),
    "basalt@1": Quality(easy=0.99, hard=0.985),
}


def sample_folder(name: str) -> pathlib.Path:
    """Returns the configuration folder of a sample deployment."""
    root = importlib.resources.files("amaranthlug_standins")
    return pathlib.Path(str(root / "samples" / name))


def load_deployment(
    name: str,
    region: str,
    zones: tuple[str, ...],
    nodes: int,
    qualities: Mapping[str, Quality],
) -> Deployment:
    """Reads a deployment from its sample folder.

    Raises:
        SampleError: The folder is invalid.
    """
    loaded = load_folder(sample_folder(name))
    if isinstance(loaded, Err):
        raise SampleError("; ".join(str(error) for error in loaded.err_value))
    folder = loaded.ok_value
    return Deployment(
        name, region, zones, nodes, folder.catalog, folder.parts, qualities
    )


def hengyun() -> Deployment:
    """Returns the deployment of Hengyun Airtime Traffic."""
    zones = ("neihu-a", "neihu-b", "banqiao", "taoyuan")
    return load_deployment("hengyun", "tw-north", zones, 8, HENGYUN_QUALITIES)


def mapalimpo() -> Deployment:
    """Returns the deployment of Associação Mapa Limpo."""
    zones = ("sala-a", "sala-b", "sala-c", "sala-d")
    return load_deployment("mapalimpo", "lisboa", zones, 7, MAPALIMPO_QUALITIES)


def sample_deployments() -> list[Deployment]:
    """Returns both sample deployments."""
    return [hengyun(), mapalimpo()]
