"""Exchanges the sections of all components with random peers periodically."""

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
from amaranthlug.state.members import Member

PEERS_PER_PERIOD = 2
"""Peers contacted in each period. It is constant so that the cost per node does
not grow with the number of nodes."""

MESSAGE_BYTES = 540
"""Bytes of all sections of a message after compression. A node sends about four
such messages a second, which with headers and lease promises stay within
3 KB/s."""

LARGE_FLEET_MEMBERS = 64
"""Number of live members from which `MESSAGE_BYTES` applies. A node of a
smaller fleet sees fewer requests itself and needs more evidence from the
others: with 540 bytes and 8 nodes, the sample mixes cost 1.2 to 1.4 times as
much in one run."""

MAX_MESSAGE_BYTES = 2_400
"""Maximum bytes of a message after compression, used in a small fleet."""

UNSIZED_COMPRESSION_RATIO = 0.75
"""Estimated compressed size of sections without a size limit, as a fraction.
They consist mostly of counters."""

ROWS_COMPRESSION_RATIO = 0.4
"""Estimated compressed size of rows, as a fraction. Their names repeat."""

SECTION_SHARE = 0.7
"""Fraction of the remaining bytes that a sized section may use, except for the
last one. The sections take turns at being first."""

TIMEOUT_S = 1.0
"""Timeout of one exchange, in seconds."""

log = logging.getLogger(__name__)


class PeerChoice(Protocol):
    """Chooses peers; learns which of them could not be reached."""

    def pick(self, count: int) -> list[str]:
        """Returns up to `count` random addresses of peers."""
        ...

    def contact_failed(self, address: str) -> None:
        """Records that a peer did not answer."""
        ...

    def live(self) -> list[Member]:
        """Returns the live members, this node included."""
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
        """Registers the handler; `start` starts the periodic exchange."""
        self.link = link
        self.peers = peers
        self.timers = timers
        self.period_s = period_s
        self.sections: dict[str, ExchangeSection] = {}
        self.rotation = 0
        handlers.register("exchange", self.on_exchange)

    def register(self, section: ExchangeSection) -> None:
        """Adds the section of a component.

        Raises:
            ValueError: The name is taken.
        """
        if section.name in self.sections:
            raise ValueError(f"section {section.name!r} is registered twice")
        self.sections[section.name] = section

    def start(self) -> None:
        """Schedules the periodic exchange."""
        self.timers.every("exchange", self.period_s, self.tick)

    def tick(self) -> None:
        """Exchanges with a few peers concurrently."""
        addresses = self.peers.pick(PEERS_PER_PERIOD)
        tasks = [gevent.spawn(self.exchange_with, a) for a in addresses]
        gevent.joinall(tasks)

    def exchange_with(self, address: str) -> bool:
        """Exchanges with one peer; returns False if it did not answer."""
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

        Sections without a size limit (members, log, withdrawals) are sent in
        full; the others share the remaining bytes.
        """
        sections: dict[str, Any] = {}
        sized: list[SizedSection] = []
        for section in self.sections.values():
            if isinstance(section, SizedSection):
                sized.append(section)
            elif content := section.outgoing():
                sections[section.name] = content
        self.rotation += 1
        used_bytes = (
            len(msgspec.json.encode(sections)) * UNSIZED_COMPRESSION_RATIO
        )
        for index in range(len(sized)):
            section = sized[(index + self.rotation) % len(sized)]
            limit_bytes = int(
                (self.message_bytes() - used_bytes) / ROWS_COMPRESSION_RATIO
            )
            if index + 1 < len(sized):
                limit_bytes = int(limit_bytes * SECTION_SHARE)
            if content := section.outgoing_within(max(0, limit_bytes)):
                sections[section.name] = content
                size = len(msgspec.json.encode(content))
                used_bytes += size * ROWS_COMPRESSION_RATIO
        return sections

    def message_bytes(self) -> int:
        """Returns the bytes that all sections of a message may use together."""
        scale = LARGE_FLEET_MEMBERS / max(1, len(self.peers.live()))
        return min(MAX_MESSAGE_BYTES, int(MESSAGE_BYTES * max(1.0, scale)))

    def incoming(self, sender: str, sections: dict[str, Any]) -> None:
        """Passes each section to its component.

        A component that fails on its section must not affect the others.
        """
        for name, content in sections.items():
            section = self.sections.get(name)
            if section is None:
                continue
            try:
                section.incoming(sender, content)
            except Exception:
                log.exception("merging section %s from %s failed", name, sender)
