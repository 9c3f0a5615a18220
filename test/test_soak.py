"""Guards the soak: a plan that varies cannot be replayed."""

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
from amaranthlug_standins.soak_plan import KINDS, LOAD_S, Plan, make_plan


def test_plan_is_the_same_for_a_seed_and_survives_a_file():
    """A failing seed must be the same run the next time."""
    for seed in range(50):
        plan = make_plan(seed)
        assert plan == make_plan(seed)
        kept = msgspec.json.decode(msgspec.json.encode(plan), type=Plan)
        assert kept == plan
        assert all(item.at_s < LOAD_S for item in plan.faults)


def test_every_kind_of_fault_is_drawn_and_can_be_carried_out():
    """A kind that no seed draws, or without a method, proves nothing."""
    drawn = {item.kind for seed in range(60) for item in make_plan(seed).faults}
    assert drawn == set(KINDS)
    for kind in KINDS:
        assert hasattr(FaultInjection, "do_" + kind.replace("-", "_"))


def test_small_deployment_publishes_what_it_starts():
    """Parts and catalogue that differ would leave upstreams unused."""
    small = small_deployment()
    for name, pool in small.catalog.pools.items():
        addresses = [upstream.address for upstream in pool.upstreams]
        body = json.loads(msgspec.json.encode(small.parts[f"pools/{name}"]))
        found = [upstream["address"] for upstream in body["upstreams"]]
        assert found == addresses
    whole = hengyun().catalog.pools["drafting"].upstreams
    assert len(small.catalog.pools["drafting"].upstreams) < len(whole)


@pytest.mark.processes
def test_cut_node_refuses_work_and_returns():
    """Links that nodes do not use would make every fault harmless."""
    deployment = small_deployment()
    with Fleet(deployment, FleetOptions(faults=True, nodes=3)) as fleet:
        fleet.start()
        cut = fleet.nodes[0]
        source = f"node:{cut.settings.name}@*"
        rules = [
            FaultRule(source=source, cut="both"),
            FaultRule(destination=source, source="node:*", cut="both"),
        ]
        assert ask(cut.address) == 200
        fleet.fault_links.set_rules(rules)
        assert wait_status(cut.address, 503)
        assert ask(fleet.nodes[1].address) == 200
        fleet.fault_links.set_rules([])
        assert wait_status(cut.address, 200)


def ask(address):
    """Sends a chat and returns the status."""
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


def wait_status(address, status):
    """Asks until a status comes, for 12 s at most."""
    for _ in range(40):
        if ask(address) == status:
            return True
        gevent.sleep(0.3)
    return False
