"""In-process stub engine over real sockets, for tests of the HTTP clients."""

import json

import gevent
from _fakes import WORDS, end_events, token_event
from gevent import pywsgi

from amaranthlug_standins.loopback import process_address


class CountingServer(pywsgi.WSGIServer):
    """Counts accepted connections.

    Attributes:
        connections: Connections accepted so far.
        silent_up_to: Number of the last connection that gets no response.
    """

    connections = 0
    silent_up_to = 0

    def handle(self, sock, address):
        self.connections += 1
        super().handle(sock, (address[0], self.connections))


class StubEngine:
    """Serves chat streams, with faults set by a test.

    Attributes:
        faults: Fault of each next stream: `cut` (closes after 3 tokens),
            `silent` (sends nothing after 3 tokens), `mute` (no first byte),
            `unfinished` (ends the body without the end marker), `busy` (503),
            `echo` (500 with the request as its body).
        words: Tokens of an answer.
        pause_s: Time between tokens, in seconds.
        chats: Bodies of the requests received.
        resumed: Query strings of the resumed streams.
        deleted: Paths of the cancelled streams.
        sent: Tokens sent.
    """

    def __init__(self):
        self.faults = []
        self.words = WORDS
        self.pause_s = 0.0
        self.chats = []
        self.resumed = []
        self.deleted = []
        self.sent = 0
        self.server = CountingServer(
            (process_address(), 0), self.app, log=None, error_log=None
        )
        self.server.start()

    def stop(self):
        self.server.stop(timeout=0)

    def silence(self):
        """Stops responses on all connections that are open now."""
        self.server.silent_up_to = self.server.connections

    @property
    def connections(self):
        return self.server.connections

    @property
    def address(self):
        return f"{process_address()}:{self.server.server_port}"

    def app(self, environ, start_response):
        raw = environ["wsgi.input"].read()
        if int(environ["REMOTE_PORT"]) <= self.server.silent_up_to:
            gevent.sleep(5)
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "DELETE":
            self.deleted.append(path)
            start_response("200 OK", [])
            return [b"{}"]
        if path.endswith("/resume"):
            self.resumed.append(environ["QUERY_STRING"])
            start = int(environ["QUERY_STRING"].partition("=")[2])
        else:
            body = json.loads(raw)
            self.chats.append(body)
            start = body.get("continue_tokens", 0)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "busy":
            start_response("503 Busy", [("Retry-After", "2")])
            return [b"{}"]
        if fault == "echo":
            start_response("500 Error", [])
            return [raw]
        if fault == "mute":
            gevent.sleep(5)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self.events(start, fault, environ)

    def events(self, start, fault, environ):
        for number in range(start, len(self.words)):
            if number == start + 3 and fault == "cut":
                raise ConnectionResetError(104, "scripted")
            if number == start + 3 and fault == "silent":
                gevent.sleep(5)
            if number == start + 3 and fault == "unfinished":
                return
            yield token_event(self.words[number] + " ")
            self.sent += 1
            gevent.sleep(self.pause_s)
        yield end_events(len(self.words))
