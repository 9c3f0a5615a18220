"""Messages between nodes: sending interface and registry of handlers."""

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class PeerError:
    """A message to a peer failed.

    Attributes:
        address: The peer.
        message: What happened and the remedy.
        not_received: The peer certainly did not act on the message.
    """

    address: str
    message: str
    not_received: bool = False


class PeerLink(Protocol):
    """Sends messages to peers over authenticated HTTP."""

    def call(
        self,
        address: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> Result[dict[str, Any], PeerError]:
        """Sends `message` to handler `name` and returns its reply."""
        ...


Handler = Callable[[dict[str, Any]], dict[str, Any]]


class PeerHandlers:
    """Handlers of peer messages by name, served at `POST /peer/NAME`."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self.handlers: dict[str, Handler] = {}

    def register(self, name: str, handler: Handler) -> None:
        """Adds a handler.

        Raises:
            ValueError: The name is taken.
        """
        if name in self.handlers:
            raise ValueError(f"peer handler {name!r} is registered twice")
        self.handlers[name] = handler


class ExchangeSection(Protocol):
    """One part's share of the periodic exchange message."""

    name: str

    def outgoing(self) -> dict[str, Any]:
        """Returns the section to send; empty when there is nothing new."""
        ...

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges a section received from the node at address `sender`."""
        ...
