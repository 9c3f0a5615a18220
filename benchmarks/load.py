"""Load process of the benchmarks, bounded in requests and time.

`load.py rate ADDRESS... RATE SECONDS` sends streamed requests to each address
at a steady rate and prints the times to the first token. `load.py streams
ADDRESS COUNT SECONDS` keeps COUNT streams open and prints tokens per second.
"""

import json
import sys
import time

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

KEY = "key-of-alfama"
READ_BYTES = 65_536
TIMEOUT_S = 30.0


def request_bytes(model: str, words: int, number: int) -> bytes:
    """Returns a streaming chat request for an answer of `words` tokens."""
    content = f"words:{words} request {number}"
    body = json.dumps(
        {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "stream": True,
            "max_tokens": words,
        }
    )
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Request-Kind: describe\r\n"
        f"X-Deadline-Ms: 60000\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def connect(address: str) -> socket.socket:
    """Returns a connection with Nagle's algorithm disabled."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Caller:
    """Sends requests to one address over reused connections."""

    def __init__(self, address: str):
        """Creates a caller without connections."""
        self.address = address
        self.idle_connections: list[socket.socket] = []
        self.first_ms: list[float] = []
        self.failed = 0

    def send_request(self, raw: bytes) -> None:
        """Sends a request and records the time to its first token."""
        sock = (
            self.idle_connections.pop()
            if self.idle_connections
            else connect(self.address)
        )
        start = time.perf_counter()
        sock.sendall(raw)
        data, first = b"", 0.0
        while not data.endswith(b"0\r\n\r\n"):
            chunk = sock.recv(READ_BYTES)
            if not chunk:
                self.failed += 1
                return
            data = data[-4096:] + chunk
            if not first and b'"content"' in data:
                first = time.perf_counter() - start
        if first and b"[DONE]" in data:
            self.first_ms.append(first * 1_000)
            self.idle_connections.append(sock)
        else:
            self.failed += 1


def run_rate(addresses: list[str], rate: float, seconds: float) -> None:
    """Sends `rate` requests a second to each address and prints times."""
    callers = [Caller(address) for address in addresses]
    jobs = []
    start = time.perf_counter()
    for number in range(int(rate * seconds)):
        for index, caller in enumerate(callers):
            # Within one period the addresses take turns.
            due = (number + index / len(callers)) / rate
            gevent.sleep(max(0, start + due - time.perf_counter()))
            raw = request_bytes("brisa@1", 20, number)
            jobs.append(gevent.spawn(caller.send_request, raw))
    gevent.joinall(jobs, timeout=TIMEOUT_S)
    times = [
        {"first_ms": caller.first_ms, "failed": caller.failed}
        for caller in callers
    ]
    print(json.dumps(times), flush=True)


class TokenCounter:
    """Counts tokens, and gaps between them, over all streams of the process."""

    def __init__(self, address: str):
        """Creates a counter of streams to an address."""
        self.address = address
        self.tokens = 0
        self.gaps = HdrHistogram(1, 60_000_000, 2)

    def keep_stream_open(self, number: int, until: float) -> None:
        """Keeps one stream open and counts its tokens until `until`."""
        sock = connect(self.address)
        while time.perf_counter() < until:
            sock.sendall(request_bytes("brisa@1", 4_000, number))
            tail, at = b"", 0.0
            while not tail.endswith(b"0\r\n\r\n"):
                data = sock.recv(READ_BYTES)
                if not data or time.perf_counter() > until:
                    sock.close()
                    return
                now = time.perf_counter()
                if at:
                    self.gaps.record_value(max(1, int((now - at) * 1e6)))
                at = now
                self.tokens += data.count(b'"content"')
                tail = (tail + data)[-5:]


def run_streams(address: str, count: int, seconds: float) -> None:
    """Keeps `count` streams open; prints tokens a second after a warm-up."""
    counter = TokenCounter(address)
    until = time.perf_counter() + seconds
    jobs = [
        gevent.spawn(counter.keep_stream_open, n, until) for n in range(count)
    ]
    gevent.sleep(seconds * 0.4)
    # Gaps while all streams open at once are not counted.
    counter.gaps.reset()
    before, at = counter.tokens, time.perf_counter()
    print(json.dumps({"warm": before}), flush=True)
    gevent.sleep(seconds * 0.5)
    rate = (counter.tokens - before) / (time.perf_counter() - at)
    gap_ms = counter.gaps.get_value_at_percentile(95) / 1_000
    print(
        json.dumps({"tokens_per_s": rate, "gap_p95_ms": round(gap_ms, 1)}),
        flush=True,
    )
    gevent.joinall(jobs, timeout=TIMEOUT_S)


def main() -> None:
    """Runs the load that the arguments name."""
    mode, *rest = sys.argv[1:]
    if mode == "rate":
        run_rate(rest[:-2], float(rest[-2]), float(rest[-1]))
    else:
        run_streams(rest[0], int(rest[1]), float(rest[2]))


if __name__ == "__main__":
    main()
