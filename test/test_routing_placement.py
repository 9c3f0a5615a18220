"""Load patterns that the choice of a server answers; no network."""

import collections

import pytest
from _routing import FakeClock, make_request, make_server

from amaranthlug.protocol.routing.engine_queues import (
    EngineQueues,
    ModelLatency,
)
from amaranthlug.protocol.routing.messages import PromptPart, ServerLoad
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.server_health import (
    MAX_REST_S,
    ServerHealthTracker,
)


class Pool:
    """A placement over servers `s0` to `sN`."""

    def __init__(self, count: int = 4, zones: int = 1):
        """Creates idle servers."""
        self.clock = FakeClock()
        self.health = ServerHealthTracker(self.clock)
        self.queues = EngineQueues(self.clock)
        self.servers = [
            make_server(f"s{i}", zone=f"zone-{'abcd'[i % zones]}")
            for i in range(count)
        ]
        self.placement = Placement(
            "zone-a", self.health, self.queues, lambda s: 0.0, seed=1
        )

    def engine(self, **request):
        """Returns the engine chosen for a request."""
        return self.placement.pick_engine(
            self.servers, set(), make_request(**request), "m"
        )

    def plain(self, tried=frozenset()):
        """Returns the plain server chosen."""
        return self.placement.pick_plain(self.servers, set(tried))

    def see_head(self, server, tokens: int, took_s: float) -> None:
        """Lets an engine begin an answer after a time."""
        ticket = self.queues.sent(server, "m", tokens)
        self.clock.advance(took_s)
        self.queues.began(server, "m", tokens, ticket)


@pytest.fixture
def pool():
    """Returns a pool of four servers in one zone."""
    return Pool()


def test_long_prompts_meet_short_ones(pool):
    """An engine that reads a long prompt gets no short one behind it."""
    busy = pool.engine(prompt=())
    pool.queues.sent(busy, "m", 50_000)
    chosen = {pool.engine(prompt=()).server_id for _ in range(40)}
    assert busy.server_id not in chosen


def test_queue_caused_by_other_nodes_is_seen_by_late_first_events(pool):
    """What others sent is unknown; a late first event shows it."""
    slow = pool.servers[0]
    pool.see_head(slow, 100, 2.0)
    chosen = {pool.engine(prompt=()).server_id for _ in range(40)}
    assert slow.server_id not in chosen


def test_seen_queue_fades(pool):
    """An engine that was behind some seconds ago is used again."""
    slow = pool.servers[0]
    pool.see_head(slow, 100, 2.0)
    pool.clock.advance(12.0)
    chosen = {pool.engine(prompt=()).server_id for _ in range(60)}
    assert slow.server_id in chosen


def test_overdue_first_event_counts_before_it_comes(pool):
    """A silent engine is avoided while its first event is overdue."""
    slow = pool.servers[1]
    pool.queues.sent(slow, "m", 100)
    pool.clock.advance(1.0)
    chosen = {pool.engine(prompt=()).server_id for _ in range(40)}
    assert slow.server_id not in chosen


def test_subject_returns_to_the_engine_that_keeps_it(pool):
    """Long shared parts are worth a small difference of load."""
    prompt = (PromptPart("subject", 6_000), PromptPart("own", 100))
    first = pool.engine(prompt=prompt)
    assert {pool.engine(prompt=prompt).server_id for _ in range(20)} == {
        first.server_id
    }


def test_nodes_that_do_not_talk_choose_the_same_keeper():
    """The order of keepers depends on the subject alone."""
    prompt = (PromptPart("subject", 6_000), PromptPart("own", 100))
    assert (
        Pool().engine(prompt=prompt).server_id
        == Pool().engine(prompt=prompt).server_id
    )


def test_one_subject_is_hot(pool):
    """A hot subject spreads as soon as its keeper falls behind."""
    prompt = (PromptPart("hot", 2_000), PromptPart("own", 100))
    seen = collections.Counter()
    for _ in range(60):
        server = pool.engine(prompt=prompt)
        pool.queues.sent(server, "m", 2_100)
        pool.health.began(server)
        seen[server.server_id] += 1
    assert len(seen) == len(pool.servers)
    assert max(seen.values()) <= 60 / len(pool.servers) * 1.5


def test_stale_reports_fade():
    """A load that was reported long ago does not keep work away."""
    pool = Pool(2)
    pool.health.record_load(pool.servers[0], ServerLoad(40, 0, 8))
    assert {pool.plain().server_id for _ in range(20)} == {"s1"}
    pool.clock.advance(5.0)
    assert {pool.plain().server_id for _ in range(40)} == {"s0", "s1"}


def test_bytes_between_zones_are_saved_while_load_is_even():
    """Plain requests stay in the zone of the node."""
    pool = Pool(4, zones=4)
    assert {pool.plain().zone for _ in range(40)} == {"zone-a"}


def test_full_zone_spills_to_the_others():
    """A zone whose server is busy does not keep its requests."""
    pool = Pool(4, zones=4)
    for _ in range(16):
        pool.health.began(pool.servers[0])
    assert "zone-a" not in {pool.plain().zone for _ in range(20)}


def test_failing_server_gets_single_trials(pool):
    """A server that fails while its health check is good is left alone."""
    bad = pool.servers[2]
    for _ in range(4):
        pool.health.record_outcome(bad, True)
    assert bad not in [pool.plain() for _ in range(40)]
    pool.clock.advance(MAX_REST_S)
    assert pool.plain() == bad
    pool.health.began(bad)
    assert bad not in [pool.plain() for _ in range(40)]


def test_recovered_server_gets_work_again(pool):
    """Successful trials end the rest."""
    bad = pool.servers[2]
    for _ in range(4):
        pool.health.record_outcome(bad, True)
    for _ in range(8):
        pool.health.record_outcome(bad, False)
    assert not pool.health.is_bad(pool.health.get_or_create(bad))


def test_all_servers_fail(pool):
    """With no good server the bad ones are still asked."""
    for server in pool.servers:
        for _ in range(4):
            pool.health.record_outcome(server, True)
    assert pool.plain() is not None


def test_slow_but_healthy_server_gets_less(pool):
    """A server at a third of the others' pace is left to the last."""
    for server in pool.servers:
        pool.health.record_pace(
            server, 300.0 if server.server_id == "s3" else 90
        )
    assert "s3" not in {pool.plain().server_id for _ in range(40)}


def test_second_life_under_the_same_identity_starts_clean(pool):
    """What was learnt of a former life does not hold for the next."""
    old = pool.servers[0]
    for _ in range(6):
        pool.health.record_outcome(old, True)
    pool.see_head(old, 100, 3.0)
    born = make_server("s0", started_ms=2)
    assert pool.health.get_or_create(born).failure_share == 0.0
    assert pool.queues.wait_ms(born) == 0.0


def test_tried_servers_are_left_out(pool):
    """A repeat goes to another server."""
    tried = {server.instance_key for server in pool.servers[:3]}
    assert pool.plain(tried) == pool.servers[3]
    tried.add(pool.servers[3].instance_key)
    assert pool.plain(tried) is None


def test_pace_learns_the_time_without_a_queue():
    """Queues make times longer, never shorter: the low quantile counts."""
    latency = ModelLatency()
    for turn in range(400):
        queue = 0.0 if turn % 2 else 800.0
        latency.learn(300, 60 + queue)
        latency.learn(6_000, 60 + 6_000 * 0.024 + queue)
    assert 50 <= latency.start_ms <= 90
    assert 0.018 <= latency.read_ms <= 0.032


def test_large_prompt_stays_in_its_zone_while_the_wait_is_alike():
    """Bytes between zones are dear; a busy zone is left all the same."""
    pool = Pool(count=4, zones=2)
    body = b"x" * 12_000
    chosen = {pool.engine(prompt=(), body=body).zone for _ in range(40)}
    assert chosen == {"zone-a"}
    for server in pool.servers:
        if server.zone == "zone-a":
            pool.queues.sent(server, "m", 50_000)
    assert pool.engine(prompt=(), body=body).zone == "zone-b"


def test_small_request_goes_where_the_wait_is_short():
    """A wait that a large request puts up with sends a small one away."""
    pool = Pool(count=4, zones=2)
    for server in pool.servers:
        if server.zone == "zone-a":
            pool.queues.sent(server, "m", 8_000)
    assert pool.engine(prompt=(), body=b"x" * 500).zone == "zone-b"
    assert pool.engine(prompt=(), body=b"x" * 12_000).zone == "zone-a"


def looks(count: int) -> int:
    """Returns how often one choice among `count` engines looks at one."""
    pool = Pool(count)
    seen = 0
    look = pool.health.get_or_create

    def counted(server):
        nonlocal seen
        seen += 1
        return look(server)

    pool.health.get_or_create = counted
    pool.engine()
    return seen


def test_thousands_of_engines_are_compared_in_linear_time():
    """Ten times the engines take ten times the work, not a hundred times."""
    assert looks(400) < 12 * looks(40)


def test_choice_among_thousands_of_engines_looks_at_a_sample():
    """3,600 engines cost a node about what 100 do."""
    assert looks(3_600) < 2 * looks(60)


def test_keeper_of_a_subject_is_in_every_sample():
    """Nodes that compare different samples keep a subject at one engine."""
    prompt = (PromptPart("shared", 5_400), PromptPart("own", 200))
    chosen = set()
    for seed in range(5):
        pool = Pool(count=400, zones=4)
        pool.placement.random.seed(seed)
        chosen.add(pool.engine(prompt=prompt).server_id)
    assert len(chosen) == 1


def test_busy_zone_is_left_in_a_large_pool():
    """Some engines of other zones are in every sample."""
    pool = Pool(count=400, zones=4)
    for server in pool.servers:
        if server.zone == "zone-a":
            pool.queues.sent(server, "m", 80_000)
    assert pool.engine().zone != "zone-a"
