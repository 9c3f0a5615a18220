"""Interfaces of peer messages, members, rumours, log feed and log writer."""

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol, runtime_checkable

from result import Result

from amaranthlug.coordination.platform import PlatformError
from amaranthlug.state.members import Member
from amaranthlug.state.records import AnyRecord, LogEntry


@dataclasses.dataclass(frozen=True)
class PeerError:
    """A message to a peer failed.

    Attributes:
        address: Address of the peer.
        message: Description of the failure and its remedy.
        not_received: Whether the peer certainly did not act on the message.
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
        """Sends `message` to the handler `name` and returns its reply."""
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


class WrongProcessError(Exception):
    """A message was addressed to another incarnation at this address."""


def handle_message(
    handlers: PeerHandlers, me: Member, name: str, message: dict[str, Any]
) -> dict[str, Any]:
    """Runs the handler of a message and returns its reply.

    Raises:
        WrongProcessError: The field `to` names another incarnation.
        KeyError: There is no such handler.
    """
    recipient = message.get("to", me.incarnation)
    if recipient != me.incarnation:
        raise WrongProcessError(f"meant for incarnation {recipient}")
    return handlers.handlers[name](message)


class ExchangeSection(Protocol):
    """A component's section of the periodic exchange message."""

    name: str

    def outgoing(self) -> dict[str, Any]:
        """Returns the section to send, or an empty one if nothing is new."""
        ...

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges a section received from the node at the address `sender`."""
        ...


@runtime_checkable
class SizedSection(ExchangeSection, Protocol):
    """A section of variable size that shares the message with others."""

    def outgoing_within(self, limit_bytes: int) -> dict[str, Any]:
        """Returns a section of at most about `limit_bytes` bytes of JSON."""
        ...


class MemberView(Protocol):
    """Members of the fleet as known to this node."""

    me: Member

    def members(self) -> list[Member]:
        """Returns all known members, this node included."""
        ...

    def live(self) -> list[Member]:
        """Returns members that may get work, this node included."""
        ...

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Returns a known member or None."""
        ...

    def heard_majority(self) -> bool:
        """Returns whether most members sent a recent heartbeat."""
        ...


class Rumours(Protocol):
    """Urgent facts, which each node relays to 5 peers if they are new to it."""

    def spread(self, topic: str, fact: dict[str, Any]) -> None:
        """Applies a fact and relays it if new; ignores a repeated one."""
        ...

    def subscribe(
        self, topic: str, receiver: Callable[[dict[str, Any]], bool]
    ) -> None:
        """Adds a receiver, which returns True if a fact was new to it."""
        ...


class LogFeed(Protocol):
    """Log entries as they arrive, each once and in offset order."""

    def subscribe(self, callback: Callable[[LogEntry], None]) -> None:
        """Calls `callback` with every entry from the oldest retained one."""
        ...

    def position(self) -> int:
        """Returns the offset of the last entry read, or -1."""
        ...

    def confirmed_age(self) -> float:
        """Returns seconds since the end of the log was last confirmed."""
        ...

    def catch_up(self, timeout_s: float) -> Result[int, PlatformError]:
        """Reads to the end of the log and returns the position."""
        ...


class RecordWriter(Protocol):
    """Appends records to the log.

    Each takes effect once, even if answers of the log are lost.
    """

    def append(self, record: AnyRecord) -> Result[int, PlatformError]:
        """Appends a record, waits for the log and returns the offset."""
        ...

    def enqueue(self, record: AnyRecord) -> bool:
        """Queues a record to be appended, also after an outage.

        Returns False if the queue is full.
        """
        ...
