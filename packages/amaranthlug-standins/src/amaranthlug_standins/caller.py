"""One request of a caller: send, read, check and record."""

import dataclasses
import time
from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient

from amaranthlug_standins import answers
from amaranthlug_standins.calls import (
    ANSWERED,
    FAILED,
    REFUSED,
    Attempt,
    Call,
)
from amaranthlug_standins.entry_book import EntryBook, NoEntryError
from amaranthlug_standins.http_json import BROKEN

MAX_ATTEMPTS = 4
RETRY_WAIT_S = 0.3
MAX_RETRY_AFTER_S = 1.0
"""Longest wait before a retry; a longer one ends the call as refused."""

EVENT_END = b"\n\n"
CONTENT = b'"content"'
CONNECT_LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as it is sent in each attempt."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    prompt: str = ""


class Clients:
    """Connection pools of the callers by address.

    Attributes:
        via: Addresses to connect to in place of others, for fault proxies.
    """

    def __init__(self, limit_s: float):
        """Creates pools; `limit_s` bounds the silence of a connection."""
        self.limit_s = limit_s
        self.via: dict[str, str] = {}
        self.by_address: dict[str, HTTPClient] = {}

    def get(self, address: str) -> HTTPClient:
        """Returns the pool of an address."""
        if address not in self.by_address:
            self.by_address[address] = HTTPClient.from_url(
                f"http://{self.via.get(address, address)}",
                concurrency=512,
                connection_timeout=CONNECT_LIMIT_S,
                network_timeout=self.limit_s,
            )
        return self.by_address[address]

    def close(self) -> None:
        """Closes all pools."""
        for client in self.by_address.values():
            client.close()


def header_of(response: Any, name: str) -> str:
    """Returns a header of a response, '' if it is absent."""
    return str(response.get(name) or "")


class Caller:
    """Sends one call, with retries where they are safe."""

    def __init__(
        self, clients: Clients, book: EntryBook, call: Call, outgoing: Outgoing
    ):
        """Creates a caller of one request."""
        self.clients = clients
        self.book = book
        self.call = call
        self.outgoing = outgoing

    def run(self) -> Call:
        """Runs the call to its end and returns its record."""
        call = self.call
        started = time.monotonic()
        call.sent_at = time.time()
        avoid = ""
        while call.attempts < MAX_ATTEMPTS:
            call.attempts += 1
            self.attempt(avoid)
            if call.outcome == ANSWERED or not self.may_retry():
                break
            if call.attempts < MAX_ATTEMPTS:
                avoid = call.node if call.outcome == FAILED else ""
                gevent.sleep(call.retry_after_s or RETRY_WAIT_S)
        call.ended_at = time.time()
        call.total_s = time.monotonic() - started
        return call

    def may_retry(self) -> bool:
        """Tells whether a caller would send the request again.

        A request without a key is sent again only if it surely did not run.
        """
        call = self.call
        if call.outcome == FAILED:
            return bool(call.key) or call.idempotent
        wait_s = call.retry_after_s
        if wait_s is None or wait_s > MAX_RETRY_AFTER_S:
            return False
        return call.not_run or bool(call.key)

    def attempt(self, avoid: str) -> None:
        """Sends the request once and records what came back."""
        call = self.call
        sent_at = time.time()
        self.send(avoid)
        refused = call.outcome == REFUSED
        call.tries.append(
            Attempt(
                node=call.node,
                sent_at=sent_at,
                ended_at=time.time(),
                outcome=call.outcome,
                code="" if call.outcome == ANSWERED else call.code,
                not_run=refused and call.not_run,
            )
        )

    def send(self, avoid: str) -> None:
        """Sends the request to a node and takes its reply."""
        call = self.call
        try:
            call.node = self.book.address(avoid)
            self.exchange(self.clients.get(call.node))
        except NoEntryError as error:
            call.outcome, call.code = FAILED, str(error)
        except (*BROKEN, msgspec.DecodeError) as error:
            call.outcome = FAILED
            call.code = f"{type(error).__name__}: {error}"

    def exchange(self, client: HTTPClient) -> None:
        """Sends the request and reads the whole reply."""
        started = time.monotonic()
        out = self.outgoing
        response = client.request(out.method, out.path, out.body, out.headers)
        call = self.call
        call.status = response.status_code
        call.request_id = header_of(response, "X-Request-Id")
        call.moved = header_of(response, "X-Session-Moved")
        header = header_of(response, "X-Version")
        model = header_of(response, "X-Model")
        call.version = header if "@" in header else f"{model}@{header}"
        blocks = []
        if call.stream and call.status == 200:
            while event := response.readline(EVENT_END):
                if call.first_token_s < 0 and CONTENT in event:
                    call.first_token_s = time.monotonic() - started
                blocks.append(bytes(event))
        blocks.append(bytes(response.read()))
        self.take(b"".join(blocks), response)

    def take(self, raw: bytes, response: Any) -> None:
        """Records a whole reply."""
        call = self.call
        if call.status != 200:
            self.take_refusal(msgspec.json.decode(raw))
        elif call.service:
            call.outcome = ANSWERED
            ran = msgspec.json.decode(raw)
            call.own = call.whole = "ran" in ran
        elif call.stream:
            self.take_stream(raw)
        else:
            call.outcome = ANSWERED
            call.cost = int(response.get("X-Cost") or -1)
            choice = msgspec.json.decode(raw)["choices"][0]
            self.check(choice["message"]["content"])

    def take_refusal(self, body: Any) -> None:
        """Records a refusal."""
        error = body.get("error") if isinstance(body, dict) else None
        if not isinstance(error, dict):
            error = {"code": "untyped"}
        call = self.call
        call.outcome = REFUSED
        call.code = str(error.get("code"))
        call.not_run = bool(error.get("not_run"))
        call.retry_after_s = error.get("retry_after_s")

    def take_stream(self, raw: bytes) -> None:
        """Records the events of a stream."""
        call = self.call
        texts = []
        ended = False
        for event in raw.split(EVENT_END):
            payload = event.removeprefix(b"data: ")
            if not payload:
                continue
            if payload == b"[DONE]":
                ended = True
                continue
            chunk = msgspec.json.decode(payload)
            if "error" in chunk:
                self.take_refusal(chunk)
                return
            for choice in chunk["choices"]:
                texts.append(choice["delta"].get("content") or "")
            extra = chunk.get("amaranthlug")
            if extra:
                call.cost = int(extra["cost"])
                call.request_id = extra["request_id"]
                version = str(extra["version"])
                if "@" not in version:
                    version = f"{extra['model']}@{version}"
                call.version = version
        if not ended:
            call.outcome, call.code = FAILED, "stream without its end marker"
            return
        call.outcome = ANSWERED
        self.check("".join(texts))

    def check(self, text: str) -> None:
        """Checks that a text is whole and the caller's own."""
        call = self.call
        found = answers.check_answer(text, self.outgoing.prompt, call.version)
        call.own, call.whole, call.good = found.own, found.whole, found.good
