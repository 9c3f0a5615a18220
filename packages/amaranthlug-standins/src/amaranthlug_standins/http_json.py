"""Short HTTP calls with JSON to stand-ins and nodes."""

import http.client
from typing import Any

import msgspec
from geventhttpclient import HTTPClient

CALL_LIMIT_S = 10.0
CONNECTION_ERRORS = (OSError, http.client.HTTPException)
"""Errors of a connection that was refused, broken or silent."""


def call_json(
    address: str, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    """Sends one request and returns status and decoded body.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The answer was cut.
    """
    client = HTTPClient.from_url(
        f"http://{address}",
        connection_timeout=CALL_LIMIT_S,
        network_timeout=CALL_LIMIT_S,
    )
    data = msgspec.json.encode(body) if body is not None else b""
    headers = {"Content-Type": "application/json"}
    try:
        response = client.request(method, path, data, headers)
        raw = bytes(response.read())
        return response.status_code, msgspec.json.decode(raw) if raw else None
    finally:
        client.close()
