"""Measures how long it takes to detect a silent upstream connection.

All connections open at two engines stop transferring data; new ones work. It
prints the longest gap that the caller of a running stream sees, the delay of a
running answer that is not streamed, and the time to the first token of a
request sent on an idle connection, over `ROUNDS` rounds.
"""

import json
import time

import gevent
from load import connect, request_bytes
from real_node import STARTUP_S, real_nodes

ROUNDS = 5
WORDS = 60
STEP_MS = 20.0
WARM_UP_REQUESTS = 40
TOKEN_GAP_LIMIT_S = 1.0
"""Limit of the router for the gap between tokens at this pace."""
SWEEP_INTERVAL_S = 0.1
RECONNECT_ALLOWANCE_S = 0.2
"""Allowance for the retry on a new connection."""
TARGET_MS = (
    TOKEN_GAP_LIMIT_S + SWEEP_INTERVAL_S + RECONNECT_ALLOWANCE_S
) * 1_000


def time_request(
    address: str, stream: bool, words: int = WORDS
) -> dict[str, float]:
    """Sends a request; returns first token, longest gap and duration in ms.

    Raises:
        RuntimeError: The answer was cut or is an error.
    """
    raw = request_bytes("brisa@1", words, time.monotonic_ns())
    if not stream:
        head, _, body = raw.partition(b"\r\n\r\n")
        body = body.replace(b'"stream": true', b'"stream": null')
        raw = head + b"\r\n\r\n" + body
    sock = connect(address)
    start = last = time.perf_counter()
    sock.sendall(raw)
    first = longest_s = 0.0
    data = b""
    end = b"0\r\n\r\n" if stream else b"}"
    while not data.endswith(end):
        chunk = sock.recv(65_536)
        now = time.perf_counter()
        if not chunk:
            raise RuntimeError(f"the answer was cut: {data[-200:]!r}")
        if first:
            longest_s = max(longest_s, now - last)
        first = first or now - start
        last, data = now, data + chunk
    sock.close()
    if b'"error"' in data:
        raise RuntimeError(f"the answer failed: {data[-300:]!r}")
    return {
        "first": first * 1e3,
        "longest": longest_s * 1e3,
        "whole": (last - start) * 1e3,
    }


def main() -> None:
    """Prints the largest value of each case over all rounds."""
    pace = {"step_ms": STEP_MS, "step_per_run_ms": 0.0, "tick_ms": 1.0}
    with real_nodes(2, pace) as (_, node):
        gevent.sleep(STARTUP_S)
        warm_up_tasks = [
            gevent.spawn(time_request, node.address, True)
            for _ in range(WARM_UP_REQUESTS)
        ]
        gevent.joinall(warm_up_tasks, raise_error=True)
        normal_ms = time_request(node.address, False)["whole"]
        longest_gaps, delays, idle_first_token_ms = [], [], []
        for _ in range(ROUNDS):
            for stream in (True, False):
                job = gevent.spawn(time_request, node.address, stream)
                gevent.sleep(WORDS * STEP_MS / 2_000)
                node.silence_connections()
                answer = job.get()
                if stream:
                    longest_gaps.append(answer["longest"])
                else:
                    delays.append(answer["whole"] - normal_ms)
            refill_tasks = [
                gevent.spawn(time_request, node.address, True) for _ in range(8)
            ]
            gevent.joinall(refill_tasks, raise_error=True)
            node.silence_connections()
            idle_first_token_ms.append(
                time_request(node.address, True)["first"]
            )
    figures = {
        "stream_longest_wait_ms": longest_gaps,
        "whole_answer_later_ms": delays,
        "idle_first_token_ms": idle_first_token_ms,
    }
    worst = {name: round(max(values)) for name, values in figures.items()}
    print(json.dumps({**worst, "target_ms": round(TARGET_MS)}))


if __name__ == "__main__":
    main()
