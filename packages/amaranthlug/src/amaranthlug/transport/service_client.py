"""HTTP client of the plain services."""

from result import Result

from amaranthlug.protocol.upstream import ServiceAnswer, UpstreamError
from amaranthlug.transport.http_pool import HttpPools


class HttpPlainService:
    """Client of all plain services, addressed by `host:port`; no retries."""

    def __init__(self, pools: HttpPools | None = None):
        """Creates a client, by default with its own connection pools."""
        self.pools = pools or HttpPools()

    def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[ServiceAnswer, UpstreamError]:
        """Sends a request and returns the complete response."""
        sent = self.pools.call(address, method, path, body, headers, timeout_s)
        return sent.map(
            lambda answer: ServiceAnswer(
                answer.status, answer.content_type, answer.body
            )
        )
