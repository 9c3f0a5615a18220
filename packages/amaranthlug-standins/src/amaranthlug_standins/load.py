"""Open-loop load: callers arrive at random times, independent of answers."""

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
from amaranthlug_standins.caller import Caller, HttpClients, OutgoingRequest
from amaranthlug_standins.calls import Call
from amaranthlug_standins.entry_addresses import EntryAddressCache
from amaranthlug_standins.prompts import make_prompt

CLIENT_HOSTS = 12
"""Number of client hosts, each with its own cache of entry addresses."""

RESPONSE_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service in a mix.

    The name of the load and the number of the call are added to `path`.
    """

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
        session_calls: Requests of one session, on average, before a new
            session replaces it.
        key_share: Share of idempotent requests with a key; requests that are
            not idempotent always have one.
        service_share: Share of calls to plain services, for organisations
            that may use one.
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
    """A generator of load that records its calls."""

    def __init__(
        self,
        mix: Mix,
        catalog: Catalog,
        seeds: list[str],
        seed: int,
        name: str = "load",
    ):
        """Creates a load that has not started.

        Args:
            mix: Requests to send.
            catalog: Catalogue of the deployment.
            seeds: Addresses of nodes that the client hosts know at first.
            seed: Seed of all random choices.
            name: Name of the load. It must be unique in a fleet, because the
                checks need prompts and paths that differ between loads.
        """
        self.name = name
        self.mix = mix
        self.catalog = catalog
        self.seed = seed
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.session_numbers: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.clients = HttpClients(RESPONSE_TIMEOUT_S)
        self.entry_caches = [
            EntryAddressCache(
                seeds,
                mix.zones[i % len(mix.zones)],
                # A separate generator keeps the load independent of the choice
                # of nodes.
                random.Random(seed * CLIENT_HOSTS + i),
            )
            for i in range(CLIENT_HOSTS)
        ]
        self.callers: list[gevent.Greenlet] = []
        self.caller_class: Callable[..., Caller] = Caller

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Starts callers for the duration of the mix and waits for them.

        Args:
            progress: Called with the seconds since the previous call.
        """
        started = time.monotonic()
        due_s = reported_s = 0.0
        while True:
            due_s += self.random.expovariate(self.mix.rate)
            if due_s > self.mix.duration_s:
                break
            gevent.sleep(max(0.0, started + due_s - time.monotonic()))
            self.start_call(len(self.calls))
            if progress is not None and due_s - reported_s > 0.2:
                progress(due_s - reported_s)
                reported_s = due_s
        timeout_s = RESPONSE_TIMEOUT_S * 2
        gevent.joinall(self.callers, timeout=timeout_s)
        gevent.killall(self.callers)
        self.clients.close()

    def start_call(self, number: int) -> None:
        """Draws a call from the mix and starts its caller."""
        mix = self.mix
        organisation = self.choose_by_weight(mix.organisations)
        allowed = self.catalog.organisations[organisation].services
        services = [call for call in mix.services if call.service in allowed]
        if services and self.random.random() < mix.service_share:
            call, outgoing = self.build_service_call(
                number, organisation, services
            )
        else:
            call, outgoing = self.build_chat_call(number, organisation)
        call.due_at = time.time()
        self.calls.append(call)
        entry_cache = self.entry_caches[number % len(self.entry_caches)]
        caller = self.caller_class(self.clients, entry_cache, call, outgoing)
        self.callers.append(gevent.spawn(caller.run))

    def choose_by_weight(self, weights: Mapping[str, float]) -> str:
        """Returns a random name, drawn by weight."""
        names = list(weights)
        return self.random.choices(names, list(weights.values()))[0]

    def pick_session(self, organisation: str) -> str:
        """Returns the id of a random open session of an organisation.

        A new session may replace it.
        """
        place = (organisation, self.random.randrange(self.mix.sessions))
        if self.random.random() < 1 / self.mix.session_calls:
            self.session_numbers[place] += 1
        return f"{self.name}-{place[1]}-{self.session_numbers[place]}"

    def idempotency_key(self, number: int) -> str:
        """Returns the idempotency key of a call, unique by its number."""
        text = f"{self.name}|{self.seed}|{number}"
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    def build_service_call(
        self, number: int, organisation: str, services: list[ServiceCall]
    ) -> tuple[Call, OutgoingRequest]:
        """Builds a call of a plain service and its request."""
        weights = [call.weight for call in services]
        route = self.random.choices(services, weights)[0]
        path = f"{route.path}/{self.name}-{number}"
        key = "" if route.repeatable else self.idempotency_key(number)
        headers = self.headers(organisation, key)
        call = Call(
            number=number,
            organisation=organisation,
            service=route.service,
            path=path,
            key=key,
            idempotent=route.repeatable,
        )
        full_path = f"/v1/services/{route.service}{path}"
        body = b"" if route.method == "GET" else b"{}"
        return call, OutgoingRequest(route.method, full_path, headers, body)

    def build_chat_call(
        self, number: int, organisation: str
    ) -> tuple[Call, OutgoingRequest]:
        """Builds a chat call and its request."""
        mix, rng = self.mix, self.random
        kind = self.catalog.kinds[self.choose_by_weight(mix.kinds)]
        is_hard = rng.random() < mix.hard_share
        difficulty = answers.HARD if is_hard else answers.EASY
        tag = f"{self.name}-{number}"
        prompt = make_prompt(tag, kind.name, difficulty, rng)
        stream = rng.random() < mix.stream_share
        session = ""
        if rng.random() < mix.session_share:
            session = self.pick_session(organisation)
        has_key = not kind.idempotent or rng.random() < mix.key_share
        key = self.idempotency_key(number) if has_key else ""
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
        return call, self.build_chat_request(call, kind, prompt)

    def build_chat_request(
        self, call: Call, kind: RequestKind, prompt: str
    ) -> OutgoingRequest:
        """Builds the HTTP request of a chat call."""
        headers = self.headers(call.organisation, call.key)
        headers["X-Request-Kind"] = kind.name
        if call.session:
            headers["X-Session-Id"] = call.session
        body = make_body(prompt, stream=call.stream)
        encoded = msgspec.json.encode(body)
        path = "/v1/chat/completions"
        return OutgoingRequest("POST", path, headers, encoded, prompt)

    def headers(self, organisation: str, key: str) -> dict[str, str]:
        """Returns the headers that all requests have."""
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {caller_key(organisation)}",
        }
        if key:
            headers["Idempotency-Key"] = key
        return headers
