"""Stand-in of the platform's VM list."""

import dataclasses
import time
from typing import Any

import falcon

from amaranthlug_standins.standin import StandIn, StandInConfig, run_main

ROLES = ("entry", "engine", "service")
STATES = ("live", "leaving", "gone")


@dataclasses.dataclass(frozen=True)
class VmListConfig(StandInConfig):
    """Configuration of the VM list; changes appear after `lag_s` seconds."""

    lag_s: float = 0.0


@dataclasses.dataclass
class VmChange:
    """A change of a VM at the monotonic time `at`."""

    at: float
    address: str
    zone: str
    role: str
    state: str


class VmListStandIn(StandIn):
    """VM list in which changes appear after a lag."""

    config_class = VmListConfig

    def __init__(self, config: VmListConfig):
        """Creates an empty list."""
        self.changes: list[VmChange] = []
        self.reads = 0
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/vms`."""
        self.app.add_route("/vms", VmsRoute(self))

    def register(
        self, address: str, zone: str, role: str, state: str = "live"
    ) -> None:
        """Adds a VM or changes its state."""
        self.changes.append(
            VmChange(time.monotonic(), address, zone, role, state)
        )

    def vms(self, lag_s: float) -> list[dict[str, Any]]:
        """Returns the list as it was `lag_s` seconds ago."""
        now = time.monotonic()
        newest: dict[str, VmChange] = {}
        for change in self.changes:
            if change.at <= now - lag_s:
                newest[change.address] = change
        return [
            {
                "address": change.address,
                "zone": change.zone,
                "role": change.role,
                "state": change.state,
                "since_s": round(now - change.at, 3),
            }
            for change in newest.values()
        ]

    def seen(self) -> dict[str, Any]:
        """Returns the list without lag, the number of reads and all changes."""
        return {
            "vms": self.vms(0),
            "reads": self.reads,
            "changes": [dataclasses.asdict(change) for change in self.changes],
        }


class VmsRoute:
    """`GET /vms` and `POST /vms`."""

    def __init__(self, vm_list: VmListStandIn):
        """Creates the route."""
        self.vm_list = vm_list

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the list as it was before the lag."""
        self.vm_list.reads += 1
        lag_s = self.vm_list.faults.get("lag_s", self.vm_list.config.lag_s)
        resp.media = {"vms": self.vm_list.vms(float(lag_s))}

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Registers or changes one VM.

        Raises:
            HTTPBadRequest: The role or the state is unknown.
        """
        body = req.media
        state = body.get("state", "live")
        if body.get("role") not in ROLES or state not in STATES:
            raise falcon.HTTPBadRequest(
                description=f"role is one of {ROLES}, state one of {STATES}"
            )
        self.vm_list.register(
            body["address"], body.get("zone", ""), body["role"], state
        )
        resp.media = {}


if __name__ == "__main__":
    run_main(VmListStandIn)
