"""Clients of the log and of nodes for the command line."""

import json
from typing import Any

from result import Err, Ok, Result

from amaranthlug.coordination.platform import LogService
from amaranthlug.transport.http_pool import HttpPools
from amaranthlug.transport.platform_clients import HttpLogService

STATUS_TIMEOUT_S = 2.0
"""Timeout of reading a node's status, in seconds."""


def make_log_client(url: str) -> LogService:
    """Returns a client of the log at the base URL `url`."""
    return HttpLogService(url)


def node_status(address: str) -> Result[dict[str, Any], str]:
    """Returns the `/statusz` object of a node at `host:port`, or the error."""
    answer = HttpPools().call(
        address, "GET", "/statusz", timeout_s=STATUS_TIMEOUT_S
    )
    if isinstance(answer, Err):
        return Err(answer.err_value.message)
    if answer.ok_value.status != 200:
        return Err(f"status {answer.ok_value.status}")
    try:
        content: dict[str, Any] = json.loads(answer.ok_value.body)
        return Ok(content)
    except ValueError as error:
        return Err(f"malformed status: {error}")
