"""JSON calls over HTTP to stand-ins and nodes."""

import http.client
from typing import Any

import msgspec
from geventhttpclient import HTTPClient

CALL_TIMEOUT_S = 10.0
CONNECTION_ERRORS = (OSError, http.client.HTTPException)
"""Errors of a connection that is refused, breaks or times out."""


def call_json(
    address: str, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    """Sends one request and returns its status and decoded body.

    Raises:
        OSError: The connection failed or timed out.
        http.client.HTTPException: The response was truncated.
    """
    client = HTTPClient.from_url(
        f"http://{address}",
        connection_timeout=CALL_TIMEOUT_S,
        network_timeout=CALL_TIMEOUT_S,
    )
    encoded = msgspec.json.encode(body) if body is not None else b""
    headers = {"Content-Type": "application/json"}
    try:
        response = client.request(method, path, encoded, headers)
        raw = bytes(response.read())
        return response.status_code, msgspec.json.decode(raw) if raw else None
    finally:
        client.close()
