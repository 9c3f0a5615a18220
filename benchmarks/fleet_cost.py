"""Cost of the coordination per node: `python benchmarks/fleet_cost.py 8 16 32`.

Each fleet of small nodes runs on loopback for a fixed time without requests
after a time to settle. It prints bytes and messages a second, CPU time, the
members that a node sees live, and how the slots are spread.
"""

import json
import sys
import time

from processes import Child, start_script

SETTLE_S = 30.0
"""Time for joining and the spread of slots, in seconds."""

MEASURE_S = 30.0
ZONES = ("a", "b", "c", "d")


def ask(node: Child) -> dict:
    """Returns the report of a node."""
    assert node.process.stdin is not None
    node.process.stdin.write("\n")
    node.process.stdin.flush()
    return node.read()


def measure(count: int) -> dict[str, float]:
    """Runs a fleet and returns figures per node."""
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
        time.sleep(SETTLE_S)
        before = [ask(node)["counters"] for node in nodes]
        cpu = [node.cpu_s() for node in nodes]
        started = time.monotonic()
        time.sleep(MEASURE_S)
        reports = [ask(node) for node in nodes]
        spent = time.monotonic() - started
        cpu = [node.cpu_s() - c for node, c in zip(nodes, cpu, strict=True)]
        return figures(count, before, reports, cpu, spent)
    finally:
        for child in [*nodes, log]:
            child.stop()


def figures(count, before, reports, cpu, spent) -> dict[str, float]:
    """Returns the means over nodes of the rates between two reports."""
    rates: dict[str, float] = {}
    names = ("bytes_sent", "bytes_received", "messages_sent")
    for name in names:
        key = f"control.{name}"
        total = sum(
            r["counters"].get(key, 0) - b.get(key, 0)
            for r, b in zip(reports, before, strict=True)
        )
        rates[f"{name}_per_s"] = round(total / count / spent, 1)
    slots = [r["slots"] for r in reports]
    return {
        "nodes": count,
        **rates,
        "cpu_percent": round(100 * sum(cpu) / count / spent, 2),
        "cpu_percent_max": round(100 * max(cpu) / spent, 2),
        "live_min": min(r["live"] for r in reports),
        "slots_min": min(slots),
        "slots_max": max(slots),
        "slots_held": sum(slots),
        "peak_mb": max(r["peak_mb"] for r in reports),
        "evidence_rows_min": min(r["evidence_rows"] for r in reports),
    }


def main() -> None:
    """Measures each size given."""
    for text in sys.argv[1:] or ["8", "16", "32"]:
        print(json.dumps(measure(int(text))), flush=True)


if __name__ == "__main__":
    main()
