from cactusmux_base import ordered_set
from hypothesis import given
from hypothesis import strategies as st


class _Member:
    """Hashed by its address, as objects are by default."""


def test_members_keep_the_order_of_insertion():
    members = [_Member() for _ in range(100)]
    members.reverse()
    assert list(ordered_set.OrderedSet(members)) == members


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9))))
def test_same_members_as_a_plain_set(changes):
    ordered = ordered_set.OrderedSet[int]()
    plain = set()
    for is_added, member in changes:
        if is_added:
            ordered.add(member)
            plain.add(member)
        else:
            ordered.discard(member)
            plain.discard(member)
    assert len(ordered) == len(plain)
    assert set(ordered) == plain
    assert all(member in ordered for member in plain)


def test_a_member_added_again_keeps_its_place():
    ordered = ordered_set.OrderedSet([1, 2, 3])
    ordered.add(1)
    assert list(ordered) == [1, 2, 3]
