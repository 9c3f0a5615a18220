"""Addresses that a caller cached from `/v1/entry`."""

import random
import time

from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json

DEFAULT_TTL_S = 5.0


class NoEntryError(Exception):
    """No known node answers `/v1/entry`."""


class EntryAddressCache:
    """One client's cache of entry addresses.

    Attributes:
        seeds: Addresses to ask when the cached ones do not answer.
    """

    def __init__(self, seeds: list[str], zone: str, source: random.Random):
        """Creates an empty cache of a client in a zone."""
        self.seeds = seeds
        self.zone = zone
        self.source = source
        self.addresses: list[str] = []
        self.valid_until = 0.0

    def address(self, avoid: str = "") -> str:
        """Returns an address to connect to, asking again when out of date.

        Args:
            avoid: Address that just failed.

        Raises:
            NoEntryError: Nobody answers.
        """
        if avoid or time.monotonic() >= self.valid_until:
            self.refresh(avoid)
        choices = [entry for entry in self.addresses if entry != avoid]
        choices = choices or self.addresses
        if not choices:
            raise NoEntryError("no entry address is known")
        return self.source.choice(choices)

    def refresh(self, avoid: str) -> None:
        """Asks known nodes for the list until one answers.

        Raises:
            NoEntryError: Nobody answers.
        """
        known = self.source.sample(self.addresses, len(self.addresses))
        for address in known + [
            seed for seed in self.seeds if seed not in known
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
