"""Tests the fault plans of the soak and the faults that they inject."""

import json

import gevent
import msgspec
import pytest
from geventhttpclient import HTTPClient

from amaranthlug_standins.builders import caller_key
from amaranthlug_standins.deployments import hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.proxy_rules import FaultRule
from amaranthlug_standins.soak import small_deployment
from amaranthlug_standins.soak_faults import FaultInjection
from amaranthlug_standins.soak_plan import FAULT_KINDS, LOAD_S, Plan, make_plan


def test_plan_is_the_same_for_a_seed_and_survives_a_file():
    """A failing seed must give the same plan when it is run again."""
    for seed in range(50):
        plan = make_plan(seed)
        assert plan == make_plan(seed)
        decoded = msgspec.json.decode(msgspec.json.encode(plan), type=Plan)
        assert decoded == plan
        assert all(item.at_s < LOAD_S for item in plan.faults)


def test_every_kind_of_fault_is_drawn_and_can_be_carried_out():
    """A kind that is never drawn or has no method is never tested."""
    drawn = {item.kind for seed in range(60) for item in make_plan(seed).faults}
    assert drawn == set(FAULT_KINDS)
    for kind in FAULT_KINDS:
        assert hasattr(FaultInjection, "do_" + kind.replace("-", "_"))


def test_small_deployment_publishes_what_it_starts():
    """If parts and catalogue differ, started upstreams stay unused."""
    small = small_deployment()
    for name, pool in small.catalog.pools.items():
        addresses = [upstream.address for upstream in pool.upstreams]
        body = json.loads(msgspec.json.encode(small.parts[f"pools/{name}"]))
        published = [upstream["address"] for upstream in body["upstreams"]]
        assert published == addresses
    full = hengyun().catalog.pools["drafting"].upstreams
    assert len(small.catalog.pools["drafting"].upstreams) < len(full)


@pytest.mark.processes
def test_cut_node_refuses_work_and_returns():
    """Injected faults have no effect if nodes bypass the fault proxy."""
    deployment = small_deployment()
    with Fleet(deployment, FleetOptions(faults=True, nodes=3)) as fleet:
        fleet.start()
        cut_node = fleet.nodes[0]
        source = f"node:{cut_node.settings.name}@*"
        rules = [
            FaultRule(source=source, cut="both"),
            FaultRule(destination=source, source="node:*", cut="both"),
        ]
        assert send_chat(cut_node.address) == 200
        fleet.fault_links.set_rules(rules)
        assert wait_for_status(cut_node.address, 503)
        assert send_chat(fleet.nodes[1].address) == 200
        fleet.fault_links.set_rules([])
        assert wait_for_status(cut_node.address, 200)


def send_chat(address):
    """Sends a chat request and returns the HTTP status."""
    client = HTTPClient.from_url(f"http://{address}", network_timeout=8)
    body = {"model": "auto", "messages": [{"role": "user", "content": "hi"}]}
    headers = {
        "Authorization": f"Bearer {caller_key('billing')}",
        "X-Request-Kind": "order-question",
        "Content-Type": "application/json",
    }
    data = msgspec.json.encode(body)
    status = client.post("/v1/chat/completions", data, headers).status_code
    client.close()
    return status


def wait_for_status(address, status):
    """Repeats a chat request, up to 40 times, until it returns a status."""
    for _ in range(40):
        if send_chat(address) == status:
            return True
        gevent.sleep(0.3)
    return False
