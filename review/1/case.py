"""A path through another node that is killed; see claim.txt."""

import signal

import deployment as d
import gevent
from servers import LossyLink, Server

from amaranthlug.transport.routing.http_server import (
    IncomingRequest,
    Responder,
)

EVENTS = 40
EVENT_S = 0.1
STREAMS = 6
DIAL_S = 0.08
"""Time for which opening packets are lost; a node waits 0.15 s for one."""


def stream_until_close(
    server: Server, incoming: IncomingRequest, responder: Responder
) -> None:
    """Sends a stream without a length, which ends with its connection."""
    headers = [
        *server.headers(incoming),
        ("Content-Type", "text/event-stream"),
        ("Connection", "close"),
    ]
    responder.keep_alive = False
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    responder.headers_sent = True
    responder.sock.sendall(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
    first = int(incoming.get("last-event-id") or 0) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number}\n\n"
        responder.sock.sendall(event.encode())
        gevent.sleep(EVENT_S)
    responder.sock.close()


def send_stream(
    deployment: d.Deployment, number: int, answers: dict[str, d.Answer]
) -> None:
    """Sends a stream request to the first node and keeps its answer."""
    request_id = f"stream-{number}"
    deployment.note(f"sent {request_id} to {deployment.nodes[0].name}")
    sock = d.connect(deployment.nodes[0].callers)
    sock.sendall(
        d.request_bytes(
            "POST",
            f"/stream/{number}",
            request_id,
            20_000,
            b"{}",
            {"Accept": "text/event-stream"},
        )
    )
    answer = d.read_answer(sock, 20.0)
    sock.close()
    answers[request_id] = answer
    deployment.note(
        f"answered {request_id}: status {answer.status}, "
        f"{answer.body.count(b'id: ')} of {EVENTS} events, "
        f"{'complete' if answer.whole else 'broken off: ' + answer.error}"
    )


def play(deployment: d.Deployment) -> bool:
    """Returns whether a caller got a part of a stream as a complete one."""
    servers = []
    links = []
    for number in range(2):
        server = Server(
            deployment.store,
            f"i-{number}",
            "modelo",
            d.ZONES[number],
            stream_until_close,
        )
        link = LossyLink(server.address)
        server.advertised_address = link.address
        servers.append(server)
        links.append(link)
    route = d.make_route("/stream/", "streaming", "modelo", stream_resume=True)
    deployment.start(d.make_config(1, [route], {"family": [d.KEY]}), servers)
    answers: dict[str, d.Answer] = {}
    callers = []
    if d.troubled():
        deployment.note("links to the servers lose the opening packets")
        for link in links:
            link.begin()
    callers.append(gevent.spawn(send_stream, deployment, 0, answers))
    gevent.sleep(DIAL_S)
    if d.troubled():
        for link in links:
            link.end()
        deployment.note("links lose nothing any more")
    gevent.sleep(0.3)
    for number in range(1, STREAMS):
        callers.append(gevent.spawn(send_stream, deployment, number, answers))
        gevent.sleep(0.02)
    gevent.sleep(1.2)
    if d.troubled():
        deployment.note(f"{deployment.nodes[1].name} is killed")
        deployment.nodes[1].send(signal.SIGKILL)
    gevent.joinall(callers, timeout=25)
    for server in servers:
        deployment.note(
            f"server {server.server_id} ran {dict(server.runs)}, "
            f"{server.cancelled} of them were cancelled by the router"
        )
    short = [
        request_id
        for request_id, answer in sorted(answers.items())
        if answer.status == 200
        and answer.whole
        and answer.body.count(b"id: ") < EVENTS
    ]
    whole = sum(a.body.count(b"id: ") == EVENTS for a in answers.values())
    deployment.note(f"{whole} of {len(answers)} streams came whole")
    if not d.troubled() and whole < STREAMS:
        raise d.CannotRunError("streams fail without the disruption")
    deployment.note(f"cut, and complete by their framing: {short}")
    return bool(short)


if __name__ == "__main__":
    d.run_case("1", 3, play)
