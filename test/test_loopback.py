"""Tests of loopback addresses; runs side by side must not meet."""

import subprocess
import sys

import pytest
from gevent import socket

from amaranthlug_platform_standins.store import StoreStandIn
from amaranthlug_standins.engine import EngineStandIn
from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.loopback import (
    NODE_PORTS,
    LoopbackAddresses,
    LoopbackExhaustedError,
    listener_addresses,
    process_address,
)

PRINT_ADDRESSES = """
import sys
from amaranthlug_standins.loopback import listener_addresses
print(*listener_addresses(50), flush=True)
sys.stdin.read()
"""


def test_addresses_of_one_process_are_different():
    """Two nodes on one port would make a fleet fail at random."""
    assert len(set(listener_addresses(50))) == 50


def test_process_keeps_its_address():
    """All listeners of a process share its address."""
    assert process_address() == process_address()
    assert {a.split(":")[0] for a in listener_addresses(3)} == {
        process_address()
    }


def test_processes_side_by_side_share_no_address():
    """Two runs of CI once took each other's ports and servers."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_ADDRESSES],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    try:
        lines = [process.stdout.readline().split() for process in processes]
    finally:
        for process in processes:
            process.communicate()
    hosts = [{address.split(":")[0] for address in line} for line in lines]
    assert all(len(each) == 1 for each in hosts)
    assert len(set().union(*hosts, {process_address()})) == 5


def test_address_of_a_listener_that_ended_is_not_given_out_again():
    """Nodes that remember a server must not meet another one there."""
    addresses = LoopbackAddresses()
    first = addresses.listener_addresses(100)
    assert not set(first) & set(addresses.listener_addresses(1_000))


def test_used_port_is_passed_over():
    """A port with a listener is not given out."""
    addresses = LoopbackAddresses()
    host = addresses.process_address()
    with socket.create_server((host, NODE_PORTS[0])):
        assert addresses.listener_addresses(1) == [f"{host}:{NODE_PORTS[1]}"]


def test_too_many_ports_are_refused_with_the_remedy():
    """A process has a limited number of ports."""
    addresses = LoopbackAddresses()
    with pytest.raises(LoopbackExhaustedError, match="stop listeners"):
        addresses.listener_addresses(len(NODE_PORTS) + 1)


def test_outgoing_connections_take_no_port_of_a_listener():
    """Their source is another address than that of the listeners."""
    with (
        socket.create_server((process_address(), 0)) as listener,
        socket.create_connection(listener.getsockname()) as connection,
    ):
        assert connection.getsockname()[0] != process_address()


def test_stand_ins_listen_on_the_address_of_their_process(start_standin):
    """Stand-ins, the store and links of the proxy are covered."""
    engine = start_standin(EngineStandIn)
    store = StoreStandIn(listener_addresses(1).pop())
    link = FaultProxy.from_config().add_link("node", "store", store.address)
    for address in (engine.address, engine.control_address, link):
        assert address.startswith(f"{process_address()}:")
