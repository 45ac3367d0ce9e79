"""Test rig: one instance's HTTP surface with fakes, for snapshot tests."""

from collections.abc import Callable
import io
import pathlib
import random
import re
from typing import Any

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import claims
from cactusmux_control import direct_claims
from cactusmux_control import documents
from cactusmux_control import validation
from cactusmux_entry import explain
from cactusmux_entry import generations
from cactusmux_entry import leaving_watch
from cactusmux_entry import plain_calls
from cactusmux_entry import plain_handlers
from cactusmux_entry import service_handlers
from cactusmux_entry import stall_watch
from cactusmux_entry import surface
from cactusmux_fakes import direct_targets
from cactusmux_fakes import engines
from cactusmux_fakes import memory_store
from cactusmux_platform import plain_services
from cactusmux_platform import targets
from cactusmux_routing import admission
from cactusmux_routing import breakers
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import policies
from cactusmux_routing import retries
from cactusmux_routing import target_table
from returns import result

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
RANGES = ((0, 3), (3, 6), (6, 8))
CAPACITY_TPS = 1000.0
MAX_REQUESTS = 4
REQUEST_ID = re.compile(r'i1\.[0-9a-f]{32}')
CLAIM_ID = re.compile(r'\b[0-9a-f]{32}\b')


class ScriptedPlain(plain_services.PlainServiceClient):
    """Answers plain calls, or fails them with the next scripted failure."""

    def __init__(self) -> None:
        self.failures: list[plain_services.PlainError] = []
        self.runs: list[str] = []

    def call(
        self,
        address: str,
        call: plain_services.PlainCall,
        timeout_s: float,
        once: bool,
        may_send: Callable[[], bool] = plain_services.always,
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        failure = self.failures.pop(0) if self.failures else None
        if not isinstance(failure, plain_services.PlainNotRun):
            self.runs.append(f'{call.method} {call.path}')
        if failure is not None:
            return result.Failure(failure)
        return result.Success(
            plain_services.PlainResponse(200, 'application/json', call.body)
        )


class OnePlainTarget(plain_calls.PlainTargets):
    """Returns one target for every plain service."""

    def candidates(self, plain_service: str) -> tuple[str, ...]:
        return ('10.0.9.1:80',)

    def record_failure(
        self, address: str, failure: plain_services.PlainError
    ) -> None:
        pass


class SessionRig:
    """The surface of one instance, with the transcripts of its calls."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.metrics = metrics.MemoryMetrics()
        self.fabric = engines.Fabric(self.clock)
        self.client = direct_targets.DirectTargetClient(self.fabric)
        self.plain = ScriptedPlain()
        self.serves = True
        self.document = self._load_document()
        self._rng = random.Random(11)
        self._add_engines()
        self.controller = self._make_admission()
        explain_log = explain.ExplainLog(self.clock)
        budget = retries.RetryBudget(self.clock)
        backoff = retries.Backoff(self.clock, self._rng)
        plain = plain_calls.PlainCalls(
            self.plain,
            OnePlainTarget(),
            direct_claims.DirectClaims(
                memory_store.MemoryStore(self.clock),
                self.clock,
                self.metrics,
                'i1',
                claims.ClaimSettings(),
            ),
            budget,
            backoff,
            self.clock,
            self.metrics,
        )
        handlers = service_handlers.ServiceHandlers(
            self._make_generation_services(budget, backoff),
            lambda service: self._find_document(service),
            plain_handlers.PlainHandlers(plain, explain_log),
            self.controller,
            explain_log,
        )
        self.surface = surface.Surface(
            'i1',
            {'services': handlers.handle},
            self.clock,
            self.metrics,
            surface.Limits(MAX_REQUESTS, max_body_bytes=4096),
            serves=lambda: self.serves,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        on_part: Callable[[int], None] | None = None,
    ) -> str:
        """Sends one request; returns the transcript that the caller sees."""
        lines = [f'> {method} {path} {body.decode()}']
        parts = self.open(method, path, body, headers, lines)
        for number, part in enumerate(parts, start=1):
            lines.extend(part.decode().strip().split('\n\n'))
            if on_part is not None:
                on_part(number)
        transcript = REQUEST_ID.sub('<request-id>', '\n'.join(lines))
        return CLAIM_ID.sub('<claim-id>', transcript)

    def open(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
        lines: list[str],
    ) -> Any:
        """Sends one request; returns the parts of the response body."""

        def start_response(status: str, fields: list[Any]) -> None:
            lines.append(f'< {status}')
            lines.extend(f'< {name}: {value}' for name, value in fields)

        environ: dict[str, Any] = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': '',
            'CONTENT_LENGTH': str(len(body)),
            'CONTENT_TYPE': 'application/json',
            'wsgi.input': io.BytesIO(body),
        }
        for name, value in (headers or {}).items():
            environ['HTTP_' + name.upper().replace('-', '_')] = value
        return self.surface(environ, start_response)

    def target_transcript(self) -> str:
        """Returns the requests sent to first stages, in order."""
        lines = [
            f'attempt {one.attempt} from token {len(one.delivered)}: '
            + ', '.join(f'{s.address}[{s.first},{s.last})' for s in one.stages)
            for one in self.client.opened
        ]
        return '\n'.join(lines)

    def _load_document(self) -> documents.ServiceDocument:
        text = (EXAMPLES / 'steppe-thread.json').read_bytes()
        return validation.check_document(text).unwrap()

    def _find_document(self, service: str) -> documents.InForce | None:
        if service != self.document.service:
            return None
        return documents.InForce(1, self.document)

    def _add_engines(self) -> None:
        model = self.document.model_by_name['drafter']
        self.engines: list[engines.Engine] = []
        for copy in range(2):
            for first, last in RANGES:
                engine = engines.Engine(
                    self.fabric,
                    f'10.0.{copy}.{first}:80',
                    engines.EngineConfig(),
                )
                engine.hold(
                    targets.Holding(
                        'drafter', model.version, first, last, model.adapters
                    )
                )
                self.engines.append(engine)

    def _make_generation_services(
        self, budget: retries.RetryBudget, backoff: retries.Backoff
    ) -> generations.GenerationServices:
        chooser = policies.make_chooser(
            'least_loaded', self.clock, self._rng
        ).unwrap()
        aged = [
            target_table.AgedReport(engine.report(), 0.0)
            for engine in self.engines
        ]
        now = self.clock.now()
        chooser.update(
            target_table.build_table(aged, [], frozenset(), now, 10.0)
        )
        return generations.GenerationServices(
            timer=self.clock,
            metrics=self.metrics,
            targets=self.client,
            chooser=chooser,
            budget=budget,
            backoff=backoff,
            stalls=stall_watch.StallWatch(self.clock),
            leaving=leaving_watch.LeavingWatch(
                self.clock, self.metrics, lambda _: None, frozenset
            ),
            breakers=breakers.Breakers(
                self.clock, self._rng, self.metrics, lambda lost: True
            ),
            zone='z1',
            token_gap_s=0.3,
            first_token_s=1.0,
        )

    def _make_admission(self) -> admission.AdmissionController:
        meter = demand.DemandMeter(self.clock)
        share = fair_share.FairShare(self.clock, meter)
        weights = {
            name: organisation.weight
            for name, organisation in (
                self.document.organisation_by_name.items()
            )
        }
        policy = fair_share.ServicePolicy(self.document.pool, weights)
        share.set_pool(CAPACITY_TPS, {self.document.service: policy})
        share.set_peer_counts({})
        return admission.AdmissionController(
            self.clock, self._rng, share, meter, self.metrics
        )
