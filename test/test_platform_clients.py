"""Tests the platform clients, metrics and logs."""

import io
import json
import logging

import gevent
import pytest
from gevent import pywsgi

from amaranthlug.coordination.platform import AnswerSample
from amaranthlug.state.settings import StatsdSettings
from amaranthlug.transport.logs import configure_logs
from amaranthlug.transport.platform_clients import (
    HttpLogService,
    HttpRatingService,
    HttpVmList,
    HttpWeightStore,
)
from amaranthlug.transport.statsd_metrics import StatsdMetrics
from amaranthlug_standins.loopback import process_address


class StubPlatform:
    """Platform stub with scripted replies; `None` resets the connection."""

    def __init__(self):
        """Starts on a free port."""
        self.replies = []
        self.requests = []
        self.server = pywsgi.WSGIServer(
            (process_address(), 0), self.app, log=None, error_log=None
        )
        self.server.start()
        self.url = f"http://{process_address()}:{self.server.server_port}"

    def app(self, environ, start_response):
        """Sends the next scripted reply (WSGI)."""
        raw = environ["wsgi.input"].read()
        self.requests.append((environ["PATH_INFO"], raw))
        reply = self.replies.pop(0)
        if reply is None:
            raise ConnectionResetError(104, "scripted")
        status, body = reply
        start_response(f"{status} X", [("Retry-After", "3")])
        return [json.dumps(body).encode()]


@pytest.fixture
def platform():
    """Returns a running platform stub."""
    stub = StubPlatform()
    yield stub
    stub.server.stop(timeout=0)


def test_log_append_and_read(platform):
    """Offsets and records are decoded completely."""
    log = HttpLogService(platform.url)
    platform.replies = [
        (200, {"offsets": [7, 8]}),
        (
            200,
            {
                "records": [{"offset": 7, "record": {"id": "a"}}],
                "first": 3,
                "end": 9,
            },
        ),
    ]
    assert log.append([{"id": "a"}, {"id": "b"}]).unwrap() == [7, 8]
    page = log.read(6, 100, 0).unwrap()
    assert (page.records[0].offset, page.first, page.end) == (7, 3, 9)
    assert page.records[0].record == {"id": "a"}


@pytest.mark.parametrize(
    ("reply", "unknown", "wait"),
    [
        (None, True, 1.0),
        ((429, {}), False, 3.0),
        ((503, {}), False, 3.0),
        ((500, {}), True, 3.0),
        ((200, {"offsets": "?"}), True, 1.0),
    ],
)
def test_append_error_tells_whether_it_may_have_effect(
    platform, reply, unknown, wait
):
    """The error tells whether an append may have taken effect.

    Otherwise an append that took effect would simply be repeated.
    """
    platform.replies = [reply]
    error = HttpLogService(platform.url).append([{}]).unwrap_err()
    assert (error.effect_unknown, error.retry_after_s) == (unknown, wait)


def test_unreachable_log_and_expired_records(platform):
    """Expired records and an unreachable log give distinct errors.

    Otherwise a reader takes expired records for the end of the log.
    """
    platform.replies = [(410, {})]
    assert HttpLogService(platform.url).read(1, 1, 0).unwrap_err().expired
    url = platform.url
    platform.server.stop(timeout=0)
    gevent.sleep(0)
    error = HttpLogService(url).append([{}]).unwrap_err()
    assert not error.effect_unknown


def test_vm_list_rating_and_weights(platform):
    """The clients read and send the fields of the platform's API."""
    vm = {"address": "a:1", "zone": "z", "role": "entry", "state": "live"}
    rating = {
        "seq": 4,
        "request_id": "r",
        "kind": "k",
        "version": "m@1",
        "good": True,
    }
    platform.replies = [
        (200, {"vms": [{**vm, "since_s": 3}]}),
        (200, {}),
        (200, {"ratings": [rating], "end": 5}),
        (200, {}),
        (429, {}),
    ]
    assert HttpVmList(platform.url).list().unwrap()[0].zone == "z"
    ratings = HttpRatingService(platform.url)
    assert ratings.submit([AnswerSample("r", "k", "m@1", "p", "a")]).is_ok()
    assert ratings.fetch(3).unwrap()[0].good
    weights = HttpWeightStore(platform.url)
    assert weights.available("m@1").is_ok()
    assert weights.available("m@1").unwrap_err().retry_after_s == 3.0
    assert json.loads(platform.requests[1][1])["answers"][0]["prompt"] == "p"


def test_metrics_are_counted_and_shown():
    """Counters, gauges and percentiles are shown by /metricsz."""
    metrics = StatsdMetrics.from_config(StatsdSettings("127.0.0.1", 9))
    metrics.incr("refused.x", 2)
    metrics.gauge("g", 1.5)
    for _ in range(10):
        metrics.timing("t", 2.0)
    shown = metrics.to_json()
    assert shown["counters"] == {"refused.x": 2}
    assert shown["gauges"] == {"g": 1.5}
    assert shown["timings"]["t"]["p95"] == pytest.approx(2.0, rel=0.02)


def test_logs_are_json_without_keys():
    """Log lines are JSON and contain no caller's key."""
    stream = io.StringIO()
    root = logging.getLogger()
    before = root.handlers[:], root.level
    try:
        configure_logs("node-1", "INFO", stream)
        logging.getLogger("x").info(
            "got Authorization: Bearer abc123", extra={"zone": "sala-a"}
        )
    finally:
        root.handlers[:] = before[0]
        root.setLevel(before[1])
    line = json.loads(stream.getvalue())
    assert "abc123" not in stream.getvalue()
    assert (line["node"], line["zone"], line["level"]) == (
        "node-1",
        "sala-a",
        "INFO",
    )
