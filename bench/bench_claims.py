"""Measures claims: errors under faults, store writes and latency.

Run as ``python -m bench.bench_claims``. Loads run in real time in this
process, against an in-memory store that takes ``STORE_CALL_S`` per call.
"""

import random
import time
import tracemalloc
from typing import NamedTuple

from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import batched_claims
from cactusmux_control import claim_owner
from cactusmux_control import claim_writes
from cactusmux_control import claims
from cactusmux_control import direct_claims
from cactusmux_fakes import memory_store
from cactusmux_peers import transport
from cactusmux_platform import stores
import gevent
import numpy as np
from returns import result

from . import claim_sequences
from . import figures

COMMAND = 'python -m bench.bench_claims'
SEQUENCES = 1_000
STORE_CALL_S = 0.005
LOAD_S = 4.0
ORIGINS = 8
# 2%, 6% and 10% of 6,100 requests per second are not repeatable.
LOADS_PER_S = (122, 366, 610)
LOAD_AT_360_PER_S = 610
RANGES = claim_writes.RANGES
OTHER_RANGES = (16, 32)
MEMORY_CLAIMS = 20_000
# Order lease, documents and retention leases of 360 instances.
OTHER_WRITES_PER_S = 0.5 + 4_000 / 86_400 + 360 / 3_600


class SlowStore(memory_store.MemoryStore):
    """Delays each call; counts writes and the bytes written."""

    def __init__(self, timer: timers.TimerService) -> None:
        super().__init__(timer)
        self.writes = 0
        self.written_bytes = 0

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[stores.Entry, stores.StoreError]:
        self.writes += 1
        self.written_bytes += len(key) + len(value)
        gevent.sleep(STORE_CALL_S)
        return super().compare_and_swap(
            key, value, expected_revision, lease_id
        )

    def grant_lease(
        self, ttl_s: float
    ) -> result.Result[int, stores.StoreError]:
        self.writes += 1
        gevent.sleep(STORE_CALL_S)
        return super().grant_lease(ttl_s)


class OwnerForwarder(claim_writes.ClaimForwarder):
    """Calls the owner of each range in this process."""

    def __init__(self, owners: list[claim_owner.ClaimOwner]) -> None:
        self._owners = owners

    def forward(
        self, range_number: int, bids: tuple[claim_writes.ClaimWrite, ...]
    ) -> result.Result[tuple[claim_writes.Reply, ...], transport.PeerError]:
        owner = self._owners[range_number % len(self._owners)]
        return result.Success(owner.submit(range_number, bids))


class Load(NamedTuple):
    """The measurements at one request rate."""

    offered_per_s: float
    won: int
    writes_per_s: float
    p50_s: float
    p95_s: float
    cpu_us: float
    stored_bytes: float


def run_load(rate_per_s: float, ranges: int) -> Load:
    """Claims and finishes at a rate; with 0 ``ranges``, claims directly."""
    timer = timers.GeventTimers()
    store = SlowStore(timer)
    claimers = _make_claimers(store, timer, ranges)
    rng = random.Random(5)
    latencies: list[float] = []
    tasks = []
    started_at, cpu_at = time.monotonic(), time.process_time()
    due = started_at
    while due < started_at + LOAD_S:
        gevent.sleep(max(0.0, due - time.monotonic()))
        claimer = rng.choice(claimers)
        tasks.append(gevent.spawn(_claim, claimer, latencies))
        due += rng.expovariate(rate_per_s)
    gevent.joinall(tasks)
    elapsed_s = time.monotonic() - started_at
    cpu_s = time.process_time() - cpu_at
    writes_per_s = store.writes / elapsed_s
    for claimer in claimers:
        claimer.retry_pending()
    won = len(latencies)
    return Load(
        rate_per_s,
        won,
        writes_per_s,
        float(np.percentile(latencies, 50)),
        float(np.percentile(latencies, 95)),
        cpu_s / won * 1e6,
        store.written_bytes / won,
    )


def _make_claimers(
    store: SlowStore, timer: timers.TimerService, ranges: int
) -> list[claims.Claims]:
    metric = metrics.MemoryMetrics()
    settings = claims.ClaimSettings()
    claimers: list[claims.Claims] = []
    if not ranges:
        for number in range(ORIGINS):
            claimers.append(
                direct_claims.DirectClaims(
                    store, timer, metric, f'i-{number}', settings
                )
            )
        return claimers
    owners = [
        claim_owner.ClaimOwner(store, timer, metric, settings)
        for _ in range(ranges)
    ]
    for number in range(ORIGINS):
        claimer = batched_claims.BatchedClaims(
            OwnerForwarder(owners),
            timer,
            metric,
            f'i-{number}',
            settings,
            ranges,
        )
        claimer.start()
        claimers.append(claimer)
    return claimers


def _claim(claimer: claims.Claims, latencies: list[float]) -> None:
    request = claims.ClaimRequest('s', 'o', ids.new_id(), 'digest', 10.0)
    started_at = time.monotonic()
    won = claimer.claim(request).unwrap()
    latencies.append(time.monotonic() - started_at)
    assert isinstance(won, claims.Grant)
    claimer.finish(won, claims.Outcome(201, 'application/json', b'{}'))


def slope(loads: list[Load]) -> float:
    """Returns the store writes per claim, by least squares."""
    rates = [load.offered_per_s for load in loads]
    writes = [load.writes_per_s for load in loads]
    return float(np.polyfit(rates, writes, 1)[0])


def memory_per_claim_bytes() -> float:
    """Returns the memory that an owner needs per claim, in bytes."""
    timer = timers.ManualTimers()
    store = memory_store.MemoryStore(timer)
    settings = claims.ClaimSettings()
    owner = claim_owner.ClaimOwner(
        store, timer, metrics.MemoryMetrics(), settings
    )
    bids = []
    for _ in range(MEMORY_CLAIMS):
        request = claims.ClaimRequest('s', 'o', ids.new_id(), 'd' * 32, 10.0)
        grant = claims.new_grant(request, timer, 'i-1', settings)
        bids.append(claim_writes.ClaimWrite(request, grant.record))
    for first in range(0, MEMORY_CLAIMS, 200):
        owner.submit(0, bids[first : first + 200])
    # A new owner only keeps the records that it reads from the log.
    tracemalloc.start()
    reader = claim_owner.ClaimOwner(
        store, timer, metrics.MemoryMetrics(), settings
    )
    reader.submit(0, bids[:1])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / MEMORY_CLAIMS


def run_sequences(batched: bool) -> tuple[int, int, int, int]:
    """Returns requests, double runs, false "not run" and blocked keys."""
    totals = np.zeros(4, dtype=int)
    for seed in range(SEQUENCES):
        fleet = claim_sequences.run_sequence(seed, batched)
        totals += (
            fleet.requests,
            fleet.double_runs,
            fleet.false_not_run,
            fleet.blocked,
        )
    requests, double_runs, false_not_run, blocked = totals.tolist()
    return requests, double_runs, false_not_run, blocked


def main() -> None:
    """Runs all measurements, prints and records their figures."""
    direct_totals = run_sequences(batched=False)
    batched_totals = run_sequences(batched=True)
    direct = [run_load(rate, 0) for rate in LOADS_PER_S]
    batched = [run_load(rate, RANGES) for rate in LOADS_PER_S]
    others = {n: run_load(LOAD_AT_360_PER_S, n) for n in OTHER_RANGES}
    for load in (*direct, *batched, *others.values()):
        print(load)
    direct_at_360 = slope(direct) * LOAD_AT_360_PER_S + OTHER_WRITES_PER_S
    batched_at_360 = batched[-1].writes_per_s + OTHER_WRITES_PER_S
    both = np.add(direct_totals, batched_totals).tolist()
    values = [
        ('claim_fault_sequences', 2 * SEQUENCES, 'sequences', '>= 1000'),
        ('claim_fault_requests', both[0], 'requests', ''),
        ('double_runs', both[1], 'runs', '== 0'),
        ('false_not_run', both[2], 'answers', '== 0'),
        ('claim_keys_blocked', both[3], 'keys', '== 0'),
        ('store_writes_per_s_at_360', batched_at_360, 'writes/s', '<= 400'),
        ('claims_direct_writes_per_s_at_360', direct_at_360, 'writes/s', ''),
        ('claims_direct_writes_each', slope(direct), 'writes', ''),
        ('claims_batched_writes_each', slope(batched), 'writes', ''),
        ('claim_direct_p50_s', direct[-1].p50_s, 's', ''),
        ('claim_direct_p95_s', direct[-1].p95_s, 's', ''),
        ('claim_batched_p50_s', batched[-1].p50_s, 's', ''),
        ('claim_batched_p95_s', batched[-1].p95_s, 's', '<= 0.25'),
        ('claim_direct_cpu_us', direct[-1].cpu_us, 'us', ''),
        ('claim_batched_cpu_us', batched[-1].cpu_us, 'us', ''),
        ('claim_direct_stored_bytes', direct[-1].stored_bytes, 'bytes', ''),
        ('claim_batched_stored_bytes', batched[-1].stored_bytes, 'bytes', ''),
        ('claim_owner_memory_bytes', memory_per_claim_bytes(), 'bytes', ''),
    ]
    for ranges, load in others.items():
        name = f'claims_batched_writes_per_s_at_{ranges}_ranges'
        values.append((name, load.writes_per_s, 'writes/s', ''))
        name = f'claim_batched_p95_s_at_{ranges}_ranges'
        values.append((name, load.p95_s, 's', ''))
    recorded = [
        figures.Figure(name, round(float(value), 6), unit, target, COMMAND)
        for name, value, unit, target in values
    ]
    for figure in recorded:
        met = 'met' if figures.is_met(figure) else 'MISSED'
        print(figure.name, figure.value, figure.unit, figure.target, met)
    figures.record('claims', recorded)


if __name__ == '__main__':
    main()
