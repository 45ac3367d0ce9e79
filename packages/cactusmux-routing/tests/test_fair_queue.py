"""Tests of the service order of the fair queue."""

import collections

from cactusmux_routing import demand
from cactusmux_routing import fair_queue
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

ONE = demand.Leaf('s', 'one')
TWO = demand.Leaf('s', 'two')
EQUAL_WEIGHTS = {ONE: 10.0, TWO: 10.0}


def entry(
    number: int,
    leaf: demand.Leaf,
    kind: str = 'k',
    weight: float = 1.0,
    cost: float = 10.0,
) -> fair_queue.Entry:
    return fair_queue.Entry(float(number), number, leaf, kind, weight, cost)


def dequeue_next(queue: fair_queue.FairQueue) -> fair_queue.Entry:
    head = next(queue.heads(EQUAL_WEIGHTS))
    queue.dequeue(head, EQUAL_WEIGHTS)
    return head


def test_service_of_another_organisation_does_not_delay_a_kind() -> None:
    queue = fair_queue.FairQueue()
    queue.push(entry(0, ONE, 'low', weight=0.01))
    for number in range(1, 20):
        queue.push(entry(number, TWO, 'low', weight=0.01))
        queue.dequeue(entry(number, TWO, 'low', weight=0.01), EQUAL_WEIGHTS)
    queue.push(entry(30, ONE, 'high', weight=1.0))
    assert dequeue_next(queue).kind == 'high'


def test_idle_period_earns_no_credit() -> None:
    queue = fair_queue.FairQueue()
    for number in range(100):
        queue.push(entry(number, ONE))
    for _ in range(50):
        dequeue_next(queue)
    for number in range(100, 150):
        queue.push(entry(number, TWO))
    served = collections.Counter(dequeue_next(queue).leaf for _ in range(20))
    assert served[ONE] == served[TWO] == 10


def test_higher_weight_goes_first_only_up_to_the_maximum_lead() -> None:
    queue = fair_queue.FairQueue()
    for number in range(200):
        queue.push(entry(number, ONE, weight=9.0))
        queue.push(entry(1000 + number, TWO, weight=1.0))
    served = [dequeue_next(queue).leaf for _ in range(200)]
    ahead = served.index(TWO)
    assert (
        ahead * 10.0 / EQUAL_WEIGHTS[ONE] <= fair_queue.MAX_LEAD_S + 1.0 + 1e-9
    )
    assert served[ahead + 1 :].count(TWO) >= 0.45 * len(served[ahead + 1 :])


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['push', 'take', 'remove']),
            st.sampled_from([ONE, TWO]),
            st.sampled_from('xyz'),
        ),
        max_size=80,
    )
)
def test_every_entry_is_yielded_or_removed_once(steps: list) -> None:
    queue = fair_queue.FairQueue()
    waiting: dict[int, fair_queue.Entry] = {}
    for number, (step, leaf, kind) in enumerate(steps):
        if step == 'push':
            waiting[number] = entry(number, leaf, kind)
            queue.push(waiting[number])
        elif step == 'take' and waiting:
            del waiting[dequeue_next(queue).number]
        elif waiting:
            queue.remove(waiting.pop(next(iter(waiting))))
        assert sorted(queue.entries()) == sorted(waiting.values())
        costs = sum(e.cost for e in waiting.values() if e.leaf == leaf)
        assert queue.waiting_cost(leaf) == costs
        assert len(queue) == len(waiting)
