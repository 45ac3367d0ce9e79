from cactusmux_relay import watch_pace


def test_small_fleet_keeps_the_shortest_batch():
    for instances in range(watch_pace.SMALL_FLEET + 1):
        assert watch_pace.batch_s(instances) == watch_pace.SHORTEST_S


def test_batch_grows_with_the_fleet_up_to_the_longest():
    batches = [watch_pace.batch_s(count) for count in range(400)]
    assert batches == sorted(batches)
    assert batches[-1] == watch_pace.LONGEST_S


def test_batch_and_a_pull_end_within_the_time_to_know_a_leaving_target():
    """News reach a large fleet within a second, a pull takes a quarter."""
    assert watch_pace.LONGEST_S + 0.8 + 1.0 + 0.25 < 3.0
