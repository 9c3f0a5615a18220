"""Brings the faults of a soak plan about on a running fleet."""

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

GONE_S = 8.0
"""Seconds until a lost node's slots and bills have certainly moved."""

LIST_LAG_S = 2.0
"""Seconds until the VM list shows that a VM is gone."""

EXIT_LIMIT_S = 40.0
"""Longest graceful shutdown; more is a violation."""

RACE_ROUND_S = 0.5

ZONE_CUT_EXTRA_S = 4.0
"""A cut must outlast promises (4 s) and often the confirmation limit (6 s)."""


@dataclasses.dataclass
class FaultInjection:
    """Carries out planned faults and records them as acts."""

    trial: Trial
    rules: dict[int, list[FaultRule]] = dataclasses.field(default_factory=dict)

    @property
    def fleet(self) -> Fleet:
        """Returns the fleet of the trial."""
        return self.trial.fleet

    def run(self, fault: PlannedFault) -> None:
        """Brings one fault about at its time and ends it."""
        gevent.sleep(fault.at_s)
        kind = FAULT if fault.kind in CONTROL_FAULTS else EVENT
        act = Act(at=time.time(), kind=kind, detail=fault.kind)
        act.until = act.at + EXIT_LIMIT_S
        self.trial.acts.append(act)
        name = "do_" + fault.kind.replace("-", "_")
        form: Callable[[PlannedFault, Act], None] = getattr(self, name)
        form(fault, act)
        act.until = time.time()

    def note(self, kind: str, target: str, detail: str = "") -> None:
        """Records an act of this moment."""
        act = Act(at=time.time(), kind=kind, target=target, detail=detail)
        self.trial.acts.append(act)

    def hold_rules(
        self, fault: PlannedFault, *rules: FaultRule, extra_s: float = 0.0
    ) -> None:
        """Keeps rules in force for the length of a fault."""
        self.rules[id(fault)] = list(rules)
        self.apply_rules()
        gevent.sleep(fault.length_s + extra_s)
        del self.rules[id(fault)]
        self.apply_rules()

    def apply_rules(self) -> None:
        """Sends the rules of all faults to the proxy."""
        assert self.fleet.fault_links is not None
        self.fleet.fault_links.set_rules(
            [rule for rules in self.rules.values() for rule in rules]
        )

    def node(self, fault: PlannedFault) -> RunningNode:
        """Returns the node of a fault."""
        return self.fleet.nodes[fault.index % len(self.fleet.nodes)]

    def engine(self, fault: PlannedFault) -> RunningStandIn:
        """Returns the engine of a fault."""
        return self.fleet.engines[fault.index % len(self.fleet.engines)]

    def set_vm(self, node: RunningNode, state: str) -> None:
        """Changes a node's state on the VM list."""
        settings = node.settings
        self.fleet.register_vm(settings.address, settings.zone, "entry", state)

    def replace_node(self, node: RunningNode) -> None:
        """Starts another process at a node's address."""
        name = f"{node.settings.name}-next"
        settings = dataclasses.replace(node.settings, name=name)
        self.set_vm(node, "live")
        self.note(START, node.address)
        started = self.fleet.start_node(settings)
        self.fleet.nodes[self.fleet.nodes.index(node)] = started

    def do_node_killed(self, fault: PlannedFault, act: Act) -> None:
        """Kills a node; the VM list shows it, and another takes its place."""
        node = self.node(fault)
        act.target = node.address
        node.kill()
        gevent.sleep(LIST_LAG_S)
        self.set_vm(node, "gone")
        gevent.sleep(fault.length_s)
        if fault.share < 0.5:
            self.replace_node(node)
        gevent.sleep(max(0.0, GONE_S - LIST_LAG_S - fault.length_s))

    def do_node_paused(self, fault: PlannedFault, act: Act) -> None:
        """Stops a node's process for a while; it does not notice."""
        node = self.node(fault)
        act.target = node.address
        if node.child is None or not node.child.running():
            return
        node.child.process.send_signal(signal.SIGSTOP)
        gevent.sleep(fault.length_s * 2)
        if node.child.running():
            node.child.process.send_signal(signal.SIGCONT)

    def do_graceful_shutdown(self, fault: PlannedFault, act: Act) -> None:
        """Asks a node to leave and waits for its exit."""
        node = self.node(fault)
        if node.child is None or not node.child.running():
            return
        act.target = node.address
        self.note(SHUTDOWN, node.address)
        self.set_vm(node, "leaving")
        node.stop()
        with gevent.Timeout(EXIT_LIMIT_S, False):
            code = node.child.process.wait()
            self.note(EXIT, node.address, str(code))
        self.set_vm(node, "gone")

    def do_zone_cut(self, fault: PlannedFault, act: Act) -> None:
        """Cuts a zone from the others, in one or both directions."""
        zones = self.fleet.deployment.zones
        zone = zones[fault.index % len(zones)]
        act.target = zone
        cut = "both" if fault.share < 0.7 else "to"
        rules = []
        for other in zones:
            if other == zone:
                continue
            here, there = f"node:*@{zone}", f"node:*@{other}"
            rules.append(FaultRule(source=here, destination=there, cut=cut))
            rules.append(FaultRule(source=there, destination=here, cut="both"))
        if fault.share < 0.5:
            for name in ("log", "vm_list"):
                rules.append(
                    FaultRule(
                        source=f"node:*@{zone}", destination=name, cut="both"
                    )
                )
        self.hold_rules(fault, *rules, extra_s=ZONE_CUT_EXTRA_S)

    def do_log_outage(self, fault: PlannedFault, act: Act) -> None:
        """Takes the log out."""
        log = self.fleet.parts["log"]
        log.fault(outage=True)
        gevent.sleep(fault.length_s + 2)
        log.fault(outage=False)

    def do_log_answers_lost(self, fault: PlannedFault, act: Act) -> None:
        """Loses answers of the log after the records were appended."""
        rule = FaultRule(source="node:*", destination="log", lose_answers=0.4)
        self.hold_rules(fault, rule)

    def do_messages_duplicated(self, fault: PlannedFault, act: Act) -> None:
        """Delivers messages to peers and to the log twice."""
        self.hold_rules(
            fault,
            FaultRule(source="node:*", destination="node:*", duplicate=0.5),
            FaultRule(source="node:*", destination="log", duplicate=0.5),
        )

    def do_connections_silent(self, fault: PlannedFault, act: Act) -> None:
        """Silences open connections to upstreams, peers or the log."""
        assert self.fleet.fault_links is not None
        pairs = (("nodes", "upstream:*"), ("node:*", "node:*"))
        places = (*pairs, ("node:*", "log"))
        source, destination = places[fault.index % len(places)]
        act.target = destination
        self.fleet.fault_links.silence_open(source, destination)
        gevent.sleep(fault.length_s)

    def do_streams_cut(self, fault: PlannedFault, act: Act) -> None:
        """Breaks streams of one engine, or of all, in their middle."""
        name = f"upstream:{self.engine(fault).name}@*"
        act.target = name if fault.share < 0.6 else "upstream:*"
        size = 400 + fault.index * 60
        rule = FaultRule(
            source="nodes", destination=act.target, reset_after_bytes=size
        )
        self.hold_rules(fault, rule)

    def do_service_answers_lost(self, fault: PlannedFault, act: Act) -> None:
        """Loses answers of plain services after the call took effect."""
        pool = self.fleet.services[0].name.rpartition("-")[0]
        rule = FaultRule(
            source="nodes", destination=f"upstream:{pool}-*", lose_answers=0.3
        )
        self.hold_rules(fault, rule)

    def do_engine_crash(self, fault: PlannedFault, act: Act) -> None:
        """Crashes an engine, which comes back."""
        engine = self.engine(fault)
        act.target = engine.published_address
        engine.fault(crash=True, restart_after_s=fault.length_s)
        gevent.sleep(fault.length_s)

    def do_peers_slow(self, fault: PlannedFault, act: Act) -> None:
        """Delays what nodes say to each other."""
        rule = FaultRule(
            source="node:*", destination="node:*", delay_ms=fault.share * 250
        )
        self.hold_rules(fault, rule)

    def do_upstream_departs(self, fault: PlannedFault, act: Act) -> None:
        """Shows an engine as leaving on the VM list."""
        engine = self.engine(fault)
        act.target = engine.published_address
        self.fleet.register_vm(
            engine.published_address, "", "engine", "leaving"
        )
        self.note(DEPART, engine.published_address)
        gevent.sleep(fault.length_s)

    def do_operator_race(self, fault: PlannedFault, act: Act) -> None:
        """Lets two operators publish against the same revision."""
        ends = time.monotonic() + fault.length_s
        names = list(self.fleet.deployment.catalog.organisations)
        rounds = 0
        while time.monotonic() < ends:
            rounds += 1
            base = self.revision()
            for place, operator in enumerate(("ops-north", "ops-south")):
                path = f"organisations/{names[(rounds + place) % len(names)]}"
                body = dict(self.fleet.published_parts()[path])
                body["limits"] = {**body["limits"], "streams": 60 + rounds}
                if base is not None:
                    self.append(
                        make_publication(
                            {path: body}, base=base, operator=operator
                        )
                    )
            gevent.sleep(RACE_ROUND_S)

    def revision(self) -> int | None:
        """Returns the revision that some node has."""
        for node in self.fleet.nodes:
            if node.child is not None and node.child.running():
                status = node.status()
                if status is not None:
                    return int(status["revision"])
        return None

    def do_withdrawal(self, fault: PlannedFault, act: Act) -> None:
        """Withdraws the version in most use."""
        used = collections.Counter(
            call.version for call in self.trial.load.calls if call.cost >= 0
        )
        version = used.most_common(1)[0][0] if used else "swift@3"
        act.target = version
        record = Withdrawal(
            id=f"withdrawal-{version}-0",
            at=time.time(),
            version=version,
            epoch=0,
            reason="operator",
            operator="ops-north",
        )
        while not self.append(record):
            gevent.sleep(0.5)

    def append(self, record: Record) -> bool:
        """Appends a record; False while the log is out."""
        try:
            self.fleet.append(record)
        except (FleetError, *CONNECTION_ERRORS):
            return False
        return True
