"""Interfaces through which the request path uses the coordinating parts."""

import dataclasses
from typing import Any, Protocol

from result import Result

from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    RequestKind,
    Upstream,
    VersionId,
)
from amaranthlug.state.records import BillEntry
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.runs import RunTicket


@dataclasses.dataclass
class RoutedRequest:
    """A parsed and authenticated chat request.

    Attributes:
        deadline: Monotonic time by which the whole answer is due, in seconds.
        model: `auto`, a model, or `model@version`.
        prompt_tokens: Estimate.
        key_issued_ms: `X-Key-Issued-At` in Unix milliseconds.
        digest: Hash of organisation and normalised body.
    """

    request_id: str
    organisation: Organisation
    kind: RequestKind
    model: str
    body: dict[str, Any]
    stream: bool
    deadline: float
    prompt_tokens: int
    digest: str
    prompt: str = ""
    session_id: str = ""
    idempotency_key: str = ""
    key_issued_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class PlanStep:
    """One step of a plan; `check` asks for a check before the next step."""

    version: VersionId
    check: bool = False


@dataclasses.dataclass(frozen=True)
class Plan:
    """Versions to run in order; more than one step is a cascade."""

    steps: tuple[PlanStep, ...]
    reason: str = ""


class CatalogView(Protocol):
    """The configuration in force on this node."""

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        ...

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tells whether a version may receive no new work."""
        ...

    def may_serve(self) -> Result[None, Refusal]:
        """Refuses when the configuration can no longer be confirmed."""
        ...


class VersionChooser(Protocol):
    """Chooses versions by cost, quality and roll-out."""

    def choose(
        self, request: RoutedRequest, pinned: VersionId | None
    ) -> Result[Plan, Refusal]:
        """Returns the plan of a request; a pinned version is kept."""
        ...

    def started(self, request: RoutedRequest, version: VersionId) -> None:
        """Counts a request that goes to a version."""
        ...

    def finished(
        self,
        request: RoutedRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Counts its end; outcome as in `BillEntry` or `error`, `empty`."""
        ...

    def passes_check(
        self, request: RoutedRequest, version: VersionId, answer: str
    ) -> bool:
        """Tells whether the answer of a checked step is good enough."""
        ...


class ServerChooser(Protocol):
    """Chooses a server of a pool and learns from what happens there."""

    def pick(
        self,
        request: RoutedRequest,
        version: VersionId,
        exclude: frozenset[str],
    ) -> Result[Upstream, Refusal]:
        """Picks a server that runs the version and counts it as in flight."""
        ...

    def done(self, address: str, first_token_s: float, failed: bool) -> None:
        """Ends the count of a picked server; 0 s if no token came."""
        ...

    def is_queueing(self, address: str) -> bool:
        """Tells whether new work waits at a server because it is full."""
        ...


class SessionPins(Protocol):
    """Versions that sessions are pinned to."""

    def lookup(
        self, organisation: str, session_id: str
    ) -> Result[VersionId | None, Refusal]:
        """Returns the pinned version, None when there is no pin."""
        ...

    def pin(
        self, organisation: str, session_id: str, proposal: VersionId
    ) -> Result[VersionId, Refusal]:
        """Pins the proposal unless a valid pin exists; returns the pin."""
        ...


class RunRegister(Protocol):
    """Runs of requests that carry an idempotency key."""

    def begin(
        self,
        scope: str,
        key: str,
        digest: str,
        idempotent: bool,
        issued_ms: int | None = None,
    ) -> Result[RunTicket, Refusal]:
        """Registers a run before dispatch.

        Waits for a running one with the same key and returns its answer.
        """
        ...

    def end(
        self, scope: str, key: str, answer: dict[str, Any] | None, ran: bool
    ) -> None:
        """Stores the answer; `ran=False` frees the key as certainly not run."""
        ...


class Biller(Protocol):
    """Bills of finished requests."""

    def may_admit(self) -> Result[None, Refusal]:
        """Refuses at the bound of bills that wait for the log."""
        ...

    def open(self, entry: BillEntry) -> None:
        """Copies an entry at dispatch, without waiting."""
        ...

    def close(self, request_id: str) -> None:
        """Ends an open entry without a bill: the request did not run."""
        ...

    def record(self, entry: BillEntry) -> None:
        """Copies an entry to peers; returns before the caller's end marker."""
        ...


class LimitGate(Protocol):
    """Limits of organisations over all nodes."""

    def admit(
        self, organisation: Organisation, tokens: int
    ) -> Result[None, Refusal]:
        """Admits a request of about `tokens` tokens or refuses it."""
        ...

    def done(self, organisation: Organisation, tokens: int, cost: int) -> None:
        """Settles real use; ends the count of a stream."""
        ...


class EntryView(Protocol):
    """Entry addresses for callers."""

    def entries(self, zone: str) -> list[tuple[str, str]]:
        """Returns (address, zone) of serving nodes, nearest zone first."""
        ...
