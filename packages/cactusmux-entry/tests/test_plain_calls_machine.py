"""State machine: a key runs at most once, and "not run" is correct."""

from cactusmux_fakes import scripted_store
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bench import claim_fleet

INSTANCES = 3
KEYS = 2
PAUSES_S = (0.0, 0.0, 1.0, 6.0, 30.0)

scripts = st.lists(
    st.builds(
        scripted_store.Script,
        before_s=st.sampled_from(PAUSES_S),
        after_s=st.sampled_from(PAUSES_S),
        dropped=st.booleans(),
        unanswered=st.booleans(),
        late=st.booleans(),
    ),
    max_size=4,
).map(tuple)
sends = st.builds(
    claim_fleet.Send,
    pause_s=st.sampled_from(PAUSES_S),
    not_sent=st.booleans(),
    refused=st.booleans(),
    lost_before=st.booleans(),
    lost_after=st.booleans(),
    late=st.booleans(),
    crash_before=st.booleans(),
    crash_after=st.booleans(),
)
mild_sends = st.builds(
    claim_fleet.Send,
    pause_s=st.sampled_from(PAUSES_S),
    not_sent=st.booleans(),
)


def build_steps(
    nested: st.SearchStrategy[tuple[claim_fleet.Step, ...]],
) -> st.SearchStrategy[claim_fleet.Step]:
    """Returns requests with other requests nested inside them."""
    return st.builds(
        claim_fleet.Step,
        instance=st.integers(0, INSTANCES - 1),
        key=st.integers(0, KEYS - 1),
        scripts=st.one_of(st.just(()), scripts),
        send=st.one_of(mild_sends, sends),
        resume=st.booleans(),
        nested=nested,
    )


leaf_steps = build_steps(st.just(()))
steps = build_steps(st.lists(leaf_steps, max_size=2).map(tuple))


class PlainCallsMachine(stateful.RuleBasedStateMachine):
    """Instances that race, pause, crash and lose responses of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.build_fleet()

    def build_fleet(self) -> claim_fleet.Fleet:
        return claim_fleet.Fleet(INSTANCES)

    @stateful.rule(step=steps)
    def request(self, step: claim_fleet.Step) -> None:
        self.fleet.request(step)

    @stateful.rule(number=st.integers(0, INSTANCES - 1))
    def crash(self, number: int) -> None:
        self.fleet.crash(number)

    @stateful.rule(seconds=st.sampled_from([1.0, 10.0, 100.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)

    @stateful.rule()
    def deliver_late(self) -> None:
        self.fleet.deliver_late()

    @stateful.rule()
    def retry_pending(self) -> None:
        self.fleet.retry_pending()

    @stateful.invariant()
    def check_guarantees(self) -> None:
        assert self.fleet.double_runs == 0
        assert self.fleet.false_not_run == 0
        assert self.fleet.foreign_answers == 0

    def teardown(self) -> None:
        self.fleet.heal(KEYS)
        self.check_guarantees()
        assert self.fleet.blocked == 0


class BatchedMachine(PlainCallsMachine):
    """The same with batched claims, whose owners change and lose calls."""

    def build_fleet(self) -> claim_fleet.Fleet:
        factory = claim_fleet.BatchedFactory()
        self.network = factory.network
        return claim_fleet.Fleet(INSTANCES, factory)

    @stateful.rule(number=st.integers(0, 2 * INSTANCES))
    def move_ownership(self, number: int) -> None:
        self.network.owner_number = number

    @stateful.rule(calls=st.integers(0, 3), answers=st.integers(0, 3))
    def lose(self, calls: int, answers: int) -> None:
        self.network.lose_calls = calls
        self.network.lose_answers = answers

    def teardown(self) -> None:
        self.network.lose_calls = self.network.lose_answers = 0
        super().teardown()


SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestDirect = PlainCallsMachine.TestCase
TestDirect.settings = SETTINGS
TestBatched = BatchedMachine.TestCase
TestBatched.settings = SETTINGS
