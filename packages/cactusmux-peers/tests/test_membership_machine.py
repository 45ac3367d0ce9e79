"""State machine test: views become correct after faults have ended."""

from absl import logging
from cactusmux_fakes import peer_fleet
from cactusmux_peers import members
from cactusmux_peers import update_queue
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

logging.set_verbosity(logging.ERROR)

MAX_INSTANCES = 8
INITIAL_INSTANCES = 4
CONVERGENCE_LIMIT_S = 90.0
PLACES = (
    peer_fleet.Place('kz-central', 'kz-1'),
    peer_fleet.Place('lima-metro', 'lima-1'),
)
# Upper bound for the fields of one update with long addresses.
MAX_UPDATE_BYTES = 160
NUMBERS = strategies.integers(0, MAX_INSTANCES - 1)


def address_of(number: int) -> str:
    return f'10.0.0.{number + 1}:7000'


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Joins, crashes, pauses, partitions, leaves, restarts and loss."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start_fleet(self, seed: int) -> None:
        self.fleet = peer_fleet.PeerFleet(seed)
        self.incarnations: dict[tuple[str, str], int] = {}
        for number in range(INITIAL_INSTANCES):
            self.fleet.start(number, PLACES[number % 2])

    def is_running(self, number: int) -> bool:
        return address_of(number) in self.fleet.node_by_address

    @stateful.rule(number=NUMBERS)
    def join_or_restart(self, number: int) -> None:
        if self.is_running(number):
            if len(self.fleet.node_by_address) > 1:
                self.fleet.crash(address_of(number))
        self.fleet.start(number, PLACES[number % 2])

    @stateful.rule(number=NUMBERS)
    def crash(self, number: int) -> None:
        if self.is_running(number) and len(self.fleet.node_by_address) > 2:
            self.fleet.crash(address_of(number))

    @stateful.rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        address = address_of(number)
        if address in self.fleet.paused or not self.is_running(number):
            return
        if len(self.fleet.node_by_address) > 2:
            self.fleet.leave(address)

    @stateful.rule(number=NUMBERS)
    def pause(self, number: int) -> None:
        if self.is_running(number):
            self.fleet.pause(address_of(number))

    @stateful.rule(number=NUMBERS)
    def resume(self, number: int) -> None:
        if address_of(number) in self.fleet.paused:
            self.fleet.resume(address_of(number))

    @stateful.rule(numbers=strategies.sets(NUMBERS, min_size=1))
    def split(self, numbers: set[int]) -> None:
        self.fleet.network.split(address_of(number) for number in numbers)

    @stateful.rule()
    def heal(self) -> None:
        self.fleet.network.heal()

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.network.loss = loss

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0, 10.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)

    @stateful.invariant()
    def incarnations_never_fall(self) -> None:
        for node in self.fleet.node_by_address.values():
            for member in node.service.view.all():
                pair = (node.service.instance_id, member.instance_id)
                assert member.incarnation >= self.incarnations.get(pair, 0)
                self.incarnations[pair] = member.incarnation

    @stateful.invariant()
    def no_instance_considers_itself_failed(self) -> None:
        for node in self.fleet.node_by_address.values():
            assert node.service.view.own.state is members.State.ALIVE

    @stateful.invariant()
    def messages_are_bounded(self) -> None:
        known = max(
            len(node.service.view.all())
            for node in self.fleet.node_by_address.values()
        )
        # At most a full view, plus digests and the sender's claims.
        bound = MAX_UPDATE_BYTES * (known + update_queue.MAX_UPDATES + 2)
        assert self.fleet.network.largest_call_bytes <= bound

    def teardown(self) -> None:
        if not hasattr(self, 'fleet'):
            return
        self.fleet.network.heal()
        self.fleet.network.loss = 0.0
        for address in list(self.fleet.paused):
            self.fleet.resume(address)
        took_s = self.fleet.advance_until_agreed(CONVERGENCE_LIMIT_S)
        assert took_s <= CONVERGENCE_LIMIT_S, self.fleet.views()


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=120,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestMembership = MembershipMachine.TestCase
