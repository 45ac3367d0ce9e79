from cactusmux_relay import watch_batching


def test_small_fleet_keeps_the_shortest_batch():
    for instances in range(watch_batching.SMALL_FLEET_SIZE + 1):
        assert watch_batching.delay_s(instances) == watch_batching.MIN_DELAY_S


def test_batch_grows_with_the_fleet_up_to_the_longest():
    batches = [watch_batching.delay_s(count) for count in range(400)]
    assert batches == sorted(batches)
    assert batches[-1] == watch_batching.MAX_DELAY_S


def test_batch_and_a_pull_end_within_the_time_to_know_a_leaving_target():
    """Gossip reaches a large fleet within 1 s, and a pull takes 0.25 s."""
    assert watch_batching.MAX_DELAY_S + 0.8 + 1.0 + 0.25 < 3.0
