"""Callers, which send a request, check the reply and record the call."""

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
from amaranthlug_standins.entry_addresses import EntryAddressCache, NoEntryError
from amaranthlug_standins.http_json import CONNECTION_ERRORS

MAX_ATTEMPTS = 4
RETRY_WAIT_S = 0.3
MAX_RETRY_AFTER_S = 1.0
"""Longest `retry_after_s` after which a caller still retries."""

EVENT_SEPARATOR = b"\n\n"
CONTENT_KEY = b'"content"'
CONNECT_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """An HTTP request, the same in each attempt."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    prompt: str = ""


class HttpClients:
    """HTTP clients with pooled connections, by address.

    Attributes:
        via: Address to connect to instead, by address, for fault proxies.
    """

    def __init__(self, timeout_s: float):
        """Creates an empty set; `timeout_s` is the time-out of socket reads."""
        self.timeout_s = timeout_s
        self.via: dict[str, str] = {}
        self.by_address: dict[str, HTTPClient] = {}

    def get(self, address: str) -> HTTPClient:
        """Returns the client of an address, created on first use."""
        if address not in self.by_address:
            self.by_address[address] = HTTPClient.from_url(
                f"http://{self.via.get(address, address)}",
                concurrency=512,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=self.timeout_s,
            )
        return self.by_address[address]

    def close(self) -> None:
        """Closes all clients."""
        for client in self.by_address.values():
            client.close()


def get_header(response: Any, name: str) -> str:
    """Returns a header of a response, or '' if it is absent."""
    return str(response.get(name) or "")


class Caller:
    """Sends the request of one call, with retries where they are safe."""

    def __init__(
        self,
        clients: HttpClients,
        entry_cache: EntryAddressCache,
        call: Call,
        outgoing: OutgoingRequest,
    ):
        """Creates a caller that records its results in `call`."""
        self.clients = clients
        self.entry_cache = entry_cache
        self.call = call
        self.outgoing = outgoing

    def run(self) -> Call:
        """Sends the request until it is answered or cannot be retried."""
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
        """Returns whether the request can be retried safely and soon.

        A refused request without a key is retried only if it did not run, and
        a failed one only if it is idempotent.
        """
        call = self.call
        if call.outcome == FAILED:
            return bool(call.key) or call.idempotent
        wait_s = call.retry_after_s
        if wait_s is None or wait_s > MAX_RETRY_AFTER_S:
            return False
        return call.not_run or bool(call.key)

    def attempt(self, avoid: str) -> None:
        """Sends the request once and records the attempt."""
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
        """Sends the request to a node and records its reply or the failure."""
        call = self.call
        try:
            call.node = self.entry_cache.address(avoid)
            self.exchange(self.clients.get(call.node))
        except NoEntryError as error:
            call.outcome, call.code = FAILED, str(error)
        except (*CONNECTION_ERRORS, msgspec.DecodeError) as error:
            call.outcome = FAILED
            call.code = f"{type(error).__name__}: {error}"

    def exchange(self, client: HTTPClient) -> None:
        """Sends the request and records the complete reply."""
        started = time.monotonic()
        outgoing = self.outgoing
        response = client.request(
            outgoing.method, outgoing.path, outgoing.body, outgoing.headers
        )
        call = self.call
        call.status = response.status_code
        call.request_id = get_header(response, "X-Request-Id")
        call.moved = get_header(response, "X-Session-Moved")
        header = get_header(response, "X-Version")
        model = get_header(response, "X-Model")
        call.version = header if "@" in header else f"{model}@{header}"
        blocks = []
        if call.stream and call.status == 200:
            while event := response.readline(EVENT_SEPARATOR):
                if call.first_token_s < 0 and CONTENT_KEY in event:
                    call.first_token_s = time.monotonic() - started
                blocks.append(bytes(event))
        blocks.append(bytes(response.read()))
        self.record_reply(b"".join(blocks), response)

    def record_reply(self, raw: bytes, response: Any) -> None:
        """Records a complete reply."""
        call = self.call
        if call.status != 200:
            self.record_refusal(msgspec.json.decode(raw))
        elif call.service:
            call.outcome = ANSWERED
            body = msgspec.json.decode(raw)
            call.own = call.whole = "ran" in body
        elif call.stream:
            self.record_stream(raw)
        else:
            call.outcome = ANSWERED
            call.cost = int(response.get("X-Cost") or -1)
            choice = msgspec.json.decode(raw)["choices"][0]
            self.check_text(choice["message"]["content"])

    def record_refusal(self, body: Any) -> None:
        """Records the error of a refusal."""
        error = body.get("error") if isinstance(body, dict) else None
        if not isinstance(error, dict):
            error = {"code": "untyped"}
        call = self.call
        call.outcome = REFUSED
        call.code = str(error.get("code"))
        call.not_run = bool(error.get("not_run"))
        call.retry_after_s = error.get("retry_after_s")

    def record_stream(self, raw: bytes) -> None:
        """Records the events of a complete stream."""
        call = self.call
        texts = []
        has_end_marker = False
        for event in raw.split(EVENT_SEPARATOR):
            payload = event.removeprefix(b"data: ")
            if not payload:
                continue
            if payload == b"[DONE]":
                has_end_marker = True
                continue
            chunk = msgspec.json.decode(payload)
            if "error" in chunk:
                self.record_refusal(chunk)
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
        if not has_end_marker:
            call.outcome, call.code = FAILED, "stream without its end marker"
            return
        call.outcome = ANSWERED
        self.check_text("".join(texts))

    def check_text(self, text: str) -> None:
        """Records whether a text is the complete answer to this prompt."""
        call = self.call
        result = answers.check_answer(text, self.outgoing.prompt, call.version)
        call.own, call.whole, call.good = result.own, result.whole, result.good
