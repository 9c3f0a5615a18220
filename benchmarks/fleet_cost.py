"""Coordination cost per node: `python benchmarks/fleet_cost.py 8 16 32`.

Runs a fleet of each given size on loopback, without a request path. After a
start-up time it measures for a fixed time and prints bytes and messages a
second, CPU time, the members that a node sees live, and the distribution of
the slots.
"""

import json
import sys
import time

from processes import Child, start_script

STARTUP_S = 30.0
"""Time for nodes to join and to distribute the slots."""

MEASURE_DURATION_S = 30.0
ZONES = ("a", "b", "c", "d")


def read_report(node: Child) -> dict:
    """Requests and returns the report of a node."""
    assert node.process.stdin is not None
    node.process.stdin.write("\n")
    node.process.stdin.flush()
    return node.read()


def measure(count: int) -> dict[str, float]:
    """Runs a fleet of `count` nodes and returns the results."""
    log = Child(["-m", "amaranthlug_standins.log", "--watch-stdin"])
    nodes: list[Child] = []
    try:
        url = f"http://{log.read()['address']}"
        seeds: list[str] = []
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            node = start_script("fleet_node.py", zone, url, *seeds)
            nodes.append(node)
            seeds = [*seeds, node.read()["address"]][:3]
        time.sleep(STARTUP_S)
        before = [read_report(node)["counters"] for node in nodes]
        cpu = [node.cpu_s() for node in nodes]
        started = time.monotonic()
        time.sleep(MEASURE_DURATION_S)
        reports = [read_report(node) for node in nodes]
        elapsed_s = time.monotonic() - started
        cpu = [node.cpu_s() - c for node, c in zip(nodes, cpu, strict=True)]
        return compute_rates(count, before, reports, cpu, elapsed_s)
    finally:
        for child in [*nodes, log]:
            child.stop()


def compute_rates(count, before, reports, cpu, elapsed_s) -> dict[str, float]:
    """Returns rates per node between two reports, and the state after it."""
    rates: dict[str, float] = {}
    names = ("bytes_sent", "bytes_received", "messages_sent")
    for name in names:
        key = f"control.{name}"
        total = sum(
            r["counters"].get(key, 0) - b.get(key, 0)
            for r, b in zip(reports, before, strict=True)
        )
        rates[f"{name}_per_s"] = round(total / count / elapsed_s, 1)
    slots = [r["slots"] for r in reports]
    return {
        "nodes": count,
        **rates,
        "cpu_percent": round(100 * sum(cpu) / count / elapsed_s, 2),
        "cpu_percent_max": round(100 * max(cpu) / elapsed_s, 2),
        "live_min": min(r["live"] for r in reports),
        "slots_min": min(slots),
        "slots_max": max(slots),
        "slots_held": sum(slots),
        "peak_mb": max(r["peak_mb"] for r in reports),
        "evidence_rows_min": min(r["evidence_rows"] for r in reports),
    }


def main() -> None:
    """Measures each given fleet size."""
    for size in sys.argv[1:] or ["8", "16", "32"]:
        print(json.dumps(measure(int(size))), flush=True)


if __name__ == "__main__":
    main()
