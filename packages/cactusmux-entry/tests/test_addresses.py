"""Tests of the selection of addresses for callers."""

import collections
import random

from cactusmux_entry import addresses
from cactusmux_peers import members
import pytest

ALMATY = addresses.Place('kz-central-a', 'kz-central')
SAMPLES = 4_000


def member(
    number: int, zone: str = 'kz-central-a', **fields: object
) -> members.Member:
    name = f'10.0.0.{number}:80'
    region = zone.rpartition('-')[0]
    return members.Member(f'i-{number}', name, name, region, zone)._replace(
        **fields
    )


def build(view, load=lambda _: 0.0, **fields) -> addresses.Addresses:
    return addresses.Addresses(lambda: view, load, random.Random(7), **fields)


@pytest.mark.parametrize(
    'state',
    [
        members.State.LEAVING,
        members.State.SUSPECT,
        members.State.DEAD,
        members.State.LEFT,
    ],
)
def test_only_available_members_are_returned(state: members.State) -> None:
    view = [member(1), member(2, state=state)]
    answer = build(view).answer(ALMATY).unwrap()
    assert answer.addresses == ('10.0.0.1:80',)
    alone = build([member(2, state=state)]).answer(ALMATY)
    assert alone.failure() == addresses.NoAddresses('kz-central-a')


def test_own_zone_comes_first_and_another_zone_last() -> None:
    view = [member(n) for n in range(1, 9)]
    view.append(member(20, 'kz-central-b'))
    view.append(member(30, 'lima-metro-a'))
    answer = build(view).answer(ALMATY).unwrap().addresses
    assert len(answer) == addresses.MAX_ADDRESSES
    own = {f'10.0.0.{n}:80' for n in range(1, 9)}
    assert set(answer[:-1]) < own
    assert answer[-1] == '10.0.0.20:80'


def test_small_zone_is_completed_from_region_then_elsewhere() -> None:
    view = [
        member(3, 'lima-metro-a'),
        member(2, 'kz-central-b'),
        member(1),
    ]
    answer = build(view).answer(ALMATY).unwrap().addresses
    assert answer == ('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80')


LOADS = [
    ({}, {1: 1 / 3, 2: 1 / 3, 3: 1 / 3}),
    ({'i-1': 1.0}, {1: 0.2, 2: 0.4, 3: 0.4}),
    ({'i-1': 3.0, 'i-2': 1.0}, {1: 1 / 7, 2: 2 / 7, 3: 4 / 7}),
]


@pytest.mark.parametrize('load_by_id, share_by_number', LOADS)
def test_first_addresses_spread_by_load(
    load_by_id: dict[str, float], share_by_number: dict[int, float]
) -> None:
    view = [member(n) for n in (1, 2, 3)]
    selector = build(view, lambda m: load_by_id.get(m.instance_id, 0.0))
    first = collections.Counter(
        selector.answer(ALMATY).unwrap().addresses[0] for _ in range(SAMPLES)
    )
    for number, share in share_by_number.items():
        found = first[f'10.0.0.{number}:80'] / SAMPLES
        assert found == pytest.approx(share, abs=0.03)
