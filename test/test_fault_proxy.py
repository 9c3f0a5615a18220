"""Guards the fault proxy: a fault that does nothing proves nothing."""

import time

import gevent
import pytest
from geventhttpclient import HTTPClient

from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json
from amaranthlug_standins.proxy_rules import FaultRule, RequestFrames, combine
from amaranthlug_standins.service import ServiceStandIn


@pytest.fixture
def service():
    """Runs a service that counts its runs."""
    started = ServiceStandIn.from_config(seed=1).start()
    yield started
    started.stop()


@pytest.fixture
def proxy():
    """Runs a proxy without links."""
    started = FaultProxy.from_config(seed=1).start()
    yield started
    started.stop()


def link(proxy, service, source="node:a@z1"):
    """Adds a link by the control interface and returns its address."""
    body = {
        "source": source,
        "destination": "service",
        "target": service.address,
    }
    return call_json(proxy.control_address, "POST", "/links", body)[1][
        "address"
    ]


def rules(proxy, *found):
    """Sets rules by the control interface."""
    call_json(proxy.control_address, "POST", "/fault", {"rules": found})


def post(address, limit_s=0.5):
    """Sends a call within a limit; returns its status or the failure."""
    try:
        with gevent.Timeout(limit_s):
            return call_json(address, "POST", "/x", {"a": 1})[0]
    except gevent.Timeout:
        return "silent"
    except CONNECTION_ERRORS:
        return "broken"


def test_traffic_passes_whole_without_rules(proxy, service):
    """A proxy that harms traffic by itself would blame the router."""
    assert post(link(proxy, service)) == 200 and len(service.runs) == 1


def test_cut_concerns_one_pair_and_one_direction(proxy, service):
    """A cut of the wrong pair or direction tests another failure."""
    near, other = (link(proxy, service, f"node:{z}") for z in ("a@z1", "b@z2"))
    rules(proxy, {"source": "*@z1", "cut": "to"})
    assert post(near) == "silent" and not service.runs
    assert post(other) == 200 and len(service.runs) == 1
    rules(proxy, {"source": "*@z1", "cut": "back"})
    assert post(near) == "silent" and len(service.runs) >= 2
    rules(proxy)
    assert post(near) == 200


def test_silenced_connections_stay_silent_while_new_ones_work(proxy, service):
    """Half-open silence is the failure that pooled connections miss."""
    address = link(proxy, service)
    client = HTTPClient.from_url(f"http://{address}", network_timeout=0.3)
    assert bytes(client.request("GET", "/x").read())
    proxy.set_faults({"silence": ["*", "service"]})
    with pytest.raises(CONNECTION_ERRORS):
        client.request("GET", "/x").read()
    assert post(address) == 200


def test_lost_answer_comes_after_the_effect(proxy, service):
    """An answer lost before the effect would hide a second run."""
    address = link(proxy, service)
    rules(proxy, {"lose_answers": 1.0})
    assert post(address) == "broken" and len(service.runs) == 1


def test_duplicate_request_runs_twice_and_answers_once(proxy, service):
    """Duplicate delivery must reach the destination as a whole request."""
    address = link(proxy, service)
    rules(proxy, {"duplicate": 1.0})
    assert post(address) == 200
    gevent.sleep(0.1)
    assert len(service.runs) == 2


def test_delay_drip_refusal_and_reset(proxy, service):
    """Each remaining fault must be visible at the source."""
    address = link(proxy, service)
    for fault in ({"delay_ms": 60}, {"drip_bytes_s": 2_000}):
        rules(proxy, fault)
        started = time.monotonic()
        assert post(address, 2) == 200
        assert time.monotonic() - started > 0.1
    rules(proxy, {"refuse": True})
    assert post(address) == "broken"
    rules(proxy, {"reset_after_bytes": 10})
    assert post(address) == "broken" and proxy.counts["resets"] == 1


def test_worst_rule_wins_and_requests_are_framed():
    """Two faults at once must not cancel each other."""
    both = combine([FaultRule(cut="to"), FaultRule(cut="back", delay_ms=1)])
    assert both.cut == "both" and both.delay_ms == 1
    frames = RequestFrames()
    head = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
    assert frames.feed(head + b"a") == []
    assert frames.feed(b"b" + head) == [head + b"ab"]
