"""Tests of the rates at which controllers send requests to the store and to the cloud."""

from fakes.scenarios import started_cluster


def test_the_watches_of_all_controllers_use_a_limited_share_of_the_request_rate() -> None:
    cluster = started_cluster(nodes=3)
    rps = cluster.nodes["n0"].settings.facts.state.rps
    pauses = [node.watch_step() for node in cluster.nodes.values()]
    assert sum(1.0 / pause for pause in pauses) <= 0.35 * rps, "even if every change ends every watch request"


def test_calls_to_the_cloud_stay_within_the_rate_limit() -> None:
    cluster = started_cluster(machines=0)
    node = cluster.nodes["n0"]
    started_at = cluster.clock.now
    for _ in range(30):
        node.cloud_operations.pace()
    assert 30 / (cluster.clock.now - started_at) < 3.0 * 1.3
