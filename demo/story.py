"""The scenarios of the demonstration and their checks."""

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
    """A generation request and its organisation."""

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
    """Counts responses, and lists those that are wrong."""

    def __init__(self) -> None:
        self.requests = 0
        self.completed = 0
        self.refused = 0
        self.faults: list[str] = []

    def add(self, name: str, answer: callers.Answer) -> None:
        """Counts a response; neither completed nor rejected is a fault."""
        self.requests += 1
        if answer.completed:
            self.completed += 1
        elif answer.not_run:
            self.refused += 1
        else:
            self.faults.append(f'{name}: {answer.problem}')


class Story:
    """Runs all scenarios against a fleet."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.tally = Tally()
        self._fleet = fleet
        self._rng = random.Random(SEED)
        self._caller = callers.Caller(fleet.addresses()[0], self._rng)
        self._caller.refresh()

    def run(self) -> None:
        """Runs the scenarios and prints what happens."""
        self._run_concurrent_drafts()
        self._run_repeatable_calls()
        self._run_non_repeatable_calls()
        self._run_target_failure()
        self._run_instance_shutdown()

    def duplicates(self) -> int:
        """Returns the number of repeated runs of requests that run once."""
        return sum(
            count - 1
            for key, count in self._fleet.pool.plain_runs().items()
            if key.startswith('once-')
        )

    def layer_violations(self) -> int:
        """Returns the number of tokens with layers not run in order once."""
        return len(self._fleet.pool.fabric.ledger.violations())

    def _run_concurrent_drafts(self) -> None:
        print('\nConcurrent drafts of both services:')
        plans = [plan for plan in DRAFTS for _ in range(3)]
        tasks = [gevent.spawn(self._draft, plan) for plan in plans]
        gevent.joinall(tasks)
        for plan, task in zip(DRAFTS, tasks[::3], strict=True):
            print(f'  {plan.service} / {plan.adapter}: "{plan.prompt}"')
            print(f'    -> {task.value.text[:60]}...')

    def _run_repeatable_calls(self) -> None:
        print('\nRepeatable look-ups:')
        for service, kind, organisation in (
            ('steppe-thread', 'archive-lookup', 'almaty-retail'),
            ('consigna-arte', 'record-lookup', 'galeria-barranco'),
        ):
            for number in range(3):
                body = json.dumps({'record': number}).encode()
                answer = self._caller.plain(service, kind, organisation, body)
                self.tally.add(kind, answer)
                print(f'  {kind} {number}: {_describe(answer)}')

    def _run_non_repeatable_calls(self) -> None:
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
                print(f'  {kind}, attempt {number + 1}: {_describe(answer)}')
            runs = self._fleet.pool.plain_runs().get(key, 0)
            print(f'    the service ran it {runs} time(s)')

    def _run_target_failure(self) -> None:
        print('\nA target fails during a draft:')
        plan = DRAFTS[0]._replace(max_tokens=120)
        engines = list(self._fleet.pool.engine_by_address.values())

        def kill_busy_target(tokens: int) -> None:
            if tokens != 60:
                return
            for server in engines:
                if server.engine.running and not server.engine.dead:
                    print(f'  token 60: target {server.address} fails')
                    server.stop()
                    return

        answer = self._draft(plan, kill_busy_target)
        print(f'  complete response despite it: {answer.completed}')

    def _run_instance_shutdown(self) -> None:
        print('\nAn instance shuts down gracefully during a stream:')
        process = self._fleet.processes[-1]
        caller = callers.Caller(process.plan.address, self._rng)

        def stop_instance(tokens: int) -> None:
            if tokens == 20:
                print(f'  token 20: {process.plan.instance_id} gets SIGTERM')
                process.terminate()

        plan = DRAFTS[2]._replace(max_tokens=SLOW_TOKENS)
        answer = self._draft(plan, stop_instance, caller)
        print(f'  {SLOW_TOKENS} tokens, complete: {answer.completed}')
        # A second SIGTERM has no effect on an instance that is stopping.
        process.terminate()
        status = process.wait()
        print(f'  exit status {status}')
        if status != 0:
            self.tally.faults.append(f'instance exited with status {status}')

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
            self.tally.faults.append(f'{plan.prompt}: wrong text')
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


def _describe(answer: callers.Answer) -> str:
    if answer.completed:
        return f'done ({answer.status})'
    outcome = answer.problem.get('outcome', 'no answer')
    return f'{outcome}: {answer.problem.get("reason")}'
