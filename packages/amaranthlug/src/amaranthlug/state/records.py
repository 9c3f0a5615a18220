"""Records that the system keeps on the log, tagged by `type`.

Every record has an `id` so that a record appended twice after a lost answer
has one effect. Offsets are given by the log and are not part of a record.
"""

from typing import Any

import msgspec


class Record(msgspec.Struct, kw_only=True, tag_field="type"):
    """Base of all records.

    Attributes:
        id: Unique identifier; a reader ignores a second record with it.
        at: Wall-clock time of writing in seconds, for people only.
    """

    id: str
    at: float = 0.0


class Publication(Record, tag="publication"):
    """A change of configuration, accepted whole or rejected whole.

    Attributes:
        operator: Name of the operator who publishes.
        base: Revision that the change was made against.
        parts: Changed parts by path such as `organisations/ch-5`.
        deleted: Paths of parts that the change removes.
    """

    operator: str
    base: int
    parts: dict[str, dict[str, Any]] = {}
    deleted: list[str] = []


class ConfigSnapshot(Record, tag="config_snapshot"):
    """The whole configuration at a revision, written before records expire.

    Attributes:
        withdrawals: Version to its highest withdrawn epoch.
        readmissions: Version to its highest readmitted epoch.
        position: Offset of the last record folded into it. Other records may
            be appended between the taking and the writing of a snapshot, so a
            reader needs every record after this one.
    """

    revision: int
    parts: dict[str, dict[str, Any]]
    position: int = -1
    withdrawals: dict[str, int] = {}
    readmissions: dict[str, int] = {}


class Withdrawal(Record, tag="withdrawal"):
    """Takes a version out of service; `version` is `model@version`.

    Attributes:
        epoch: Number of readmissions of the version before it. All nodes that
            withdraw a version in one epoch write the same fact.
    """

    version: str
    epoch: int
    reason: str
    operator: str = ""


class Readmission(Record, tag="readmission"):
    """Lifts the withdrawals of a version with an epoch up to `epoch`."""

    version: str
    epoch: int
    operator: str


class NodeJoined(Record, tag="node_joined"):
    """A node process started; an older incarnation at the address is dead."""

    address: str
    zone: str
    incarnation: str


class NodeLeft(Record, tag="node_left"):
    """A node finished a graceful shutdown."""

    address: str
    incarnation: str


class LeaseClaim(Record, tag="lease_claim"):
    """A claim of key slots; accepted per slot if `replaces` is still newest.

    Attributes:
        slots: Slot number to the offset of the lease that it replaces, -1 for
            a slot without a lease.
        owner: Incarnation of the claiming node.
        successors: Incarnations that may claim next and hold the copies.
        takeover: The owner changed; False when the owner names successors.
    """

    slots: dict[int, int]
    owner: str
    successors: list[str]
    takeover: bool = False


class BillEntry(msgspec.Struct, kw_only=True):
    """One bill of one request.

    Attributes:
        request_id: Unique; the ledger bills it once.
        cost: Micro-units over all steps.
        outcome: `complete`, `cancelled` or `cut`.
    """

    request_id: str
    organisation: str
    kind: str
    version: str
    prompt_tokens: int
    output_tokens: int
    cost: int
    outcome: str
    steps: int = 1


class BillChunk(Record, tag="bill_chunk"):
    """Bills of one node; repeats are folded by request id."""

    incarnation: str
    sequence: int
    entries: list[BillEntry]


class RolloutStep(Record, tag="rollout_step"):
    """A move of a roll-out to a stage, accepted if `replaces` is newest."""

    rollout: str
    revision: int
    stage: int
    replaces: int
    holder: str


class EvidenceSnapshot(Record, tag="evidence_snapshot"):
    """Pooled evidence, for nodes that start.

    Attributes:
        rows: Version with its epoch, kind, hard, and the counters in the order
            of `evidence.COUNTERS`, reduced to recent ratings.
        covered: Digests of the segments whose rows are in these sums.
    """

    rows: list[tuple[str, str, bool, list[int]]]
    covered: list[str]


class UnknownRecord(Record, tag="unknown"):
    """Stands for a record that this release cannot read.

    Folds skip it, but it keeps its offset, so that they see no gap.
    """


AnyRecord = (
    Publication
    | ConfigSnapshot
    | Withdrawal
    | Readmission
    | NodeJoined
    | NodeLeft
    | LeaseClaim
    | BillChunk
    | RolloutStep
    | EvidenceSnapshot
    | UnknownRecord
)


class LogEntry(msgspec.Struct, kw_only=True):
    """A record with the offset that the log gave it."""

    offset: int
    record: AnyRecord
