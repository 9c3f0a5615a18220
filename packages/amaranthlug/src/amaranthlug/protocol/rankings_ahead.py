"""Requests for which rankings are computed before the first one comes."""

import itertools
from collections.abc import Iterator

from amaranthlug.protocol.interfaces import RoutedRequest
from amaranthlug.protocol.rollout_share import Case
from amaranthlug.state.catalog import Catalog

TYPICAL_TOKENS = {False: (24, 100), True: (100, 200)}
"""Prompt lengths of easy and hard requests, one for each size class in use."""

MAX_AHEAD = 400
"""Rankings computed ahead; 0.25 ms each, with room for requests between."""


def typical_cases(catalog: Catalog) -> Iterator[Case]:
    """Yields a case for each allowed set, kind, difficulty and session."""
    owners = {o.allowed: o for o in catalog.organisations.values()}
    combinations = itertools.product(
        owners.values(), catalog.kinds.values(), (False, True), ("", "session")
    )
    cases = (
        Case(
            RoutedRequest(
                "",
                owner,
                kind,
                "auto",
                {},
                False,
                0.0,
                tokens,
                "",
                session_id=session,
            ),
            catalog,
            owner.allowed,
            hard,
        )
        for owner, kind, hard, session in combinations
        for tokens in TYPICAL_TOKENS[hard]
    )
    return itertools.islice(cases, MAX_AHEAD)
