"""Measures the whole path: real instances with fake targets."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import statistics  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

from cactusmux_base import timers  # noqa: E402
from cactusmux_fakes import engine_server  # noqa: E402
from cactusmux_fakes import engines  # noqa: E402
from cactusmux_fakes import layers  # noqa: E402
from cactusmux_platform import http_targets  # noqa: E402
from cactusmux_platform import targets  # noqa: E402
import gevent  # noqa: E402
import psutil  # noqa: E402

from demo import fleet as fleet_lib  # noqa: E402

from . import figures  # noqa: E402
from . import streams  # noqa: E402

COMMAND = 'python -m bench.bench_path'
INSTANCES = 2
LOAD_STREAMS = 60
LOAD_TOKENS = 200
SPREAD_S = 1.0
RECOVERY_STREAMS = 24
RECOVERY_TOKENS = 300
FAULTS_PER_KIND = 3
HALFWAY_S = 0.6
DIRECT_REQUESTS = 40
MODEL_LAYERS = 8
STAGE_RANGES = ((0, 3), (3, 6), (6, 8))


def main() -> None:
    """Runs all measurements and records their figures."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_lib.Fleet(INSTANCES, pathlib.Path(folder))
        try:
            fleet.start()
            measured = measure_load(fleet)
            measured += measure_recovery(fleet)
            measured += count_violations(fleet)
            measured += measure_mass_failure(fleet)
        finally:
            fleet.stop()
    figures.record('path', measured)
    for figure in measured:
        print(f'{figure.name} = {figure.value:.6g} {figure.unit}')


def measure_load(fleet: fleet_lib.Fleet) -> list[figures.Figure]:
    """Measures CPU per token and the latency added to the first token."""
    direct_s = _direct_first_token_s()
    cpu_before = _cpu_s(fleet)
    tasks = streams.run_streams(
        fleet.addresses(), LOAD_STREAMS, LOAD_TOKENS, SPREAD_S
    )
    gevent.joinall(tasks)
    cpu_s = _cpu_s(fleet) - cpu_before
    records = [task.value for task in tasks]
    tokens = sum(len(record.token_times) for record in records)
    first_p95 = streams.percentile([r.first_token_s for r in records], 95)
    return [
        _figure('token_cpu_us', cpu_s / tokens * 1e6, 'us', '<= 100'),
        _figure(
            'first_token_added_p95_s', first_p95 - direct_s, 's', '<= 0.25'
        ),
        _figure(
            'foreign_answers',
            _count_foreign_answers(records),
            'answers',
            '== 0',
        ),
        _figure(
            'incomplete_answers',
            sum(not record.answer.completed for record in records),
            'answers',
            '== 0',
        ),
    ]


def measure_recovery(fleet: fleet_lib.Fleet) -> list[figures.Figure]:
    """Measures the gap in streams when a stage of their route fails."""
    gaps = []
    unfinished = 0
    for number in range(2 * FAULTS_PER_KIND):
        tasks = streams.run_streams(
            fleet.addresses(), RECOVERY_STREAMS, RECOVERY_TOKENS, 0.1
        )
        gevent.sleep(HALFWAY_S)
        server = _find_busiest(fleet)
        if number % 2:
            server.engine.freeze()
        else:
            server.engine.dead = True
        gevent.joinall(tasks)
        server.engine.dead = False
        server.engine.thaw()
        records = [task.value for task in tasks]
        gaps += [r.longest_gap_s for r in records if _was_retried(fleet, r)]
        unfinished += sum(not r.answer.completed for r in records)
        # The next fault must start with all engines known.
        fleet.wait_for_targets()
    return [
        _figure('stream_recovery_p50_s', statistics.median(gaps), 's', ''),
        _figure(
            'stream_recovery_p99_s',
            streams.percentile(gaps, 99),
            's',
            '<= 1.0',
        ),
        _figure('streams_hit', len(gaps), 'streams', '>= 20'),
        _figure('streams_lost', unfinished, 'streams', '== 0'),
    ]


def measure_mass_failure(fleet: fleet_lib.Fleet) -> list[figures.Figure]:
    """Kills one first-stage target per region at the same time."""
    tasks = streams.run_streams(
        fleet.addresses(), RECOVERY_STREAMS, RECOVERY_TOKENS, 0.1
    )
    gevent.sleep(HALFWAY_S)
    first_by_region = {
        fleet.pool.region(server.address): server
        for server in _holders_of_first_layers(fleet)
    }
    for server in first_by_region.values():
        server.engine.dead = True
    gevent.joinall(tasks)
    records = [task.value for task in tasks]
    gaps = [record.longest_gap_s for record in records]
    lost = sum(not record.answer.completed for record in records)
    return [
        _figure('mass_failure_recovery_s', max(gaps), 's', '<= 5'),
        _figure('mass_failure_streams_lost', lost, 'streams', '== 0'),
    ]


def count_violations(fleet: fleet_lib.Fleet) -> list[figures.Figure]:
    """Counts tokens whose layers did not run in order once."""
    violations = fleet.pool.fabric.ledger.violations()
    return [
        _figure('layer_violations', len(violations), 'tokens', '== 0'),
    ]


def _figure(name: str, value: float, unit: str, target: str) -> figures.Figure:
    return figures.Figure(name, round(value, 6), unit, target, COMMAND)


def _cpu_s(fleet: fleet_lib.Fleet) -> float:
    total = 0.0
    for process in fleet.processes:
        times = psutil.Process(process.pid).cpu_times()
        total += times.user + times.system
    return total


def _direct_first_token_s() -> float:
    """Returns the median time to the first token without an instance."""
    timer = timers.GeventTimers()
    configs = [engines.EngineConfig() for _ in STAGE_RANGES]
    _, servers = engine_server.start_engines(timer, configs)
    stages = []
    for server, (first, last) in zip(servers, STAGE_RANGES, strict=True):
        server.engine.hold(targets.Holding('drafter', 'v1', first, last))
        stages.append(targets.Stage(server.address, first, last))
    client = http_targets.HttpTargetClient()
    times = []
    for number in range(DIRECT_REQUESTS):
        request = targets.RoutedRequest(
            f'direct-{number}', 1, 'drafter', 'v1', '', 'p', 1, tuple(stages)
        )
        sent_at = time.monotonic()
        stream = client.open_stream(request, 5.0).unwrap()
        next(iter(stream))
        times.append(time.monotonic() - sent_at)
        stream.close()
    for server in servers:
        server.stop()
    return statistics.median(times)


def _count_foreign_answers(records: list[streams.StreamRecord]) -> int:
    """Counts answers that differ from those of their own prompts."""
    count = 0
    for index, record in enumerate(records):
        texts = layers.expected_texts(
            'drafter',
            'v1',
            'almaty-house',
            f'prompt {index}',
            MODEL_LAYERS,
            len(record.token_times),
        )
        count += record.answer.text != ''.join(texts)
    return count


def _holders_of_first_layers(
    fleet: fleet_lib.Fleet,
) -> list[engine_server.EngineServer]:
    """Returns engines with layer 0 of the drafter, in a fixed order."""
    return [
        server
        for server in fleet.pool.engine_by_address.values()
        for held in server.engine.report().holdings
        if held.model == 'drafter' and held.first == 0
    ]


def _find_busiest(fleet: fleet_lib.Fleet) -> engine_server.EngineServer:
    servers = fleet.pool.engine_by_address.values()
    return max(servers, key=lambda server: server.engine.running)


def _was_retried(fleet: fleet_lib.Fleet, record: streams.StreamRecord) -> bool:
    """Returns whether a stream needed more than one attempt."""
    ledger = fleet.pool.fabric.ledger
    return ledger.attempts(record.answer.request_id) > 1


if __name__ == '__main__':
    main()
