"""Periodic exchange of all parts' sections with a few random peers."""

import logging
from typing import Any, Protocol

import gevent
import msgspec
from result import Ok

from amaranthlug.coordination.peers import (
    ExchangeSection,
    PeerHandlers,
    PeerLink,
    SizedSection,
)
from amaranthlug.coordination.timers import TimerService

PEERS_PER_PERIOD = 2
"""Peers asked each period; constant, so that cost does not grow with nodes."""

MESSAGE_BYTES = 850
"""Bytes of all sections of a message as JSON, before compression. A node sends
about four such messages a second within 3 KB/s."""

FIRST_SHARE = 0.7
"""Part of the bytes left that the first of the sized sections may take; they
take turns at being first."""

TIMEOUT_S = 1.0
"""Limit of one exchange, in seconds."""

log = logging.getLogger(__name__)


class PeerChoice(Protocol):
    """Chooses peers and learns from contacts."""

    def pick(self, count: int) -> list[str]:
        """Returns up to `count` random addresses of peers."""
        ...

    def contact_failed(self, address: str) -> None:
        """Learns that a peer did not answer."""
        ...


class Exchange:
    """Sends and answers `exchange` messages."""

    def __init__(
        self,
        link: PeerLink,
        peers: PeerChoice,
        handlers: PeerHandlers,
        timers: TimerService,
        period_s: float = 1.0,
    ):
        """Registers the handler; `start` begins the periodic exchange."""
        self.link = link
        self.peers = peers
        self.timers = timers
        self.period_s = period_s
        self.sections: dict[str, ExchangeSection] = {}
        self.turn = 0
        handlers.register("exchange", self.on_exchange)

    def register(self, section: ExchangeSection) -> None:
        """Adds a part's section.

        Raises:
            ValueError: The name is taken.
        """
        if section.name in self.sections:
            raise ValueError(f"section {section.name!r} is registered twice")
        self.sections[section.name] = section

    def start(self) -> None:
        """Subscribes the exchange to the timer service."""
        self.timers.every("exchange", self.period_s, self.tick)

    def tick(self) -> None:
        """Exchanges with a few peers at the same time."""
        addresses = self.peers.pick(PEERS_PER_PERIOD)
        tasks = [gevent.spawn(self.exchange_with, a) for a in addresses]
        gevent.joinall(tasks)

    def exchange_with(self, address: str) -> bool:
        """Exchanges with one peer; False when it did not answer."""
        message = {"sections": self.outgoing()}
        answer = self.link.call(address, "exchange", message, TIMEOUT_S)
        if not isinstance(answer, Ok):
            self.peers.contact_failed(address)
            return False
        self.incoming(address, answer.ok_value.get("sections", {}))
        return True

    def on_exchange(self, message: dict[str, Any]) -> dict[str, Any]:
        """Merges the sender's sections and replies with this node's."""
        self.incoming(message["sender"], message["sections"])
        return {"sections": self.outgoing()}

    def outgoing(self) -> dict[str, Any]:
        """Collects the sections that have something to send.

        Sections without rows (members, log, withdrawals) go whole; the others
        share the bytes that are left.
        """
        found: dict[str, Any] = {}
        sized: list[SizedSection] = []
        for section in self.sections.values():
            if isinstance(section, SizedSection):
                sized.append(section)
            elif content := section.outgoing():
                found[section.name] = content
        self.turn += 1
        for index in range(len(sized)):
            section = sized[(index + self.turn) % len(sized)]
            left = MESSAGE_BYTES - len(msgspec.json.encode(found))
            if index + 1 < len(sized):
                left = int(left * FIRST_SHARE)
            if content := section.outgoing_within(max(0, left)):
                found[section.name] = content
        return found

    def incoming(self, sender: str, sections: dict[str, Any]) -> None:
        """Gives each section to its part.

        A part that fails on its section must not keep the others from theirs.
        """
        for name, content in sections.items():
            section = self.sections.get(name)
            if section is None:
                continue
            try:
                section.incoming(sender, content)
            except Exception:
                log.exception("section %s from %s failed", name, sender)
