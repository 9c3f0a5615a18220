"""Polls the VM list and keeps its last answer."""

from collections import OrderedDict

from result import Ok

from amaranthlug.coordination.platform import VmEntry, VmList
from amaranthlug.coordination.timers import TimerService

POLL_S = 2.0
"""Period of the VM list, in seconds; a departing upstream must get no new
work after 3 s, and the list itself lags."""

VANISHED_BOUND = 10_000
"""Upstreams remembered as vanished; the oldest is forgotten beyond, years of
failures at 25 a day."""

ABSENT_S = 30.0
"""Seconds that an address must be missing before it counts as gone, since the
list shows a new VM late."""


class VmWatch:
    """The VM list as last read; kept while the list is out."""

    def __init__(
        self, vm_list: VmList | None, timers: TimerService, own_address: str
    ):
        """Takes the list, None for a deployment without one."""
        self.vm_list = vm_list
        self.own_address = own_address
        self.timers = timers
        self.vms: dict[str, VmEntry] = {}
        self.absent_since: dict[str, float] = {}
        self.vanished: OrderedDict[str, None] = OrderedDict()
        self.departing: frozenset[str] = frozenset()

    def start(self) -> None:
        """Reads the list and subscribes the poll to the timer service.

        Without the first read, a new node would send work to departing
        upstreams until the first period has passed.
        """
        if self.vm_list is not None:
            self.poll()
            self.timers.every("vm_list", POLL_S, self.poll)

    def poll(self) -> None:
        """Reads the list; an error keeps the last answer."""
        if self.vm_list is None:
            return
        answer = self.vm_list.list()
        if not isinstance(answer, Ok):
            return
        before = self.vms
        self.vms = {vm.address: vm for vm in answer.ok_value}
        for address in sorted(before.keys() - self.vms.keys()):
            self.absent_since.setdefault(address, self.timers.now())
            if before[address].role != "entry":
                self.vanished[address] = None
        for address in self.vms:
            self.absent_since.pop(address, None)
            self.vanished.pop(address, None)
        while len(self.vanished) > VANISHED_BOUND:
            self.vanished.popitem(last=False)
        # A VM that vanished from the list gets no new work at once: another
        # upstream serves, whereas a wrong guess about a node costs leases.
        self.departing = frozenset(self.vanished) | {
            vm.address
            for vm in self.vms.values()
            if vm.role != "entry" and vm.state != "live"
        }

    def is_gone(self, address: str) -> bool:
        """Tells whether the list shows a VM gone.

        An address that is missing counts as gone only after `ABSENT_S`, and
        only in a list that has this node itself: an empty or foreign list
        would show the whole fleet dead.
        """
        vm = self.vms.get(address)
        if vm is not None:
            return vm.state == "gone"
        if self.own_address not in self.vms:
            return False
        since = self.absent_since.setdefault(address, self.timers.now())
        return self.timers.now() - since >= ABSENT_S

    def is_leaving(self, address: str) -> bool:
        """Tells whether the list shows a VM leaving."""
        vm = self.vms.get(address)
        return vm is not None and vm.state == "leaving"

    def live_entries(self) -> list[str]:
        """Returns addresses of live entry VMs, for joining."""
        return [
            vm.address
            for vm in self.vms.values()
            if vm.role == "entry" and vm.state == "live"
        ]

    def departing_upstreams(self) -> frozenset[str]:
        """Returns addresses of upstream VMs that leave or are gone."""
        return self.departing
