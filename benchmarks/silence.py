"""Measures how long a silent upstream connection goes unnoticed.

All connections that are open at two engines go silent for good; new ones work.
Printed are the longest wait of the caller of a running stream, the time that a
running whole answer takes longer, and the time to the first token of a request
that is sent on an idle connection. Bounded to `ROUNDS` rounds.
"""

import json
import time

import gevent
from load import connect, request_bytes
from real_node import SETTLE_S, real_nodes

ROUNDS = 5
WORDS = 60
STEP_MS = 20.0
WARM_UP = 40
BETWEEN_LIMIT_S = 1.0
"""Limit between tokens at this pace, in seconds."""
SWEEP_S = 0.1
RECONNECT_S = 0.2
"""Allowance for the retry on a new connection, in seconds."""
TARGET_MS = (BETWEEN_LIMIT_S + SWEEP_S + RECONNECT_S) * 1_000


def ask(address: str, stream: bool, words: int = WORDS) -> dict[str, float]:
    """Sends a request; returns first token, longest wait and length in ms."""
    raw = request_bytes("brisa@1", words, time.monotonic_ns())
    if not stream:
        head, _, body = raw.partition(b"\r\n\r\n")
        body = body.replace(b'"stream": true', b'"stream": null')
        raw = head + b"\r\n\r\n" + body
    sock = connect(address)
    start = last = time.perf_counter()
    sock.sendall(raw)
    first = longest = 0.0
    data = b""
    end = b"0\r\n\r\n" if stream else b"}"
    while not data.endswith(end):
        part = sock.recv(65_536)
        now = time.perf_counter()
        if not part:
            raise RuntimeError(f"the answer was cut: {data[-200:]!r}")
        if first:
            longest = max(longest, now - last)
        first = first or now - start
        last, data = now, data + part
    sock.close()
    if b'"error"' in data:
        raise RuntimeError(f"the answer failed: {data[-300:]!r}")
    return {
        "first": first * 1e3,
        "longest": longest * 1e3,
        "whole": (last - start) * 1e3,
    }


def main() -> None:
    """Prints the largest figure of each case over all rounds."""
    pace = {"step_ms": STEP_MS, "step_per_run_ms": 0.0, "tick_ms": 1.0}
    with real_nodes(2, pace) as (_, node):
        gevent.sleep(SETTLE_S)
        warm = [gevent.spawn(ask, node.address, True) for _ in range(WARM_UP)]
        gevent.joinall(warm, raise_error=True)
        normal = ask(node.address, False)["whole"]
        waits, late, idle = [], [], []
        for _ in range(ROUNDS):
            for stream in (True, False):
                job = gevent.spawn(ask, node.address, stream)
                gevent.sleep(WORDS * STEP_MS / 2_000)
                node.silence()
                answer = job.get()
                if stream:
                    waits.append(answer["longest"])
                else:
                    late.append(answer["whole"] - normal)
            again = [gevent.spawn(ask, node.address, True) for _ in range(8)]
            gevent.joinall(again, raise_error=True)
            node.silence()
            idle.append(ask(node.address, True)["first"])
    figures = {
        "stream_longest_wait_ms": waits,
        "whole_answer_later_ms": late,
        "idle_first_token_ms": idle,
    }
    worst = {name: round(max(values)) for name, values in figures.items()}
    print(json.dumps({**worst, "target_ms": round(TARGET_MS)}))


if __name__ == "__main__":
    main()
