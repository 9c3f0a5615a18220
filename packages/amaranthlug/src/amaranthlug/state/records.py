"""Records on the log, tagged by `type`.

Every record has an `id`, so that one appended twice after a lost response takes
effect once. The log assigns offsets; they are not part of a record.
"""

from typing import Any

import msgspec


class Record(msgspec.Struct, kw_only=True, tag_field="type"):
    """Base of all records.

    Attributes:
        id: Unique identifier; a reader ignores a second record with it.
        at: Unix time of writing, in seconds; not used to order records.
    """

    id: str
    at: float = 0.0


class Publication(Record, tag="publication"):
    """A change of configuration, accepted or rejected as a whole.

    Attributes:
        operator: Name of the operator who publishes.
        base: Revision that the change is based on.
        parts: Changed parts by path, such as `organisations/ch-5`.
        deleted: Paths of deleted parts.
    """

    operator: str
    base: int
    parts: dict[str, dict[str, Any]] = {}
    deleted: list[str] = []


class ConfigSnapshot(Record, tag="config_snapshot"):
    """The complete configuration at a revision, written before records expire.

    Attributes:
        withdrawals: Highest withdrawn epoch by version.
        readmissions: Highest readmitted epoch by version.
        position: Offset of the last record included. Other records may be
            appended before the snapshot is, so a reader needs every record
            after this one.
    """

    revision: int
    parts: dict[str, dict[str, Any]]
    position: int = -1
    withdrawals: dict[str, int] = {}
    readmissions: dict[str, int] = {}


class Withdrawal(Record, tag="withdrawal"):
    """Takes a version out of service; `version` is `model@version`.

    Attributes:
        epoch: Number of earlier readmissions of the version. Nodes that
            withdraw it in the same epoch write equivalent records.
    """

    version: str
    epoch: int
    reason: str
    operator: str = ""


class Readmission(Record, tag="readmission"):
    """Cancels the withdrawals of a version in epochs up to `epoch`."""

    version: str
    epoch: int
    operator: str


class NodeJoined(Record, tag="node_joined"):
    """A node process started; an older one at the address has ended."""

    address: str
    zone: str
    incarnation: str


class NodeLeft(Record, tag="node_left"):
    """A node finished a graceful shutdown."""

    address: str
    incarnation: str


class LeaseClaim(Record, tag="lease_claim"):
    """A claim of key slots by compare-and-set, decided for each slot.

    A slot is granted if the lease that the claim replaces is still the newest.

    Attributes:
        slots: Offset of the lease to replace by slot number, -1 for a slot
            without a lease.
        owner: Incarnation of the claiming node.
        successors: Incarnations that hold the replicas and may claim next.
        takeover: The owner changes; False if an owner only renews its lease or
            changes its successors.
    """

    slots: dict[int, int]
    owner: str
    successors: list[str]
    takeover: bool = False


class BillEntry(msgspec.Struct, kw_only=True):
    """The bill of one request.

    Attributes:
        request_id: Unique identifier; the ledger counts it once.
        cost: Micro-units, summed over all steps.
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
    """Bills of one node; readers deduplicate them by request id."""

    incarnation: str
    sequence: int
    entries: list[BillEntry]


class RolloutStep(Record, tag="rollout_step"):
    """A move of a roll-out to a stage by compare-and-set on `replaces`."""

    rollout: str
    revision: int
    stage: int
    replaces: int
    holder: str


class EvidenceSnapshot(Record, tag="evidence_snapshot"):
    """Sums of evidence over all nodes, for nodes that start.

    Attributes:
        rows: Version with its epoch, kind, difficulty, and the counters in the
            order of `evidence.COUNTER_NAMES`, scaled down to recent ratings.
        covered: Digests of the segments included in the sums.
    """

    rows: list[tuple[str, str, bool, list[int]]]
    covered: list[str]


class UnknownRecord(Record, tag="unknown"):
    """Placeholder for a record that this release cannot decode.

    Readers ignore it, but it occupies its offset, so that they detect no gap.
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
    """A record with the offset that the log assigned."""

    offset: int
    record: AnyRecord
