"""Finds the requests and prompt parts that explain crashes of servers.

All requests at a server that ends are suspects alike, and so are the parts of
their prompts. The cause is in flight at each crash, and no server completes it;
the others are there by chance, so their crashes are among those of the cause.
"""

from collections.abc import Container, Mapping

from amaranthlug.state.suspects import Suspect

REQUESTS_TO_BLOCK = 2
"""Different requests with a part under which servers must have ended, before
the part and not one of the requests is blocked."""

Crashes = frozenset[str]


def explain(
    suspects: Mapping[str, Suspect],
    crashes_to_block: int,
    answered: Container[str] = (),
) -> dict[str, Crashes]:
    """Returns the subjects to block, each with the crashes that it explains.

    The subject with most crashes comes first, and its crashes no longer count
    against others. Of several with the same number it is one that is not in
    `answered`, then a whole request, then the part in the fewest requests, then
    the one furthest back in prompts. Requests with the same crashes cannot be
    told apart; all are blocked.

    Args:
        suspects: What is known of each subject.
        crashes_to_block: Uncleared crashes from which a subject is blocked.
        answered: Subjects on which a server has answered at some time.
    """
    remaining = {
        name: frozenset(suspect.crashes - suspect.cleared)
        for name, suspect in suspects.items()
        if suspect.depth is None or len(suspect.requests) >= REQUESTS_TO_BLOCK
    }
    blocked: dict[str, Crashes] = {}
    while remaining:
        name = max(
            remaining,
            key=lambda n: (
                len(remaining[n]),
                n not in answered,
                narrowness(suspects[n]),
                n,
            ),
        )
        explained = remaining[name]
        if len(explained) < crashes_to_block:
            break
        alike = {
            other
            for other, crashes in remaining.items()
            if other == name
            or (
                crashes == explained
                and suspects[name].depth is None
                and suspects[other].depth is None
            )
        }
        blocked.update(dict.fromkeys(alike, explained))
        remaining = {
            other: crashes - explained
            for other, crashes in remaining.items()
            if other not in alike
        }
    return blocked


def find_alternatives(
    subject: str, explained: Crashes, suspects: Mapping[str, Suspect]
) -> set[str]:
    """Returns the other suspects at all crashes that a subject explains."""
    return {
        name
        for name, suspect in suspects.items()
        if name != subject and explained <= suspect.crashes - suspect.cleared
    }


def narrowness(suspect: Suspect) -> tuple[bool, int, int]:
    """Returns a rank that is higher the fewer requests a suspect stands for."""
    if suspect.depth is None:
        return True, 0, 0
    return False, -len(suspect.requests), suspect.depth
