"""Tests that each fault of the proxy takes effect where it should."""

import time

import gevent
import pytest
from geventhttpclient import HTTPClient

from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json
from amaranthlug_standins.proxy_rules import (
    FaultRule,
    RequestFramer,
    combine_rules,
)
from amaranthlug_standins.service import ServiceStandIn


@pytest.fixture
def service():
    """Runs a service that counts its runs."""
    standin = ServiceStandIn.from_config(seed=1).start()
    yield standin
    standin.stop()


@pytest.fixture
def proxy():
    """Runs a proxy without links."""
    standin = FaultProxy.from_config(seed=1).start()
    yield standin
    standin.stop()


def add_link(proxy, service, source="node:a@z1"):
    """Adds a link through the control interface and returns its address."""
    body = {
        "source": source,
        "destination": "service",
        "target": service.address,
    }
    return call_json(proxy.control_address, "POST", "/links", body)[1][
        "address"
    ]


def set_rules(proxy, *rules):
    """Replaces the rules through the control interface."""
    call_json(proxy.control_address, "POST", "/fault", {"rules": rules})


def post(address, timeout_s=0.5):
    """Sends a call and returns its status, `silent` or `broken`."""
    try:
        with gevent.Timeout(timeout_s):
            return call_json(address, "POST", "/x", {"a": 1})[0]
    except gevent.Timeout:
        return "silent"
    except CONNECTION_ERRORS:
        return "broken"


def test_traffic_passes_whole_without_rules(proxy, service):
    """Damage done by the proxy itself would be blamed on the router."""
    assert post(add_link(proxy, service)) == 200 and len(service.runs) == 1


def test_cut_concerns_one_pair_and_one_direction(proxy, service):
    """A cut of the wrong pair or direction would test another failure."""
    cut_link, other_link = (
        add_link(proxy, service, f"node:{z}") for z in ("a@z1", "b@z2")
    )
    set_rules(proxy, {"source": "*@z1", "cut": "to"})
    assert post(cut_link) == "silent" and not service.runs
    assert post(other_link) == 200 and len(service.runs) == 1
    set_rules(proxy, {"source": "*@z1", "cut": "back"})
    assert post(cut_link) == "silent" and len(service.runs) >= 2
    set_rules(proxy)
    assert post(cut_link) == 200


def test_silenced_connections_stay_silent_while_new_ones_work(proxy, service):
    """Pooled connections do not notice a peer that silently went away."""
    address = add_link(proxy, service)
    client = HTTPClient.from_url(f"http://{address}", network_timeout=0.3)
    assert bytes(client.request("GET", "/x").read())
    proxy.set_faults({"silence": ["*", "service"]})
    with pytest.raises(CONNECTION_ERRORS):
        client.request("GET", "/x").read()
    assert post(address) == 200


def test_lost_answer_comes_after_the_effect(proxy, service):
    """The request must run before its answer is lost, or no retry is tested."""
    address = add_link(proxy, service)
    set_rules(proxy, {"lose_answers": 1.0})
    assert post(address) == "broken" and len(service.runs) == 1


def test_duplicate_request_runs_twice_and_answers_once(proxy, service):
    """The duplicate must reach the destination as a complete request."""
    address = add_link(proxy, service)
    set_rules(proxy, {"duplicate": 1.0})
    assert post(address) == 200
    gevent.sleep(0.1)
    assert len(service.runs) == 2


def test_delay_drip_refusal_and_reset(proxy, service):
    """The source must notice each of the other faults."""
    address = add_link(proxy, service)
    for fault in ({"delay_ms": 60}, {"drip_bytes_s": 2_000}):
        set_rules(proxy, fault)
        started = time.monotonic()
        assert post(address, 2) == 200
        assert time.monotonic() - started > 0.1
    set_rules(proxy, {"refuse": True})
    assert post(address) == "broken"
    set_rules(proxy, {"reset_after_bytes": 10})
    assert post(address) == "broken" and proxy.counts["resets"] == 1


def test_rules_combine_and_requests_are_framed():
    """Rules that match the same link must not cancel each other."""
    both = combine_rules(
        [FaultRule(cut="to"), FaultRule(cut="back", delay_ms=1)]
    )
    assert both.cut == "both" and both.delay_ms == 1
    framer = RequestFramer()
    head = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
    assert framer.feed(head + b"a") == []
    assert framer.feed(b"b" + head) == [head + b"ab"]
