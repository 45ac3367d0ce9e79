"""State machine: a served model stays served during changes and loads."""

from cactusmux_control import documents
from cactusmux_control import placement
from cactusmux_control import placement_types
from cactusmux_control import tilings
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

LIMITS = placement_types.Limits(max_changes=8)
NAMES = ('conditions', 'drafter')
FIRST = documents.Model(6, 4096, 500, 'v1', ('a',))


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Targets load and fail while documents change and plans are applied."""

    def __init__(self) -> None:
        super().__init__()
        self.model_by_name = {name: FIRST for name in NAMES}
        self.share = 0.5
        self.versions = 1
        self.pool: dict[str, placement_types.PoolTarget] = {}
        self.intended: dict[str, placement_types.Holdings] = {}
        self.reported: dict[str, placement_types.Holdings] = {}
        self.served: set[str] = set()
        self.numbers = 0

    @stateful.initialize(
        memories=st.lists(
            st.sampled_from([1500, 2500, 6000]), min_size=6, max_size=14
        )
    )
    def start(self, memories: list[int]) -> None:
        for memory_mb in memories:
            self.add_target(memory_mb)

    @stateful.rule(memory_mb=st.sampled_from([1500, 2500, 6000]))
    def add_target(self, memory_mb: int) -> None:
        number = self.numbers
        self.numbers += 1
        address = f'10.0.{number}.1:80'
        self.pool[address] = placement_types.PoolTarget(
            address, 'r1', f'z{number % 3}', 'kind', memory_mb, 1000.0
        )
        self.reported[address] = ()

    @stateful.rule(data=st.data())
    def kill_target(self, data: st.DataObject) -> None:
        if len(self.pool) > 4:
            address = data.draw(st.sampled_from(sorted(self.pool)))
            self._remove(address)
            self.served = {name for name in NAMES if self.is_served(name)}

    @stateful.rule(data=st.data())
    def restart_target_empty(self, data: st.DataObject) -> None:
        address = data.draw(st.sampled_from(sorted(self.pool)))
        self.reported[address] = ()
        self.served = {name for name in NAMES if self.is_served(name)}

    @stateful.rule(name=st.sampled_from(NAMES))
    def change_version(self, name: str) -> None:
        self.versions += 1
        self.model_by_name[name] = self.model_by_name[name]._replace(
            version=f'v{self.versions}'
        )

    @stateful.rule(name=st.sampled_from(NAMES))
    def add_adapter(self, name: str) -> None:
        model = self.model_by_name[name]
        if len(model.adapters) < 4:
            adapters = (*model.adapters, f'more{len(model.adapters)}')
            self.model_by_name[name] = model._replace(adapters=adapters)

    @stateful.rule(share=st.sampled_from([0.1, 0.5, 1.0]))
    def change_share(self, share: float) -> None:
        self.share = share

    @stateful.rule()
    def plan_and_order(self) -> None:
        plan = self._plan()
        for address, holdings in plan.holdings_by_address.items():
            self.intended[address] = holdings
            kept = [h for h in self.reported[address] if h in holdings]
            self.reported[address] = tuple(kept)
            self.check()
        self._check_memory()

    @stateful.rule(data=st.data())
    def finish_some_loads(self, data: st.DataObject) -> None:
        for address in sorted(self.pool):
            if address in self.intended and data.draw(st.booleans()):
                self.reported[address] = self.intended[address]
                self.check()

    @stateful.rule()
    def settle(self) -> None:
        """Completes all loads and plans until the plan is stable."""
        for _ in range(40):
            for address in self.pool:
                if address in self.intended:
                    self.reported[address] = self.intended[address]
            before = dict(self.intended)
            self.plan_and_order()
            if before == self.intended:
                return
        raise AssertionError('placement does not converge')

    @stateful.invariant()
    def check(self) -> None:
        now = {name for name in NAMES if self.is_served(name)}
        assert self.served <= now
        self.served = now

    def is_served(self, name: str) -> bool:
        pieces_by_variant: dict[
            placement_types.Variant, list[tilings.Piece]
        ] = {}
        for address, holdings in self.reported.items():
            for one in holdings:
                variant = placement_types.Variant(
                    one.model, one.version, one.adapters
                )
                if one.model == name:
                    pieces_by_variant.setdefault(variant, []).append(
                        tilings.Piece(one.first, one.last, '', address)
                    )
        return any(
            tilings.find_tilings(pieces, FIRST.layers).tilings
            for pieces in pieces_by_variant.values()
        )

    def _plan(self) -> placement_types.Plan:
        service_documents = tuple(
            documents.ServiceDocument(
                f'service-{name}',
                documents.Pool(share, 0.3),
                {name: self.model_by_name[name]},
                {},
                {},
                {},
            )
            for name, share in zip(NAMES, (self.share, 0.5), strict=True)
        )
        situation = placement_types.Situation(
            service_documents,
            tuple(self.pool.values()),
            self.intended,
            self.reported,
        )
        return placement.plan(situation, LIMITS)

    def _check_memory(self) -> None:
        for address, target in self.pool.items():
            layers = sum(
                one.last - one.first for one in self.intended[address]
            )
            room_mb = target.memory_mb * LIMITS.usable_memory
            assert layers * FIRST.layer_mb <= room_mb

    def _remove(self, address: str) -> None:
        del self.pool[address]
        del self.reported[address]
        self.intended.pop(address, None)


PlacementMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    database=None,
)
TestPlacementMachine = PlacementMachine.TestCase
