"""Injects the faults of a soak plan into a running fleet."""

import collections
import dataclasses
import signal
import time
from collections.abc import Callable

import gevent

from amaranthlug.state.records import Record, Withdrawal
from amaranthlug_standins.builders import make_publication
from amaranthlug_standins.fleet import Fleet, FleetError
from amaranthlug_standins.fleet_parts import RunningNode, RunningStandIn
from amaranthlug_standins.http_json import CONNECTION_ERRORS
from amaranthlug_standins.proxy_rules import FaultRule
from amaranthlug_standins.run_history import (
    DEPART,
    EVENT,
    EXIT,
    FAULT,
    SHUTDOWN,
    START,
    Act,
)
from amaranthlug_standins.soak_plan import CONTROL_FAULTS, PlannedFault
from amaranthlug_standins.trial import Trial

TAKEOVER_S = 8.0
"""Time in which other nodes surely take over a lost node's slots and bills."""

VM_LIST_DELAY_S = 2.0
"""Time until the VM list shows that a VM is gone."""

EXIT_LIMIT_S = 40.0
"""Longest graceful shutdown; a longer one is a violation."""

RACE_INTERVAL_S = 0.5

ZONE_CUT_EXTRA_S = 4.0
"""Added so that a cut always lasts longer than slot promises (4 s) and often
longer than the confirmation limit (6 s)."""


@dataclasses.dataclass
class FaultInjection:
    """Carries out planned faults and records them as acts.

    Attributes:
        rules: Proxy rules of the active faults, by identity of the fault.
    """

    trial: Trial
    rules: dict[int, list[FaultRule]] = dataclasses.field(default_factory=dict)

    @property
    def fleet(self) -> Fleet:
        """Returns the fleet of the trial."""
        return self.trial.fleet

    def run(self, fault: PlannedFault) -> None:
        """Carries out a fault at its start time and records its end."""
        gevent.sleep(fault.at_s)
        kind = FAULT if fault.kind in CONTROL_FAULTS else EVENT
        act = Act(at=time.time(), kind=kind, detail=fault.kind)
        act.until = act.at + EXIT_LIMIT_S
        self.trial.acts.append(act)
        method_name = "do_" + fault.kind.replace("-", "_")
        inject: Callable[[PlannedFault, Act], None] = getattr(self, method_name)
        inject(fault, act)
        act.until = time.time()

    def record_act(self, kind: str, target: str, detail: str = "") -> None:
        """Records an act at the current time."""
        act = Act(at=time.time(), kind=kind, target=target, detail=detail)
        self.trial.acts.append(act)

    def hold_rules(
        self, fault: PlannedFault, *rules: FaultRule, extra_s: float = 0.0
    ) -> None:
        """Applies rules for the duration of a fault plus `extra_s`."""
        self.rules[id(fault)] = list(rules)
        self.apply_rules()
        gevent.sleep(fault.length_s + extra_s)
        del self.rules[id(fault)]
        self.apply_rules()

    def apply_rules(self) -> None:
        """Sends the rules of all active faults to the proxy."""
        assert self.fleet.fault_links is not None
        self.fleet.fault_links.set_rules(
            [rule for rules in self.rules.values() for rule in rules]
        )

    def pick_node(self, fault: PlannedFault) -> RunningNode:
        """Returns the node that a fault selects."""
        return self.fleet.nodes[fault.index % len(self.fleet.nodes)]

    def pick_engine(self, fault: PlannedFault) -> RunningStandIn:
        """Returns the engine that a fault selects."""
        return self.fleet.engines[fault.index % len(self.fleet.engines)]

    def set_vm(self, node: RunningNode, state: str) -> None:
        """Sets a node's state in the VM list."""
        settings = node.settings
        self.fleet.register_vm(settings.address, settings.zone, "entry", state)

    def replace_node(self, node: RunningNode) -> None:
        """Starts a new node process at the address of an ended one."""
        name = f"{node.settings.name}-next"
        settings = dataclasses.replace(node.settings, name=name)
        self.set_vm(node, "live")
        self.record_act(START, node.address)
        started = self.fleet.start_node(settings)
        self.fleet.nodes[self.fleet.nodes.index(node)] = started

    def do_node_killed(self, fault: PlannedFault, act: Act) -> None:
        """Kills a node, marks its VM as gone and perhaps replaces it."""
        node = self.pick_node(fault)
        act.target = node.address
        node.kill()
        gevent.sleep(VM_LIST_DELAY_S)
        self.set_vm(node, "gone")
        gevent.sleep(fault.length_s)
        if fault.share < 0.5:
            self.replace_node(node)
        gevent.sleep(max(0.0, TAKEOVER_S - VM_LIST_DELAY_S - fault.length_s))

    def do_node_paused(self, fault: PlannedFault, act: Act) -> None:
        """Suspends a node process, which gets no notice of it."""
        node = self.pick_node(fault)
        act.target = node.address
        if node.child is None or not node.child.running():
            return
        node.child.process.send_signal(signal.SIGSTOP)
        gevent.sleep(fault.length_s * 2)
        if node.child.running():
            node.child.process.send_signal(signal.SIGCONT)

    def do_graceful_shutdown(self, fault: PlannedFault, act: Act) -> None:
        """Shuts a node down gracefully and waits for its exit."""
        node = self.pick_node(fault)
        if node.child is None or not node.child.running():
            return
        act.target = node.address
        self.record_act(SHUTDOWN, node.address)
        self.set_vm(node, "leaving")
        node.stop()
        with gevent.Timeout(EXIT_LIMIT_S, False):
            code = node.child.process.wait()
            self.record_act(EXIT, node.address, str(code))
        self.set_vm(node, "gone")

    def do_zone_cut(self, fault: PlannedFault, act: Act) -> None:
        """Cuts a zone off from the others, in one or both directions."""
        zones = self.fleet.deployment.zones
        zone = zones[fault.index % len(zones)]
        act.target = zone
        cut = "both" if fault.share < 0.7 else "to"
        rules = []
        for other in zones:
            if other == zone:
                continue
            inside, outside = f"node:*@{zone}", f"node:*@{other}"
            rules.append(FaultRule(source=inside, destination=outside, cut=cut))
            rules.append(
                FaultRule(source=outside, destination=inside, cut="both")
            )
        if fault.share < 0.5:
            for name in ("log", "vm_list"):
                rules.append(
                    FaultRule(
                        source=f"node:*@{zone}", destination=name, cut="both"
                    )
                )
        self.hold_rules(fault, *rules, extra_s=ZONE_CUT_EXTRA_S)

    def do_log_outage(self, fault: PlannedFault, act: Act) -> None:
        """Makes the log unavailable."""
        log = self.fleet.parts["log"]
        log.fault(outage=True)
        gevent.sleep(fault.length_s + 2)
        log.fault(outage=False)

    def do_log_answers_lost(self, fault: PlannedFault, act: Act) -> None:
        """Drops some answers of the log after it has served the request."""
        rule = FaultRule(source="node:*", destination="log", lose_answers=0.4)
        self.hold_rules(fault, rule)

    def do_messages_duplicated(self, fault: PlannedFault, act: Act) -> None:
        """Delivers some messages to peers and to the log twice."""
        self.hold_rules(
            fault,
            FaultRule(source="node:*", destination="node:*", duplicate=0.5),
            FaultRule(source="node:*", destination="log", duplicate=0.5),
        )

    def do_connections_silent(self, fault: PlannedFault, act: Act) -> None:
        """Makes open connections to upstreams, peers or the log go silent."""
        assert self.fleet.fault_links is not None
        pairs = (("nodes", "upstream:*"), ("node:*", "node:*"))
        directions = (*pairs, ("node:*", "log"))
        source, destination = directions[fault.index % len(directions)]
        act.target = destination
        self.fleet.fault_links.silence_open(source, destination)
        gevent.sleep(fault.length_s)

    def do_streams_cut(self, fault: PlannedFault, act: Act) -> None:
        """Resets connections of one engine, or of all, in mid-stream."""
        name = f"upstream:{self.pick_engine(fault).name}@*"
        act.target = name if fault.share < 0.6 else "upstream:*"
        reset_after_bytes = 400 + fault.index * 60
        rule = FaultRule(
            source="nodes",
            destination=act.target,
            reset_after_bytes=reset_after_bytes,
        )
        self.hold_rules(fault, rule)

    def do_service_answers_lost(self, fault: PlannedFault, act: Act) -> None:
        """Drops some answers of plain services after the call took effect."""
        pool = self.fleet.services[0].name.rpartition("-")[0]
        rule = FaultRule(
            source="nodes", destination=f"upstream:{pool}-*", lose_answers=0.3
        )
        self.hold_rules(fault, rule)

    def do_engine_crash(self, fault: PlannedFault, act: Act) -> None:
        """Crashes an engine, which restarts afterwards."""
        engine = self.pick_engine(fault)
        act.target = engine.published_address
        engine.fault(crash=True, restart_after_s=fault.length_s)
        gevent.sleep(fault.length_s)

    def do_peers_slow(self, fault: PlannedFault, act: Act) -> None:
        """Delays the messages between nodes."""
        rule = FaultRule(
            source="node:*", destination="node:*", delay_ms=fault.share * 250
        )
        self.hold_rules(fault, rule)

    def do_upstream_departs(self, fault: PlannedFault, act: Act) -> None:
        """Marks an engine as leaving in the VM list."""
        engine = self.pick_engine(fault)
        act.target = engine.published_address
        self.fleet.register_vm(
            engine.published_address, "", "engine", "leaving"
        )
        self.record_act(DEPART, engine.published_address)
        gevent.sleep(fault.length_s)

    def do_operator_race(self, fault: PlannedFault, act: Act) -> None:
        """Makes two operators publish against the same base revision."""
        deadline = time.monotonic() + fault.length_s
        names = list(self.fleet.deployment.catalog.organisations)
        rounds = 0
        while time.monotonic() < deadline:
            rounds += 1
            base = self.read_revision()
            for offset, operator in enumerate(("ops-north", "ops-south")):
                path = f"organisations/{names[(rounds + offset) % len(names)]}"
                body = dict(self.fleet.published_parts()[path])
                body["limits"] = {**body["limits"], "streams": 60 + rounds}
                if base is not None:
                    self.try_append(
                        make_publication(
                            {path: body}, base=base, operator=operator
                        )
                    )
            gevent.sleep(RACE_INTERVAL_S)

    def read_revision(self) -> int | None:
        """Returns the revision of the first node that answers, if any."""
        for node in self.fleet.nodes:
            if node.child is not None and node.child.running():
                status = node.status()
                if status is not None:
                    return int(status["revision"])
        return None

    def do_withdrawal(self, fault: PlannedFault, act: Act) -> None:
        """Withdraws the version with the most answered calls."""
        answers = collections.Counter(
            call.version for call in self.trial.load.calls if call.cost >= 0
        )
        version = answers.most_common(1)[0][0] if answers else "swift@3"
        act.target = version
        record = Withdrawal(
            id=f"withdrawal-{version}-0",
            at=time.time(),
            version=version,
            epoch=0,
            reason="operator",
            operator="ops-north",
        )
        while not self.try_append(record):
            gevent.sleep(0.5)

    def try_append(self, record: Record) -> bool:
        """Appends a record; returns False if the log is unavailable."""
        try:
            self.fleet.append(record)
        except (FleetError, *CONNECTION_ERRORS):
            return False
        return True
