"""Tests of placement: shares, floors, zones, repair, versions, bounds."""

import collections

from cactusmux_control import copies
from cactusmux_control import documents
from cactusmux_control import entitlements
from cactusmux_control import packing
from cactusmux_control import placement
from cactusmux_control import placement_types
from cactusmux_control import tilings
from cactusmux_platform import targets
import pytest

ALL_AT_ONCE = placement_types.Limits(max_changes=10_000)


def make_pool(
    count: int, zones: int = 3, memory_mb: int = 5000
) -> tuple[placement_types.PoolTarget, ...]:
    return tuple(
        placement_types.PoolTarget(
            address=f'10.0.{number}.1:80',
            region='r1',
            zone=f'z{number % zones}',
            accelerator=f'kind{number % 2}',
            memory_mb=memory_mb,
            speed=1000.0 * (1 + number % 2),
        )
        for number in range(count)
    )


def make_document(
    service: str,
    share: float = 0.5,
    floor: float = 0.3,
    lend: bool = True,
    **model_by_name: documents.Model,
) -> documents.ServiceDocument:
    return documents.ServiceDocument(
        service=service,
        pool=documents.Pool(share, floor, lend),
        model_by_name=model_by_name,
        kind_by_name={},
        organisation_by_name={},
        plain_service_by_name={},
    )


MODEL = documents.Model(6, 4096, 500, 'v1', ('a',))
BOTH = (
    make_document('art', conditions=MODEL),
    make_document('thread', drafter=MODEL._replace(layers=8, min_copies=2)),
)


def plan_all(
    service_documents: tuple[documents.ServiceDocument, ...],
    pool: tuple[placement_types.PoolTarget, ...],
    held: dict[str, placement_types.Holdings] | None = None,
    limits: placement_types.Limits = ALL_AT_ONCE,
) -> placement_types.Plan:
    """Plans for a pool in which all intended holdings are loaded."""
    known = held or {}
    return placement.plan(
        placement_types.Situation(service_documents, pool, known, known),
        limits,
    )


def find_copies(
    held: dict[str, placement_types.Holdings],
    pool: tuple[placement_types.PoolTarget, ...],
    name: str,
    model: documents.Model,
) -> list[tilings.Tiling]:
    zone_by_address = {target.address: target.zone for target in pool}
    pieces = [
        tilings.Piece(one.first, one.last, zone_by_address[address], address)
        for address, holdings in held.items()
        for one in holdings
        if (one.model, one.version, one.adapters)
        == (name, model.version, model.adapters)
    ]
    return tilings.find_tilings(pieces, model.layers).tilings


def used_mb(
    held: dict[str, placement_types.Holdings],
    name: str,
    model: documents.Model,
) -> int:
    return sum(
        (one.last - one.first) * model.layer_mb
        for holdings in held.values()
        for one in holdings
        if one.model == name
    )


def test_copies_are_whole_fit_in_memory_and_follow_shares() -> None:
    pool = make_pool(24)
    plan = plan_all(BOTH, pool)
    assert plan.shortfalls == ()
    for holdings in plan.holdings_by_address.values():
        layers = sum(one.last - one.first for one in holdings)
        assert layers * MODEL.layer_mb <= 5000 * ALL_AT_ONCE.usable_memory
    drafter = BOTH[1].model_by_name['drafter']
    art = used_mb(plan.holdings_by_address, 'conditions', MODEL)
    thread = used_mb(plan.holdings_by_address, 'drafter', drafter)
    found = find_copies(plan.holdings_by_address, pool, 'drafter', drafter)
    assert thread == len(found) * drafter.layers * drafter.layer_mb
    assert abs(art - thread) <= drafter.layers * drafter.layer_mb


def test_plan_is_deterministic_and_keeps_existing_copies() -> None:
    pool = make_pool(24)
    first = plan_all(BOTH, pool)
    again = plan_all(BOTH[::-1], pool[::-1])
    assert again == first
    kept = plan_all(BOTH, pool, first.holdings_by_address)
    assert kept.holdings_by_address == first.holdings_by_address


def test_copies_spread_over_zones_and_stay_within_one() -> None:
    pool = make_pool(24)
    plan = plan_all(BOTH, pool)
    found = find_copies(plan.holdings_by_address, pool, 'conditions', MODEL)
    assert all(len({piece.zone for piece in c}) == 1 for c in found)
    count_by_zone = collections.Counter(copy[0].zone for copy in found)
    assert len(count_by_zone) == 3
    assert max(count_by_zone.values()) - min(count_by_zone.values()) <= 1


@pytest.mark.parametrize('greed', [0.4, 0.5])
def test_floor_is_independent_of_the_other_document(
    greed: float,
) -> None:
    pool = make_pool(24)
    greedy = make_document(
        'art', 1.0, greed, conditions=MODEL._replace(min_copies=500)
    )
    small = make_document('thread', 0.01, 0.3, drafter=MODEL)
    plan = plan_all((greedy, small), pool)
    floor_mb = 0.3 * 24 * 5000 * 0.8 * 0.85
    copy_mb = MODEL.layers * MODEL.layer_mb
    assert used_mb(plan.holdings_by_address, 'drafter', MODEL) > (
        floor_mb - copy_mb
    )
    assert isinstance(plan.shortfalls[0], placement_types.CopiesMissing)


def test_floor_is_reclaimed_from_a_pool_filled_by_another_service() -> None:
    pool = make_pool(24)
    alone = plan_all((make_document('art', conditions=MODEL),), pool)
    plan = plan_all(BOTH, pool, alone.holdings_by_address)
    drafter = BOTH[1].model_by_name['drafter']
    found = find_copies(plan.holdings_by_address, pool, 'drafter', drafter)
    assert len(found) >= 5


@pytest.mark.parametrize(
    ('floors', 'expected'),
    [
        ((0.3, 0.3), (0.3, 0.3)),
        ((0.9, 0.3), (0.7, 0.3)),
        ((0.9, 0.8), (0.5, 0.5)),
        ((0.0, 1.0), (0.0, 1.0)),
    ],
)
def test_floors_exceeding_the_pool_are_reduced_from_the_highest(
    floors: tuple[float, float], expected: tuple[float, float]
) -> None:
    parts = entitlements.divide_floors(
        [make_document('a', 1, floors[0]), make_document('b', 1, floors[1])]
    )
    assert (parts['a'], parts['b']) == pytest.approx(expected)


def test_share_below_floor_is_raised_to_it() -> None:
    parts = entitlements.divide_pool(
        [make_document('a', 0.1, 0.4), make_document('b', 0.9, 0.0)]
    )
    assert (parts['a'], parts['b']) == pytest.approx((0.4, 0.6))


def test_unused_memory_is_lent_only_when_the_document_allows() -> None:
    pool = make_pool(24)
    copies_by_lend = {}
    for lend in (True, False):
        huge = MODEL._replace(layers=60, min_copies=0)
        idle = make_document('thread', lend=lend, drafter=huge)
        both = (make_document('art', conditions=MODEL), idle)
        plan = plan_all(both, pool)
        copies_by_lend[lend] = len(
            find_copies(plan.holdings_by_address, pool, 'conditions', MODEL)
        )
    assert copies_by_lend[True] > copies_by_lend[False]


def test_dead_stage_is_replaced_and_the_rest_of_its_copy_stays() -> None:
    pool = make_pool(24)
    before = plan_all(BOTH, pool).holdings_by_address
    for dead in pool:
        left = tuple(target for target in pool if target != dead)
        plan = plan_all(BOTH, left, before)
        changed = [
            address
            for address, holdings in plan.holdings_by_address.items()
            if holdings != before[address]
        ]
        assert len(changed) <= 2 * len(before[dead.address])
        found = find_copies(
            plan.holdings_by_address, left, 'conditions', MODEL
        )
        assert len(found) >= MODEL.min_copies


def test_dead_zone_leaves_every_model_at_its_minimum() -> None:
    pool = make_pool(24)
    before = plan_all(BOTH, pool).holdings_by_address
    left = tuple(target for target in pool if target.zone != 'z1')
    plan = plan_all(BOTH, left, before)
    assert plan.shortfalls == ()
    kept = [a for a, h in plan.holdings_by_address.items() if h == before[a]]
    assert len(kept) >= len(left) // 2


def test_pool_too_small_names_the_missing_copies() -> None:
    plan = plan_all(BOTH, make_pool(3, memory_mb=1500))
    missing = [
        one for one in plan.shortfalls if one.reason == 'copies_missing'
    ]
    assert missing


def test_empty_pool_names_all_models_as_missing() -> None:
    plan = plan_all(BOTH, ())
    assert plan.holdings_by_address == {}
    assert [one.reason for one in plan.shortfalls] == ['copies_missing'] * 2


def test_changes_of_a_round_are_bounded() -> None:
    pool = make_pool(60)
    limits = placement_types.Limits(max_changes=12)
    held: dict[str, placement_types.Holdings] = {}
    for _ in range(30):
        after = plan_all(BOTH, pool, held, limits).holdings_by_address
        changed = sum(after[a] != held.get(a, ()) for a in after)
        # One copy may exceed the limit.
        assert changed <= 12 + 3
        if not changed:
            break
        held = after
    assert held == after
    assert len(find_copies(held, pool, 'conditions', MODEL)) > 5


def test_minimum_is_taken_from_a_full_pool_beyond_the_bound() -> None:
    pool = make_pool(24, memory_mb=4000)
    full = placement_types.Limits(
        max_changes=10_000, headroom=0.0, hysteresis=0.0
    )
    alone = plan_all(
        (make_document('art', conditions=MODEL),), pool, limits=full
    )
    room = full._replace(max_changes=1)
    drafter = MODEL._replace(layers=24, min_copies=2)
    both = (
        make_document('art', conditions=MODEL),
        make_document('thread', drafter=drafter),
    )
    plan = plan_all(both, pool, alone.holdings_by_address, room)
    found = find_copies(plan.holdings_by_address, pool, 'drafter', drafter)
    assert len(found) == 2
    assert find_copies(plan.holdings_by_address, pool, 'conditions', MODEL)


def test_version_change_keeps_most_copies_loaded_throughout() -> None:
    pool = make_pool(24)
    held = plan_all(BOTH, pool).holdings_by_address
    before = len(find_copies(held, pool, 'conditions', MODEL))
    newer = MODEL._replace(version='v2')
    both = (make_document('art', conditions=newer), BOTH[1])
    fewest = before
    for _ in range(20):
        after = plan_all(both, pool, held).holdings_by_address
        loaded = {
            address: tuple(h for h in held[address] if h in after[address])
            for address in after
        }
        old = find_copies(loaded, pool, 'conditions', MODEL)
        new = find_copies(loaded, pool, 'conditions', newer)
        fewest = min(fewest, len(old) + len(new))
        held = after
    assert fewest >= 0.7 * before
    assert len(find_copies(held, pool, 'conditions', newer)) >= 0.9 * before
    assert not find_copies(held, pool, 'conditions', MODEL)


def test_version_without_room_is_reported_and_the_old_one_stays() -> None:
    pool = make_pool(2, zones=1, memory_mb=2500)
    before = plan_all((make_document('art', conditions=MODEL),), pool)
    newer = make_document('art', conditions=MODEL._replace(version='v2'))
    plan = plan_all((newer,), pool, before.holdings_by_address)
    assert plan.holdings_by_address == before.holdings_by_address
    assert plan.shortfalls == (
        placement_types.VersionWithoutRoom('conditions', 'v2'),
    )


def test_only_loaded_copy_stays_when_the_other_is_pinned() -> None:
    pool = make_pool(24)
    before = plan_all(BOTH, pool).holdings_by_address
    loaded, unloaded = find_copies(before, pool, 'conditions', MODEL)[:2]
    held = {
        piece.address: before[piece.address] for piece in loaded + unloaded
    }
    reported = {piece.address: before[piece.address] for piece in loaded}
    demands, _ = placement.list_demands(BOTH)
    allocation = packing.MemoryAllocation(
        pool,
        held,
        {demand.name: demand for demand in demands},
        ALL_AT_ONCE,
        frozenset(piece.address for piece in unloaded),
    )
    model = copies.ModelCopies(demands[0], allocation, reported)
    assert len(model.current) == 2
    assert model.find_droppable() is None


def test_slightly_smaller_pool_moves_no_copies() -> None:
    pool = make_pool(200)
    before = plan_all(BOTH, pool).holdings_by_address
    idle = [a for a, holdings in before.items() if not holdings]
    gone = set(idle[:4])
    assert gone
    left = tuple(target for target in pool if target.address not in gone)
    after = plan_all(BOTH, left, before).holdings_by_address
    assert all(after[address] == before[address] for address in after)


def test_pinned_target_keeps_its_intended_holdings() -> None:
    pool = make_pool(12)
    before = plan_all(BOTH, pool).holdings_by_address
    newer = (make_document('art', conditions=MODEL._replace(version='v2')),)
    pinned = frozenset(sorted(before)[:4])
    plan = placement.plan(
        placement_types.Situation(newer, pool, before, before, pinned),
        ALL_AT_ONCE,
    )
    for address in pinned:
        assert plan.holdings_by_address[address] == before[address]


def test_second_service_cannot_take_over_a_model_name() -> None:
    both = (
        make_document('art', drafter=MODEL),
        make_document('thread', drafter=MODEL._replace(version='v9')),
    )
    plan = plan_all(both, make_pool(12))
    assert plan.shortfalls == (
        placement_types.NameTaken('drafter', 'thread', 'art'),
    )


def test_wanted_variant_comes_first_on_a_target_that_holds_both() -> None:
    pool = make_pool(2, zones=1, memory_mb=9000)
    old = plan_all((make_document('art', conditions=MODEL),), pool)
    more = MODEL._replace(adapters=('a', 'b'))
    plan = plan_all(
        (make_document('art', conditions=more),),
        pool,
        old.holdings_by_address,
    )
    for holdings in plan.holdings_by_address.values():
        adapters = [one.adapters for one in holdings]
        assert adapters == sorted(adapters, key=len, reverse=True)
    assert find_copies(plan.holdings_by_address, pool, 'conditions', more)


def test_tilings_combine_contiguous_pieces() -> None:
    pieces = [
        tilings.Piece(0, 2, 'z1', 'a'),
        tilings.Piece(2, 6, 'z2', 'b'),
        tilings.Piece(0, 3, 'z1', 'c'),
        tilings.Piece(3, 6, 'z1', 'd'),
        tilings.Piece(4, 6, 'z1', 'e'),
    ]
    found = tilings.find_tilings(pieces, 6)
    addresses = [[piece.address for piece in one] for one in found.tilings]
    assert addresses == [['c', 'd'], ['a', 'b']]
    assert [piece.address for piece in found.spare] == ['e']


def test_best_cover_and_its_missing_ranges() -> None:
    pieces = [
        tilings.Piece(0, 2, 'z', 'a'),
        tilings.Piece(1, 5, 'z', 'b'),
        tilings.Piece(6, 8, 'z', 'c'),
    ]
    cover = tilings.best_cover(pieces)
    assert [piece.address for piece in cover] == ['b', 'c']
    assert tilings.missing_ranges(cover, 9) == [(0, 1), (5, 6), (8, 9)]


def test_unknown_model_is_dropped() -> None:
    pool = make_pool(6)
    stray = targets.Holding('gone', 'v1', 0, 6)
    held = {pool[0].address: (stray,)}
    plan = plan_all(BOTH, pool, held)
    assert stray not in plan.holdings_by_address[pool[0].address]
