"""Benchmark of the request path: `make bench`, about a minute.

It starts stand-ins, three nodes and load processes on loopback and sends load
to one of the nodes. It prints the time to first token that the router adds,
tokens relayed per second and per CPU second, the gap between reads of a caller,
and resident memory. `--path` measures the request path alone with in-memory
collaborators.
"""

import contextlib
import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import click
from processes import Child, start_engine, start_script
from real_node import STARTUP_S, VERSION, real_nodes

REQUESTS_PER_S = 40.0
RATE_DURATION_S = 15.0
STREAMS = 500
STREAMS_DURATION_S = 10.0
SATURATING_STREAMS = 999
LOAD_PROCESSES = 3
TARGETS = {
    "added_first_token_p95_ms": 3.0,
    "tokens_per_cpu_s": 40_000,
}


@contextlib.contextmanager
def start_router(
    engines: int, pace: dict[str, float], use_fleet: bool
) -> Iterator[tuple[list[str], Any]]:
    """Runs engines and a router; yields engine addresses and the router."""
    if use_fleet:
        with real_nodes(engines, pace) as (addresses, node):
            time.sleep(STARTUP_S)
            yield addresses, node
        return
    engine_processes = [start_engine(VERSION, pace) for _ in range(engines)]
    addresses = [address for _, address in engine_processes]
    router = start_script("path_node.py", *addresses)
    try:
        router.address = router.read()["address"]
        yield addresses, router
    finally:
        stop_all([router, *[engine for engine, _ in engine_processes]])


def percentile(values: list[float], share: float) -> float:
    """Returns the quantile `share` of values, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_first_token(
    use_fleet: bool, step_ms: float = 1.0
) -> dict[str, float]:
    """Measures the time to the first token with and without the router.

    A request takes 20 decode steps. With long steps, requests are still open
    when their open bills are sent, and the CPU time includes that work.
    """
    pace = {"step_ms": step_ms, "step_per_run_ms": 0.0, "tick_ms": 1.0}
    with start_router(1, pace, use_fleet) as (engines, router):
        addresses = [engines[0], router.address]
        load = start_script(
            "load.py",
            "rate",
            *addresses,
            str(REQUESTS_PER_S),
            str(RATE_DURATION_S),
        )
        cpu_before = router.cpu_s()
        direct, routed = load.read()
        cpu_s = router.cpu_s() - cpu_before
        load.stop()
    result = {
        "failed": routed["failed"] + direct["failed"],
        "cpu_ms_per_request": round(
            1_000 * cpu_s / (REQUESTS_PER_S * RATE_DURATION_S), 2
        ),
    }
    for share in (0.5, 0.95, 0.99):
        name = f"p{round(share * 100)}_ms"
        direct_ms = percentile(direct["first_ms"], share)
        routed_ms = percentile(routed["first_ms"], share)
        result[f"direct_first_token_{name}"] = round(direct_ms, 2)
        result[f"router_first_token_{name}"] = round(routed_ms, 2)
        result[f"added_first_token_{name}"] = round(routed_ms - direct_ms, 2)
    return result


def measure_relay(
    use_fleet: bool, streams: int, pace: dict[str, float]
) -> dict[str, float]:
    """Measures relayed tokens, CPU time and memory with many open streams."""
    with start_router(4, pace, use_fleet) as (_, router):
        at_rest = router.memory_mb()
        loads = [
            start_script(
                "load.py",
                "streams",
                router.address,
                str(streams // LOAD_PROCESSES),
                str(STREAMS_DURATION_S),
            )
            for _ in range(LOAD_PROCESSES)
        ]
        for load in loads:
            load.read()
        cpu_before = router.cpu_s()
        results = [load.read() for load in loads]
        cpu_s = router.cpu_s() - cpu_before
        memory = router.memory_mb()
        stop_all(loads)
    rate = sum(result["tokens_per_s"] for result in results)
    cores = cpu_s / (STREAMS_DURATION_S * 0.5)
    return {
        "streams": streams,
        "tokens_per_s": round(rate),
        "cores_used": round(cores, 2),
        "gap_p95_ms": max(result["gap_p95_ms"] for result in results),
        "tokens_per_cpu_s": round(rate / cores),
        "memory_at_rest_mb": round(at_rest, 1),
        "memory_with_streams_mb": round(memory, 1),
    }


def stop_all(children: list[Child]) -> None:
    """Stops processes."""
    for child in children:
        child.stop()


@click.command()
@click.argument("parts", nargs=-1)
@click.option("--path", is_flag=True, help="Request path alone, no fleet.")
def main(parts: tuple[str, ...], path: bool) -> None:
    """Prints results as JSON lines; PARTS: first, long, steady, full."""
    steady = {"step_ms": 25.0, "step_per_run_ms": 0.0, "slots": 1_000}
    full = {"step_ms": 20.0, "step_per_run_ms": 0.0, "slots": 1_000}
    runs: dict[str, Callable[[bool], dict[str, float]]] = {
        "first": measure_first_token,
        "long": lambda use_fleet: measure_first_token(use_fleet, step_ms=20.0),
        "steady": lambda use_fleet: measure_relay(use_fleet, STREAMS, steady),
        "full": lambda use_fleet: measure_relay(
            use_fleet, SATURATING_STREAMS, full
        ),
    }
    router = "path" if path else "node"
    for part in parts or tuple(runs):
        figures = runs[part](not path)
        print(json.dumps({"router": router, "part": part, **figures}))
    print(json.dumps({"targets": TARGETS}))


if __name__ == "__main__":
    main()
