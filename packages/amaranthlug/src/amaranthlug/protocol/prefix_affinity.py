"""Maps prompt prefixes to servers that are likely to have them cached."""

import dataclasses
from collections import OrderedDict

import xxhash

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.state.catalog import Upstream

PREFIX_CHARS = 256
"""Characters of the first message that identify the prefix of a prompt without
a session."""

MAX_CACHED_PREFIXES = 5_000
"""Maximum number of cached mappings; the oldest are evicted."""


def prefix_key(request: ChatRequest) -> str:
    """Returns a key that requests with a common prompt prefix share."""
    name = request.organisation.name
    if request.session_id:
        return f"{name}|session|{request.session_id}"
    messages = request.body.get("messages")
    first = messages[0] if isinstance(messages, list) and messages else None
    text = first.get("content") if isinstance(first, dict) else None
    head = text if isinstance(text, str) else request.prompt
    return f"{name}|{head[:PREFIX_CHARS]}"


@dataclasses.dataclass(frozen=True)
class HomeServer:
    """Home server of a prefix among `servers`."""

    server: Upstream
    servers: tuple[Upstream, ...]


class PrefixAffinity:
    """Assigns prefixes to home servers by rendezvous hashing.

    The loss of a server moves only the prefixes assigned to it.
    """

    def __init__(self) -> None:
        """Creates an empty cache of assignments."""
        self.home_servers: OrderedDict[tuple[str, str], HomeServer] = (
            OrderedDict()
        )

    def home_server(
        self, key: str, pool: str, servers: tuple[Upstream, ...]
    ) -> tuple[Upstream, bool]:
        """Returns the home server of a prefix and whether it was cached.

        This node has not sent a new prefix to any server, so its home server
        is not expected to have it cached.
        """
        cached = self.home_servers.get((key, pool))
        if cached is not None and cached.servers is servers:
            return cached.server, True
        assigned = max(
            servers,
            key=lambda server: xxhash.xxh3_64_intdigest(
                f"{key}|{server.address}".encode()
            ),
        )
        self.home_servers[(key, pool)] = HomeServer(assigned, servers)
        if len(self.home_servers) > MAX_CACHED_PREFIXES:
            self.home_servers.popitem(last=False)
        return assigned, False
