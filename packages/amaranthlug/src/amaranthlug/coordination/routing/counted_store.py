"""Counts the calls that this node makes to the store."""

from result import Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.keyed_store import (
    KeyedStore,
    StoreError,
    TopicPage,
)


class CountedStore:
    """A `KeyedStore` with a counter for each call and topic.

    All nodes share the rate limits of the store, so operators need to see
    which calls a node makes.
    """

    def __init__(self, store: KeyedStore, metrics: Metrics):
        """Counts the calls to `store`, and the changes of its era."""
        self.store = store
        self.era = store.era
        self.era.metrics = metrics
        self.metrics = metrics

    def newest(self, topic: str) -> Result[TopicPage, StoreError]:
        """Returns the newest record of each key."""
        self.count("newest", topic)
        return self.store.newest(topic)

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> Result[TopicPage, StoreError]:
        """Returns records from an offset, waiting up to `wait_s` for one."""
        self.count("read", topic)
        return self.store.read(topic, start, wait_s)

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> Result[int, StoreError]:
        """Appends records and returns the new end of the topic."""
        self.count("append", topic)
        return self.store.append(topic, records, expected_end)

    def count(self, call: str, topic: str) -> None:
        """Adds a call to its counter."""
        self.metrics.incr(f"store_calls.{call}:{topic}")
