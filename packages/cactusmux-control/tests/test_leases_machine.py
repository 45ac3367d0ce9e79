"""State machine: one valid authority at a time, rising fencing numbers."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_fakes import memory_store
from cactusmux_fakes import scripted_store
from cactusmux_fakes import skewed_timers
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

RATES = (0.99, 1.0, 1.01)
KEY = 'leases/orders'

FINE = scripted_store.Script()
SCRIPTS = (
    FINE,
    FINE,
    FINE,
    FINE._replace(before_s=0.5, after_s=0.5),
    FINE._replace(after_s=9.0),
    FINE._replace(before_s=11.0),
    FINE._replace(dropped=True),
    FINE._replace(unanswered=True),
    FINE._replace(unanswered=True, after_s=4.0),
    FINE._replace(late=True),
)
scripts = st.lists(st.sampled_from(SCRIPTS), max_size=4)
holder_numbers = st.integers(0, len(RATES) - 1)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders with clock drift, pauses and store faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.store_clients = [
            scripted_store.ScriptedStore(self.store, self.clock) for _ in RATES
        ]
        self.holders = [self._new_holder(n) for n in range(len(RATES))]
        self.number_by_fencing: dict[int, int] = {}
        self.highest = 0
        for store_client in self.store_clients:
            store_client.meanwhile = self.check

    def _new_holder(self, number: int) -> leases.LeaseHolder:
        return leases.LeaseHolder(
            self.store_clients[number],
            skewed_timers.SkewedTimers(self.clock, RATES[number]),
            metrics.MemoryMetrics(),
            leases.ORDER_LEASE,
            f'10.0.0.{number}:80',
        )

    @stateful.rule(number=holder_numbers, script=scripts)
    def step(self, number: int, script: list[scripted_store.Script]) -> None:
        self.store_clients[number].scripts = list(script)
        self.holders[number].step()
        self.store_clients[number].scripts = []

    @stateful.rule(number=holder_numbers, other=holder_numbers, script=scripts)
    def step_while_another_steps(
        self, number: int, other: int, script: list[scripted_store.Script]
    ) -> None:
        def step_other() -> None:
            self.check()
            if other != number:
                self.holders[other].step()
                self.check()

        self.store_clients[number].meanwhile = step_other
        self.step(number, script)
        self.store_clients[number].meanwhile = self.check

    @stateful.rule(number=holder_numbers, times=st.integers(1, 4))
    def run_on(self, number: int, times: int) -> None:
        for _ in range(times):
            self.step(number, [])
            self.clock.advance(2.0)
            self.check()

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 7.9, 8.5, 10.0]))
    def pause_all(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.rule(number=holder_numbers)
    def late_write_arrives(self, number: int) -> None:
        self.store_clients[number].deliver_late()

    @stateful.rule(number=holder_numbers)
    def replace_instance(self, number: int) -> None:
        self.holders[number].stop()
        self.check()
        self.holders[number] = self._new_holder(number)

    @stateful.rule(number=holder_numbers)
    def lose_instance(self, number: int) -> None:
        self.holders[number] = self._new_holder(number)

    @stateful.invariant()
    def check(self) -> None:
        valid = [
            (number, authority)
            for number, holder in enumerate(self.holders)
            if (authority := holder.authority()) is not None
        ]
        assert len(valid) <= 1
        for number, authority in valid:
            self._check_one(number, authority)

    def _check_one(
        self, number: int, authority: lease_types.Authority
    ) -> None:
        entry = self.store.get(KEY).unwrap()
        assert entry is not None
        assert entry.revision == authority.fencing
        assert authority.fencing >= self.highest
        self.highest = authority.fencing
        known = self.number_by_fencing.setdefault(authority.fencing, number)
        assert known == number


LeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestLeaseMachine = LeaseMachine.TestCase
