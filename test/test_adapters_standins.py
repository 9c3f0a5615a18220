"""Tests the node's adapters of outside systems against the stand-ins."""

import pytest
from result import Err

from amaranthlug.coordination.platform import AnswerSample
from amaranthlug.protocol.upstream import EngineCall, Order, StreamCutError
from amaranthlug.transport.engine_client import HttpEngine
from amaranthlug.transport.platform_clients import (
    HttpLogService,
    HttpRatingService,
    HttpVmList,
    HttpWeightStore,
)
from amaranthlug.transport.service_client import HttpPlainService
from amaranthlug_standins.answers import answer_words
from amaranthlug_standins.builders import make_body
from amaranthlug_standins.engine import EngineStandIn
from amaranthlug_standins.log import LogStandIn
from amaranthlug_standins.rating import RatingStandIn
from amaranthlug_standins.service import ServiceStandIn
from amaranthlug_standins.vm_list import VmListStandIn
from amaranthlug_standins.weights import WeightsStandIn


def make_engine_call(prompt, request_id="r-1", **fields):
    """Builds a call of an engine with a prompt."""
    body = make_body(prompt, model="small@1", stream=True, **fields)
    return EngineCall(request_id, body | {"request_id": request_id}, 2.0, 1.0)


def test_engine_streams_cuts_and_cancels(start_standin):
    """An adapter that misreads the events loses or duplicates tokens."""
    standin = start_standin(EngineStandIn)
    engine = HttpEngine()
    stream = engine.open(standin.address, make_engine_call("hi")).ok_value
    raw = b"".join(stream.blocks())
    assert raw.endswith(b"data: [DONE]\n\n")
    assert raw.count(b'"content"') == len(answer_words("hi", "small@1", True))
    standin.set_faults({"cut_after": 4})
    stream = engine.open(
        standin.address, make_engine_call("words:50 hi")
    ).ok_value
    with pytest.raises(StreamCutError) as cut:
        list(stream.blocks())
    assert cut.value.error.reason == "cut"
    standin.set_faults({})
    stream = engine.open(
        standin.address, make_engine_call("words:900 x", "r-2")
    )
    engine.cancel(standin.address, "r-2")
    with pytest.raises(StreamCutError):
        list(stream.ok_value.blocks())
    assert standin.runs[-1].outcome == "cancelled"


def test_engine_freeze_and_drain_are_told_apart(start_standin):
    """A frozen engine must cause a time-out, a draining one a retry."""
    standin = start_standin(EngineStandIn)
    engine = HttpEngine()
    standin.set_faults({"drain": True})
    refused = engine.open(standin.address, make_engine_call("hi"))
    assert refused.err_value.reason == "draining"
    standin.set_faults({"drain": False, "freeze": True})
    call = make_engine_call("hi")
    call.first_byte_timeout_s = 0.3
    assert engine.open(standin.address, call).err_value.reason == "timeout"


def test_engine_load_state_and_order(start_standin):
    """A field with different names on both sides would be lost silently."""
    standin = start_standin(EngineStandIn)
    engine = HttpEngine()
    load = engine.load(standin.address).ok_value
    assert load.versions == ("small@1",) and load.slots == 32
    order = Order("o-1", "role", "decode", 5, "n-1")
    engine.order(standin.address, order)
    old = engine.order(standin.address, Order("o-2", "drain", "", 4, "n-2"))
    assert isinstance(old, Err) and "old_fence" in old.err_value.message
    state = engine.state(standin.address).ok_value
    assert (state["role"], state["fence"]) == ("decode", 5)


def test_log_adapter_reports_lost_answers_and_expiry(start_standin):
    """A lost answer that is taken for a failure causes a second append."""
    standin = start_standin(LogStandIn)
    log = HttpLogService(f"http://{standin.address}")
    assert log.append([{"id": "a"}]).ok_value == [0]
    standin.set_faults({"lose_answers": 1.0})
    assert log.append([{"id": "b"}]).err_value.effect_unknown
    page = log.read(-1, 10, 0).ok_value
    assert [raw.record["id"] for raw in page.records] == ["a", "b"]
    assert (page.first, page.end) == (0, 2)
    standin.set_faults({"retention_s": 0})
    assert log.read(0, 10, 0).err_value.expired
    standin.set_faults({"outage": True})
    assert not log.append([{"id": "c"}]).err_value.effect_unknown


def test_other_platform_adapters(start_standin):
    """Differences between adapters and stand-ins would hide faults."""
    vms = start_standin(VmListStandIn)
    vms.register("127.0.0.1:9", "z", "engine", "leaving")
    [vm] = HttpVmList(f"http://{vms.address}").list().ok_value
    assert (vm.role, vm.state) == ("engine", "leaving")
    rating = start_standin(RatingStandIn, delay_s=0.0)
    client = HttpRatingService(f"http://{rating.address}")
    text = " ".join(answer_words("p", "small@1", True))
    client.submit([AnswerSample("r-1", "k", "small@1", "p", text)])
    [rated] = client.fetch(-1).ok_value
    assert rated.good and rated.request_id == "r-1"
    weights = start_standin(WeightsStandIn, fetch_s=0.0)
    store = HttpWeightStore(f"http://{weights.address}")
    assert store.available("small@1").is_ok()
    service = start_standin(ServiceStandIn)
    answer = HttpPlainService().call(
        service.address, "POST", "/x", {"Idempotency-Key": "k"}, b"{}", 2.0
    )
    assert answer.ok_value.status == 200
    assert service.seen()["keys"] == {"k": 1}
