"""What the demonstration does, and what it checks."""

import json
import random
from typing import NamedTuple

from cactusmux_fakes import layers
from cactusmux_fakes import pool
import gevent

from . import callers
from . import fleet as fleet_lib

SEED = 20261204
MAX_TOKENS = 40
SLOW_TOKENS = 400


class DraftPlan(NamedTuple):
    """One draft to request, and who requests it."""

    service: str
    model: str
    adapter: str
    organisation: str
    prompt: str
    max_tokens: int = MAX_TOKENS


DRAFTS = (
    DraftPlan(
        'steppe-thread',
        'drafter',
        'almaty-house',
        'almaty-retail',
        'Season outlook for linen coats',
    ),
    DraftPlan(
        'steppe-thread',
        'drafter',
        'astana-studio',
        'astana-retail',
        'Colour brief: ochre and indigo',
    ),
    DraftPlan(
        'consigna-arte',
        'conditions',
        'es-pe',
        'galeria-barranco',
        'Informe de conservacion: oleo sobre lienzo, 1931',
    ),
    DraftPlan(
        'consigna-arte',
        'conditions',
        'es-pe',
        'galeria-miraflores',
        'Carta al consignante: dos acuarelas',
    ),
)


class Tally:
    """Counts what callers got, and what was wrong with it."""

    def __init__(self) -> None:
        self.requests = 0
        self.completed = 0
        self.refused = 0
        self.faults: list[str] = []

    def add(self, name: str, answer: callers.Answer) -> None:
        """Counts an answer; one that is neither whole nor refused is not."""
        self.requests += 1
        if answer.completed:
            self.completed += 1
        elif answer.not_run:
            self.refused += 1
        else:
            self.faults.append(f'{name}: {answer.problem}')


class Story:
    """Runs all scenes against a fleet."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.tally = Tally()
        self._fleet = fleet
        self._rng = random.Random(SEED)
        self._caller = callers.Caller(fleet.addresses()[0], self._rng)
        self._caller.refresh()

    def run(self) -> None:
        """Runs the scenes and prints what happens."""
        self._drafts_side_by_side()
        self._repeatable_calls()
        self._non_repeatable_calls()
        self._stage_dies()
        self._instance_stops()

    def duplicates(self) -> int:
        """Returns runs beyond the first of requests that may run once."""
        return sum(
            count - 1
            for key, count in self._fleet.pool.plain_runs().items()
            if key.startswith('once-')
        )

    def layer_violations(self) -> int:
        """Returns tokens whose layers did not run once, in order."""
        return len(self._fleet.pool.fabric.ledger.violations())

    def _drafts_side_by_side(self) -> None:
        print('\nDrafts of both firms, side by side:')
        plans = [plan for plan in DRAFTS for _ in range(3)]
        tasks = [gevent.spawn(self._draft, plan) for plan in plans]
        gevent.joinall(tasks)
        for plan, task in zip(DRAFTS, tasks[::3], strict=True):
            print(f'  {plan.service} / {plan.adapter}: "{plan.prompt}"')
            print(f'    -> {task.value.text[:60]}...')

    def _repeatable_calls(self) -> None:
        print('\nLook-ups, which may be repeated:')
        for service, kind, organisation in (
            ('steppe-thread', 'archive-lookup', 'almaty-retail'),
            ('consigna-arte', 'record-lookup', 'galeria-barranco'),
        ):
            for number in range(3):
                body = json.dumps({'record': number}).encode()
                answer = self._caller.plain(service, kind, organisation, body)
                self.tally.add(kind, answer)
                print(f'  {kind} {number}: {_told(answer)}')

    def _non_repeatable_calls(self) -> None:
        print('\nOrders and registrations, each sent three times:')
        for service, kind, organisation in (
            ('steppe-thread', 'subscription-order', 'almaty-retail'),
            ('steppe-thread', 'invoice', 'astana-retail'),
            ('consigna-arte', 'registration', 'galeria-miraflores'),
        ):
            key = f'once-{kind}'
            body = json.dumps({'kind': kind}).encode()
            for number in range(3):
                answer = self._caller.plain(
                    service, kind, organisation, body, key
                )
                self.tally.add(kind, answer)
                print(f'  {kind}, try {number + 1}: {_told(answer)}')
            runs = self._fleet.pool.plain_runs().get(key, 0)
            print(f'    the service ran it {runs} time(s)')

    def _stage_dies(self) -> None:
        print('\nA target dies in the middle of a draft:')
        plan = DRAFTS[0]._replace(max_tokens=120)
        engines = list(self._fleet.pool.engine_by_address.values())

        def kill_a_busy_one(tokens: int) -> None:
            if tokens != 60:
                return
            for server in engines:
                if server.engine.running and not server.engine.dead:
                    print(f'  token 60: target {server.address} dies')
                    server.stop()
                    return

        answer = self._draft(plan, kill_a_busy_one)
        print(f'  whole answer all the same: {answer.completed}')

    def _instance_stops(self) -> None:
        print('\nAn instance is stopped as planned while it streams:')
        process = self._fleet.processes[-1]
        caller = callers.Caller(process.plan.address, self._rng)

        def stop_it(tokens: int) -> None:
            if tokens == 20:
                print(f'  token 20: {process.plan.instance_id} gets SIGTERM')
                process.terminate()

        plan = DRAFTS[2]._replace(max_tokens=SLOW_TOKENS)
        answer = self._draft(plan, stop_it, caller)
        print(f'  {SLOW_TOKENS} tokens, whole: {answer.completed}')
        # It has no effect on an instance that is stopping already.
        process.terminate()
        status = process.wait()
        print(f'  it ended with status {status}')
        if status != 0:
            self.tally.faults.append(f'instance ended with {status}')

    def _draft(
        self,
        plan: DraftPlan,
        on_token: callers.OnToken | None = None,
        caller: callers.Caller | None = None,
    ) -> callers.Answer:
        body = {
            'model': f'{plan.model}:{plan.adapter}',
            'prompt': plan.prompt,
            'max_tokens': plan.max_tokens,
            'user': plan.organisation,
        }
        answer = (caller or self._caller).draft(plan.service, body, on_token)
        self.tally.add(plan.prompt, answer)
        if answer.completed and answer.text != _expected_text(plan):
            self.tally.faults.append(f'{plan.prompt}: wrong answer')
        return answer


def _expected_text(plan: DraftPlan) -> str:
    layer_count = next(
        layout.holding.last
        for layout in pool.LAYOUTS
        if layout.holding.model == plan.model
    )
    texts = layers.expected_texts(
        plan.model,
        'v1',
        plan.adapter,
        plan.prompt,
        layer_count,
        plan.max_tokens,
    )
    return ''.join(texts)


def _told(answer: callers.Answer) -> str:
    if answer.completed:
        return f'done ({answer.status})'
    outcome = answer.problem.get('outcome', 'no answer')
    return f'{outcome}: {answer.problem.get("reason")}'
