"""Connections of the command to the log and to nodes."""

import json
from typing import Any

from result import Err, Ok, Result

from amaranthlug.coordination.platform import LogService
from amaranthlug.transport.http_pool import HttpPools
from amaranthlug.transport.platform_clients import HttpLogService

STATUS_TIMEOUT_S = 2.0
"""Limit of one read of a node's status, in seconds."""


def log_service(url: str) -> LogService:
    """Returns a client of the log at a base URL."""
    return HttpLogService(url)


def node_status(address: str) -> Result[dict[str, Any], str]:
    """Returns /statusz of the node at `host:port`."""
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
