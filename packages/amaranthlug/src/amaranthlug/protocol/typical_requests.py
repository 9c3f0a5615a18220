"""Generates typical requests for which rankings are computed in advance."""

import itertools
from collections.abc import Iterator

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.protocol.rollout_splitter import ChoiceContext
from amaranthlug.state.catalog import Catalog

TYPICAL_PROMPT_TOKENS = {False: (24, 100), True: (100, 200)}
"""Prompt lengths in tokens of easy (False) and hard (True) requests, one for
each size class in use."""

MAX_PRECOMPUTED = 400
"""Maximum number of rankings computed in advance. Each takes 0.25 ms, and
requests are served between two of them."""


def typical_requests(catalog: Catalog) -> Iterator[ChoiceContext]:
    """Yields up to `MAX_PRECOMPUTED` requests.

    They combine the sets of allowed versions, kinds, difficulties and lengths,
    with and without a session.
    """
    organisations_by_versions = {
        o.allowed: o for o in catalog.organisations.values()
    }
    combinations = itertools.product(
        organisations_by_versions.values(),
        catalog.kinds.values(),
        (False, True),
        ("", "session"),
    )
    contexts = (
        ChoiceContext(
            ChatRequest(
                "",
                organisation,
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
            organisation.allowed,
            hard,
        )
        for organisation, kind, hard, session in combinations
        for tokens in TYPICAL_PROMPT_TOKENS[hard]
    )
    return itertools.islice(contexts, MAX_PRECOMPUTED)
