"""Records that another writer may leave beside those of a topic."""

import json

SERVER = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}
DEEP = b"[" * 200_000
DEEP_FIELD = b'{"other": ' + b"[" * 60_000 + b"]" * 60_000
HUGE = "9" * 401


def changed(body: dict, **fields: str) -> bytes:
    """Returns a body in JSON in which fields have the given JSON text."""
    texts = {name: json.dumps(value) for name, value in body.items()}
    texts.update(fields)
    return (
        "{" + ", ".join(f'"{k}": {v}' for k, v in texts.items()) + "}"
    ).encode()


def deep_in(body: dict) -> bytes:
    """Returns a body with one more field that is deeply nested."""
    return DEEP_FIELD + b", " + changed(body)[1:]


ODD_SERVERS = {
    "nested": DEEP,
    "nested field": deep_in(SERVER),
    "large port": changed(SERVER, address='"127.0.0.1:70000"'),
    "long port": changed(SERVER, address=f'"127.0.0.1:{"1" * 30}"'),
    "superscript port": changed(SERVER, address='"127.0.0.1:\\u00b2"'),
    "port zero": changed(SERVER, address='"127.0.0.1:0"'),
    "host name": changed(SERVER, address='"no.such.host:80"'),
    "host with spaces": changed(SERVER, address='" :80"'),
    "huge slots": changed(SERVER, slots=HUGE),
    "many slots": changed(SERVER, slots="99999999"),
    "negative slots": changed(SERVER, slots="-1"),
    "infinite warm-up": changed(SERVER, cold_remaining_ms="1e999"),
    "no number": changed(SERVER, cold_remaining_ms="NaN"),
    "huge warm-up": changed(SERVER, cold_remaining_ms=HUGE),
    "huge start": changed(SERVER, born=HUGE),
    "lone surrogate": changed(SERVER, version='"\\ud800"'),
    "line end": changed(SERVER, service='"pool\\r\\nTenant: x"'),
    "long text": changed(SERVER, zone=f'"{"z" * 100_000}"'),
    "negative weights": changed(
        SERVER, models='[{"name": "m", "version": -9e99}]'
    ),
    "no object": b"17",
    "no text": b"\xff\xfe\x00",
}
