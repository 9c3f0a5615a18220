"""Polls the VM list and keeps the last successful answer."""

from collections import OrderedDict

from result import Ok

from amaranthlug.coordination.platform import VmEntry, VmList
from amaranthlug.coordination.timers import TimerService

POLL_INTERVAL_S = 2.0
"""Polling interval of the VM list, in seconds. A departing upstream must get no
new work after 3 s, and the list itself lags."""

MAX_VANISHED = 10_000
"""Maximum number of recorded upstreams that vanished from the list; the oldest
is dropped above it. It suffices for more than a year at 25 failures a day."""

GONE_AFTER_S = 30.0
"""Time for which an address must be missing before it counts as gone, in
seconds, since the list includes a new VM late."""


class VmWatch:
    """The VM list as last read, which is kept during an outage of the list."""

    def __init__(
        self, vm_list: VmList | None, timers: TimerService, own_address: str
    ):
        """Creates a watch; `vm_list` is None for a deployment without one."""
        self.vm_list = vm_list
        self.own_address = own_address
        self.timers = timers
        self.vms: dict[str, VmEntry] = {}
        self.absent_since: dict[str, float] = {}
        self.vanished: OrderedDict[str, None] = OrderedDict()
        self.departing: frozenset[str] = frozenset()

    def start(self) -> None:
        """Reads the list and schedules the periodic poll.

        Without the immediate read, a new node would send work to departing
        upstreams until the first poll.
        """
        if self.vm_list is not None:
            self.poll()
            self.timers.every("vm_list", POLL_INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Reads the list; on an error the last answer is kept."""
        if self.vm_list is None:
            return
        answer = self.vm_list.list()
        if not isinstance(answer, Ok):
            return
        previous = self.vms
        self.vms = {vm.address: vm for vm in answer.ok_value}
        for address in sorted(previous.keys() - self.vms.keys()):
            self.absent_since.setdefault(address, self.timers.now())
            if previous[address].role != "entry":
                self.vanished[address] = None
        for address in self.vms:
            self.absent_since.pop(address, None)
            self.vanished.pop(address, None)
        while len(self.vanished) > MAX_VANISHED:
            self.vanished.popitem(last=False)
        # An upstream that vanished gets no new work from now on, since another
        # upstream can serve. A node only counts as gone after `GONE_AFTER_S`,
        # since a wrong conclusion would cost leases.
        self.departing = frozenset(self.vanished) | {
            vm.address
            for vm in self.vms.values()
            if vm.role != "entry" and vm.state != "live"
        }

    def is_gone(self, address: str) -> bool:
        """Returns whether a VM is gone according to the list.

        A missing address counts as gone only after `GONE_AFTER_S` and only if
        the list includes this node itself: otherwise an empty list, or that of
        another deployment, would show the whole fleet as gone.
        """
        vm = self.vms.get(address)
        if vm is not None:
            return vm.state == "gone"
        if self.own_address not in self.vms:
            return False
        missing_since = self.absent_since.setdefault(address, self.timers.now())
        return self.timers.now() - missing_since >= GONE_AFTER_S

    def is_leaving(self, address: str) -> bool:
        """Returns whether the list shows a VM as leaving."""
        vm = self.vms.get(address)
        return vm is not None and vm.state == "leaving"

    def live_entries(self) -> list[str]:
        """Returns addresses of live entry VMs, which a node can join."""
        return [
            vm.address
            for vm in self.vms.values()
            if vm.role == "entry" and vm.state == "live"
        ]

    def departing_upstreams(self) -> frozenset[str]:
        """Returns addresses of upstream VMs that are leaving or gone."""
        return self.departing
