"""Load on a fleet whose servers limit what they take."""

import collections
import itertools

import gevent
from _platform_fleet import PlatformFleet, stream_headers

CALLER_DEADLINE_MS = 3_000


def limit_servers(fleet: PlatformFleet, **faults) -> None:
    """Sets faults of all servers and registers them anew."""
    for server in fleet.servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)
        server.register()


def send_evenly(
    fleet: PlatformFleet,
    per_second: float,
    seconds: float,
    target: str = "/safe/",
    nodes: int | None = None,
) -> collections.Counter:
    """Sends requests at equal intervals, without repeats of refused ones.

    Args:
        fleet: The fleet.
        per_second: Requests a second.
        seconds: Time for which they are sent, in seconds.
        target: Beginning of the paths, no two of which are alike.
        nodes: Nodes that get them in turn; all by default.

    Returns:
        Status -> number of answers.
    """
    statuses: collections.Counter = collections.Counter()
    headers = stream_headers() if "/stream/" in target else ()
    turn = itertools.cycle(range(nodes or len(fleet.nodes)))

    def call(number: int) -> None:
        answer = fleet.call(
            f"{target}{number}",
            next(turn),
            request_id=f"id-{number}",
            deadline_ms=CALLER_DEADLINE_MS,
            headers=headers,
        )
        statuses[answer.status] += 1

    callers = []
    for number in range(round(per_second * seconds)):
        callers.append(gevent.spawn(call, number))
        gevent.sleep(1 / per_second)
    gevent.joinall(callers)
    return statuses


def falls(fleet: PlatformFleet) -> int:
    """Returns how often servers fell over since they turned too much away."""
    return sum(server.crashes["refusals"] for server in fleet.servers)


def most_arrivals(server, window_s: float, since: float) -> int:
    """Returns the most requests of a server in any time of that length.

    Args:
        server: The stand-in; refused requests count as well.
        window_s: Length of the time, in seconds.
        since: Monotonic time before which none count, in seconds.
    """
    times = sorted(
        at
        for at in [*(at for at, _ in server.arrivals), *server.refusals]
        if at >= since
    )
    return max(
        (
            sum(1 for at in times if first <= at < first + window_s)
            for first in times
        ),
        default=0,
    )
