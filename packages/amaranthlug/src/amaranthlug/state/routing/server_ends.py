"""Signs by which nodes tell that an instance of a server has ended."""

import enum


class EndSign(enum.Enum):
    """Why an instance counts as ended; values appear in logs and metrics."""

    REFUSED = "refused"
    """Its VM refuses new connections."""
    CLOSED = "closed"
    """New connections are closed unused, and it has sent nothing since an
    answer broke."""
    REPLACED = "replaced"
    """Another instance has registered under its id or address."""
    REMOVED = "removed"
    """Its entry was removed although it had not announced to leave."""
    REPORTED = "reported"
    """Another node has found that it ended."""
