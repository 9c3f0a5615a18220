"""What requests have in common, by which their crashes are compared."""

import functools

import xxhash

from amaranthlug.protocol.routing.messages import RoutedRequest

MAX_PARTS = 32
"""Most parts of a prompt that are compared, the first ones."""
MAX_PART_ID = 64
"""Longest id of a part that is used as it is, in characters."""


def request_digest(organisation: str | None, request: RoutedRequest) -> str:
    """Hashes what a request has in common with its repetitions.

    The id and the deadline differ between them, and keys are rotated.
    """
    content = xxhash.xxh3_128()
    for part in (
        (organisation or "").encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode(),
        request.body,
    ):
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.hexdigest()


def part_name(service: str, part_id: str) -> str:
    """Returns the name of a part of prompts for one service."""
    if len(part_id) > MAX_PART_ID:
        part_id = xxhash.xxh3_128_hexdigest(part_id.encode())
    return f"{service}/{part_id}"


class RequestSubjects:
    """Names of a request and of the parts that it shares with others.

    They are computed when first used, since most requests need neither.
    """

    def __init__(
        self, organisation: str | None, service: str, request: RoutedRequest
    ):
        """Creates the names of a request of `organisation` to a service."""
        self.organisation = organisation
        self.service = service
        self.request = request

    @functools.cached_property
    def digest(self) -> str:
        """Returns the name of the whole request."""
        return request_digest(self.organisation, self.request)

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """Returns the names of all parts but the last, which is its own."""
        shared = self.request.prompt[:-1][:MAX_PARTS]
        return tuple(part_name(self.service, part.part_id) for part in shared)
