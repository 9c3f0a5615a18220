"""Open-loop load: callers that arrive by seed, whatever the answers do."""

import collections
import dataclasses
import hashlib
import random
import time
from collections.abc import Callable, Mapping

import gevent
import msgspec

from amaranthlug.state.catalog import Catalog, RequestKind
from amaranthlug_standins import answers
from amaranthlug_standins.builders import caller_key, make_body
from amaranthlug_standins.caller import Caller, Clients, Outgoing
from amaranthlug_standins.calls import Call
from amaranthlug_standins.entry_book import EntryBook
from amaranthlug_standins.prompts import make_prompt

CLIENTS = 12
"""Client hosts, each with its own cache of entry addresses."""

SILENCE_LIMIT_S = 15.0


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service in a mix; `path` gets the call's number."""

    service: str
    method: str
    path: str
    repeatable: bool
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Mix:
    """What callers send.

    Attributes:
        rate: Requests a second, on average.
        duration_s: Seconds during which callers arrive.
        kinds: Weight by kind.
        organisations: Weight by organisation.
        hard_share: Share of hard prompts.
        stream_share: Share of streamed answers.
        session_share: Share of requests that belong to a session.
        sessions: Sessions at the same time for each organisation.
        session_calls: Requests of one session, on average; another session
            takes its place then.
        key_share: Share of idempotent requests with a key; the others always
            have one.
        service_share: Share of calls that go to plain services.
        zones: Zones of the client hosts.
    """

    rate: float
    duration_s: float
    kinds: Mapping[str, float]
    organisations: Mapping[str, float]
    services: tuple[ServiceCall, ...] = ()
    hard_share: float = 0.35
    stream_share: float = 0.6
    session_share: float = 0.4
    sessions: int = 3
    session_calls: float = 6.0
    key_share: float = 0.3
    service_share: float = 0.12
    zones: tuple[str, ...] = ("",)


class Load:
    """A running load and its history."""

    def __init__(
        self,
        mix: Mix,
        catalog: Catalog,
        seeds: list[str],
        seed: int,
        name: str = "load",
    ):
        """Creates a load on nodes at `seeds`.

        Loads on one fleet need different names, because prompts and paths
        must be unique for the checks.
        """
        self.name = name
        self.mix = mix
        self.catalog = catalog
        self.seed = seed
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.session_turns: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.clients = Clients(SILENCE_LIMIT_S)
        self.books = [
            EntryBook(
                seeds,
                mix.zones[i % len(mix.zones)],
                # Its own source: choices of nodes must not change the load.
                random.Random(seed * CLIENTS + i),
            )
            for i in range(CLIENTS)
        ]
        self.callers: list[gevent.Greenlet] = []
        self.caller_class: Callable[..., Caller] = Caller

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Starts callers for the duration and waits for their ends.

        Args:
            progress: Receives the seconds that passed since its last call.
        """
        started = time.monotonic()
        due_s = shown_s = 0.0
        while True:
            due_s += self.random.expovariate(self.mix.rate)
            if due_s > self.mix.duration_s:
                break
            gevent.sleep(max(0.0, started + due_s - time.monotonic()))
            self.start_call(len(self.calls))
            if progress is not None and due_s - shown_s > 0.2:
                progress(due_s - shown_s)
                shown_s = due_s
        limit_s = SILENCE_LIMIT_S * 2
        gevent.joinall(self.callers, timeout=limit_s)
        gevent.killall(self.callers)
        self.clients.close()

    def start_call(self, number: int) -> None:
        """Starts the next caller."""
        mix = self.mix
        organisation = self.pick(mix.organisations)
        allowed = self.catalog.organisations[organisation].services
        services = [call for call in mix.services if call.service in allowed]
        if services and self.random.random() < mix.service_share:
            call, outgoing = self.service_call(number, organisation, services)
        else:
            call, outgoing = self.chat_call(number, organisation)
        call.due_at = time.time()
        self.calls.append(call)
        book = self.books[number % len(self.books)]
        caller = self.caller_class(self.clients, book, call, outgoing)
        self.callers.append(gevent.spawn(caller.run))

    def pick(self, weights: Mapping[str, float]) -> str:
        """Picks a name by weight."""
        names = list(weights)
        return self.random.choices(names, list(weights.values()))[0]

    def session(self, organisation: str) -> str:
        """Returns the id of one of an organisation's open sessions."""
        place = (organisation, self.random.randrange(self.mix.sessions))
        if self.random.random() < 1 / self.mix.session_calls:
            self.session_turns[place] += 1
        return f"{self.name}-{place[1]}-{self.session_turns[place]}"

    def key(self, number: int) -> str:
        """Returns the idempotency key of a call."""
        text = f"{self.name}|{self.seed}|{number}"
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    def service_call(
        self, number: int, organisation: str, services: list[ServiceCall]
    ) -> tuple[Call, Outgoing]:
        """Builds a call of a plain service."""
        weights = [call.weight for call in services]
        route = self.random.choices(services, weights)[0]
        path = f"{route.path}/{self.name}-{number}"
        key = "" if route.repeatable else self.key(number)
        headers = self.headers(organisation, key)
        call = Call(
            number=number,
            organisation=organisation,
            service=route.service,
            path=path,
            key=key,
            idempotent=route.repeatable,
        )
        full = f"/v1/services/{route.service}{path}"
        body = b"" if route.method == "GET" else b"{}"
        return call, Outgoing(route.method, full, headers, body)

    def chat_call(
        self, number: int, organisation: str
    ) -> tuple[Call, Outgoing]:
        """Builds a chat call."""
        mix, source = self.mix, self.random
        kind = self.catalog.kinds[self.pick(mix.kinds)]
        hard = source.random() < mix.hard_share
        difficulty = answers.HARD if hard else answers.EASY
        tag = f"{self.name}-{number}"
        prompt = make_prompt(tag, kind.name, difficulty, source)
        stream = source.random() < mix.stream_share
        session = ""
        if source.random() < mix.session_share:
            session = self.session(organisation)
        keyed = not kind.idempotent or source.random() < mix.key_share
        key = self.key(number) if keyed else ""
        call = Call(
            number=number,
            organisation=organisation,
            kind=kind.name,
            session=session,
            key=key,
            stream=stream,
            idempotent=kind.idempotent,
            difficulty=difficulty,
            digest=answers.prompt_digest(prompt),
            prompt_words=len(prompt.split()),
            answer_words=answers.answer_length(prompt),
        )
        return call, self.chat_outgoing(call, kind, prompt)

    def chat_outgoing(
        self, call: Call, kind: RequestKind, prompt: str
    ) -> Outgoing:
        """Builds the request of a chat call."""
        headers = self.headers(call.organisation, call.key)
        headers["X-Request-Kind"] = kind.name
        if call.session:
            headers["X-Session-Id"] = call.session
        body = make_body(prompt, stream=call.stream)
        encoded = msgspec.json.encode(body)
        path = "/v1/chat/completions"
        return Outgoing("POST", path, headers, encoded, prompt)

    def headers(self, organisation: str, key: str) -> dict[str, str]:
        """Returns the headers that all calls have."""
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {caller_key(organisation)}",
        }
        if key:
            headers["Idempotency-Key"] = key
        return headers
