"""Benchmark of the request path: `make bench`, about a minute.

It starts stand-in engines, one router process and load processes on loopback
and prints router-added time to first token, tokens relayed per second and CPU
second, and resident memory.
"""

import contextlib
import json
import sys
from collections.abc import Iterator
from typing import Any

from processes import Child, start_engine, start_script

VERSION = "brisa@1"
RATE = 40.0
RATE_S = 15.0
STREAMS = 500
STREAMS_S = 10.0
SATURATING_STREAMS = 1_500
LOADERS = 3
TARGETS = {
    "added_first_token_p95_ms": 3.0,
    "tokens_per_cpu_s": 40_000,
}


@contextlib.contextmanager
def setup(engines: int, pace: dict[str, float]) -> Iterator[Any]:
    """Runs engines and a router; yields engine addresses and both."""
    started = [start_engine(VERSION, pace) for _ in range(engines)]
    addresses = [address for _, address in started]
    router = start_script("path_node.py", *addresses)
    try:
        yield addresses, router, router.read()["address"]
    finally:
        for child in [router, *[engine for engine, _ in started]]:
            child.stop()


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile, `share` from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def first_token() -> dict[str, float]:
    """Measures the time to the first token with and without the router."""
    pace = {"step_ms": 1.0, "step_per_run_ms": 0.0, "tick_ms": 1.0}
    with setup(1, pace) as (engines, _, address):
        load = start_script(
            "load.py", "rate", engines[0], address, str(RATE), str(RATE_S)
        )
        direct, routed = load.read()
        load.stop()
    result = {"failed": routed["failed"] + direct["failed"]}
    for share in (0.5, 0.95, 0.99):
        name = f"p{round(share * 100)}_ms"
        without = percentile(direct["first_ms"], share)
        through = percentile(routed["first_ms"], share)
        result[f"direct_first_token_{name}"] = round(without, 2)
        result[f"router_first_token_{name}"] = round(through, 2)
        result[f"added_first_token_{name}"] = round(through - without, 2)
    return result


def relay(streams: int, pace: dict[str, float]) -> dict[str, float]:
    """Measures tokens relayed and CPU time with many open streams."""
    with setup(4, pace) as (_, router, address):
        at_rest = router.memory_mb()
        loads = [
            start_script(
                "load.py",
                "streams",
                address,
                str(streams // LOADERS),
                str(STREAMS_S),
            )
            for _ in range(LOADERS)
        ]
        for load in loads:
            load.read()
        before = router.cpu_s()
        rates = [load.read()["tokens_per_s"] for load in loads]
        used = router.cpu_s() - before
        memory = router.memory_mb()
        stop_all(loads)
    rate = sum(rates)
    cores = used / (STREAMS_S * 0.5)
    return {
        "streams": streams,
        "tokens_per_s": round(rate),
        "cores_used": round(cores, 2),
        "tokens_per_cpu_s": round(rate / cores),
        "memory_at_rest_mb": round(at_rest, 1),
        "memory_with_streams_mb": round(memory, 1),
    }


def stop_all(children: list[Child]) -> None:
    """Ends processes."""
    for child in children:
        child.stop()


def main() -> None:
    """Prints all figures as JSON lines."""
    parts = sys.argv[1:] or ["first", "steady", "full"]
    steady = {"step_ms": 25.0, "step_per_run_ms": 0.0, "slots": 1_000}
    full = {"step_ms": 10.0, "step_per_run_ms": 0.0, "slots": 1_000}
    runs = {
        "first": first_token,
        "steady": lambda: relay(STREAMS, steady),
        "full": lambda: relay(SATURATING_STREAMS, full),
    }
    for part in parts:
        print(json.dumps({"part": part, **runs[part]()}), flush=True)
    print(json.dumps({"targets": TARGETS}))


if __name__ == "__main__":
    main()
