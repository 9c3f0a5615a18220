"""Prefers the server that probably has a prompt's prefix in its cache."""

import dataclasses
from collections import OrderedDict

import xxhash

from amaranthlug.protocol.interfaces import RoutedRequest
from amaranthlug.state.catalog import Upstream

PREFIX_CHARS = 256
"""Characters of the first message by which prompts without a session are
taken to have the same prefix."""

MAX_CACHED = 5_000
"""Homes remembered; the oldest are computed again."""


def prefix_key(request: RoutedRequest) -> str:
    """Returns what requests with a common prefix have in common."""
    name = request.organisation.name
    if request.session_id:
        return f"{name}|session|{request.session_id}"
    messages = request.body.get("messages")
    first = messages[0] if isinstance(messages, list) and messages else None
    text = first.get("content") if isinstance(first, dict) else None
    head = text if isinstance(text, str) else request.prompt
    return f"{name}|{head[:PREFIX_CHARS]}"


@dataclasses.dataclass(frozen=True)
class Home:
    """Server that a prefix belongs to among `servers`."""

    server: Upstream
    servers: tuple[Upstream, ...]


class PrefixAffinity:
    """Rendezvous hashing, so that a lost server moves only its prefixes."""

    def __init__(self) -> None:
        """Creates an empty cache of homes."""
        self.homes: OrderedDict[tuple[str, str], Home] = OrderedDict()

    def home(
        self, key: str, pool: str, servers: tuple[Upstream, ...]
    ) -> tuple[Upstream, bool]:
        """Returns the home of a prefix and whether the prefix came before.

        A prefix that is new here is in no cache that this node filled, so
        its home deserves no preference yet.
        """
        cached = self.homes.get((key, pool))
        if cached is not None and cached.servers is servers:
            return cached.server, True
        best = max(
            servers,
            key=lambda server: xxhash.xxh3_64_intdigest(
                f"{key}|{server.address}".encode()
            ),
        )
        self.homes[(key, pool)] = Home(best, servers)
        if len(self.homes) > MAX_CACHED:
            self.homes.popitem(last=False)
        return best, False
