"""Cache of the entry addresses that `/v1/entry` returns."""

import random
import time

from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json

DEFAULT_TTL_S = 5.0


class NoEntryError(Exception):
    """No known node returned addresses from `/v1/entry`."""


class EntryAddressCache:
    """Cached entry addresses of one client host.

    Attributes:
        seeds: Addresses to ask when no cached one answers.
        valid_until: Monotonic time at which the cache expires.
    """

    def __init__(self, seeds: list[str], zone: str, rng: random.Random):
        """Creates an empty cache for a client host in a zone."""
        self.seeds = seeds
        self.zone = zone
        self.rng = rng
        self.addresses: list[str] = []
        self.valid_until = 0.0

    def address(self, avoid: str = "") -> str:
        """Returns a random entry address, after a refresh if necessary.

        Args:
            avoid: Address that just failed, or ''. It forces a refresh and is
                returned only if there is no other.

        Raises:
            NoEntryError: No known node returned addresses.
        """
        if avoid or time.monotonic() >= self.valid_until:
            self.refresh(avoid)
        choices = [entry for entry in self.addresses if entry != avoid]
        choices = choices or self.addresses
        if not choices:
            raise NoEntryError("no entry address is known")
        return self.rng.choice(choices)

    def refresh(self, avoid: str) -> None:
        """Asks known nodes for entry addresses until one returns some.

        Raises:
            NoEntryError: No known node returned addresses.
        """
        candidates = self.rng.sample(self.addresses, len(self.addresses))
        for address in candidates + [
            seed for seed in self.seeds if seed not in candidates
        ]:
            if address == avoid:
                continue
            try:
                code, body = call_json(
                    address, "GET", f"/v1/entry?zone={self.zone}"
                )
            except CONNECTION_ERRORS:
                continue
            if code != 200 or not body["entries"]:
                continue
            self.addresses = [entry["address"] for entry in body["entries"]]
            ttl_s = float(body.get("ttl_s", DEFAULT_TTL_S))
            self.valid_until = time.monotonic() + ttl_s
            return
        raise NoEntryError("no known node answers /v1/entry")
