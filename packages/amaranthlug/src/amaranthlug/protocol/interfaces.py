"""Interfaces of the components that request handling depends on."""

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
class ChatRequest:
    """A parsed and authenticated chat request.

    Attributes:
        deadline: Monotonic time by which the complete answer is due, in
            seconds.
        model: `auto`, a model, or `model@version`.
        prompt_tokens: Estimated length of the prompt, in tokens.
        key_issued_ms: Value of `X-Key-Issued-At`, in Unix milliseconds.
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
    """One step of a plan.

    Attributes:
        check: Check the answer, and go on to the next step only if it fails.
    """

    version: VersionId
    check: bool = False


@dataclasses.dataclass(frozen=True)
class Plan:
    """Versions to try in order; a plan with several steps is a cascade.

    Attributes:
        reason: Why the version was chosen, for logs and reports.
    """

    steps: tuple[PlanStep, ...]
    reason: str = ""


class CatalogView(Protocol):
    """The configuration that this node currently applies."""

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        ...

    def is_withdrawn(self, version: VersionId) -> bool:
        """Returns whether a version must not receive new requests."""
        ...

    def may_serve(self) -> Result[None, Refusal]:
        """Returns a refusal if the configuration cannot be confirmed."""
        ...


class VersionChooser(Protocol):
    """Chooses versions by cost, quality and roll-out stage."""

    def choose(
        self, request: ChatRequest, pinned: VersionId | None
    ) -> Result[Plan, Refusal]:
        """Returns the plan of a request; uses a pinned version if possible."""
        ...

    def started(self, request: ChatRequest, version: VersionId) -> None:
        """Counts a request that is sent to a version."""
        ...

    def finished(
        self,
        request: ChatRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Counts the end of a request.

        `outcome` is an outcome of `BillEntry`, `error` or `empty`.
        """
        ...

    def passes_check(
        self, request: ChatRequest, version: VersionId, answer: str
    ) -> bool:
        """Returns whether the answer of a checked step is good enough."""
        ...


class ServerChooser(Protocol):
    """Chooses servers of a pool and records the outcome of their requests."""

    def pick(
        self,
        request: ChatRequest,
        version: VersionId,
        exclude: frozenset[str],
    ) -> Result[Upstream, Refusal]:
        """Picks a server that runs the version and counts it as in flight."""
        ...

    def done(self, address: str, first_token_s: float, failed: bool) -> None:
        """Reports the end of a request at a picked server.

        `first_token_s` is 0 if no token was received.
        """
        ...

    def is_queueing(self, address: str) -> bool:
        """Returns whether new requests are queued at a server."""
        ...


class SessionPins(Protocol):
    """Pins of sessions to versions."""

    def lookup(
        self, organisation: str, session_id: str
    ) -> Result[VersionId | None, Refusal]:
        """Returns the pinned version, None if there is no pin."""
        ...

    def pin(
        self, organisation: str, session_id: str, proposal: VersionId
    ) -> Result[VersionId, Refusal]:
        """Pins the proposal unless a valid pin exists; returns the pin."""
        ...


class RunRegister(Protocol):
    """Register of the runs of requests with an idempotency key."""

    def begin(
        self,
        scope: str,
        key: str,
        digest: str,
        idempotent: bool,
        issued_ms: int | None = None,
    ) -> Result[RunTicket, Refusal]:
        """Registers a run before dispatch.

        If a run with the same key is in progress, waits for its answer.
        """
        ...

    def end(
        self, scope: str, key: str, answer: dict[str, Any] | None, ran: bool
    ) -> None:
        """Stores the answer; `ran=False` frees the key, as nothing has run."""
        ...


class Biller(Protocol):
    """Records the bills of requests."""

    def may_admit(self) -> Result[None, Refusal]:
        """Returns a refusal if too many bills wait for the log."""
        ...

    def open(self, entry: BillEntry) -> None:
        """Starts to replicate an open entry at dispatch, without waiting."""
        ...

    def close(self, request_id: str) -> None:
        """Removes an open entry, because the request did not run."""
        ...

    def record(self, entry: BillEntry) -> None:
        """Replicates the final entry of a request to peers.

        The end marker of the answer is sent to the caller after it returns.
        """
        ...


class LimitEnforcer(Protocol):
    """Enforces the limits of organisations over all nodes."""

    def admit(
        self, organisation: Organisation, tokens: int
    ) -> Result[None, Refusal]:
        """Admits a request of about `tokens` tokens, or refuses it."""
        ...

    def done(self, organisation: Organisation, tokens: int, cost: int) -> None:
        """Reports the end of a request with its actual tokens and cost.

        Cost is in micro-units.
        """
        ...


class EntryView(Protocol):
    """Addresses of nodes that callers can connect to."""

    def entries(self, zone: str) -> list[tuple[str, str]]:
        """Returns (address, zone) of serving nodes, nearest zone first."""
        ...
