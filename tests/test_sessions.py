"""Snapshot tests of whole sessions, with one transcript per party.

Update the snapshots only with ``pytest --snapshot-update``.
"""

import json
from typing import Any

from cactusmux_fakes import layers
from cactusmux_platform import plain_services
from cactusmux_platform import targets
import pytest

from tests import session_rig

DRAFTS = '/services/steppe-thread/v1/completions'
ORDERS = '/services/steppe-thread/plain/subscription-order'
ORGANISATION = {'X-Organisation': 'almaty-retail'}
PORTAL = '10.0.9.1:80'


def draft_body(**changes: Any) -> bytes:
    body = {
        'model': 'drafter:almaty-house',
        'prompt': 'Season outlook',
        'max_tokens': 4,
        'stream': True,
        'user': 'almaty-retail',
        **changes,
    }
    return json.dumps(body).encode()


def order(rig: session_rig.SessionRig, key: str = 'k1') -> str:
    headers = {**ORGANISATION, 'Idempotency-Key': key}
    return rig.call('POST', ORDERS, b'{"plan": "spring"}', headers)


def test_clean_draft(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    assert rig.call('POST', DRAFTS, draft_body()) == snapshot
    assert rig.target_transcript() == snapshot


def test_whole_draft(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    assert rig.call('POST', DRAFTS, draft_body(stream=False)) == snapshot


def test_stage_dies_midway(snapshot: Any) -> None:
    rig = session_rig.SessionRig()

    def kill_second_stage(part: int) -> None:
        if part == 2:
            address = rig.client.opened[-1].stages[1].address
            rig.fabric.engine_by_address[address].dead = True

    transcript = rig.call(
        'POST', DRAFTS, draft_body(), on_part=kill_second_stage
    )
    assert transcript == snapshot
    assert rig.target_transcript() == snapshot
    assert rig.fabric.ledger.violations() == ()


def test_late_tokens_of_an_old_attempt(snapshot: Any) -> None:
    rig = session_rig.SessionRig()

    def send_late_tokens(part: int) -> None:
        if part == 2:
            late = targets.Token('other', 1, 2, 'FOREIGN ')
            rig.client.streams[-1].injected.append(late)
            rig.client.streams[-1].injected.append(late._replace(attempt=0))

    transcript = rig.call(
        'POST', DRAFTS, draft_body(), on_part=send_late_tokens
    )
    assert transcript == snapshot
    assert 'FOREIGN' not in transcript


def test_refused_draft_that_no_target_takes(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    for engine in rig.engines:
        engine.leaving = True
    assert rig.call('POST', DRAFTS, draft_body()) == snapshot
    assert rig.fabric.ledger.run_request_ids() == frozenset()


def test_order_and_its_repeat(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    assert [order(rig), order(rig)] == snapshot
    assert len(rig.plain.runs) == 1


def test_refused_order_and_its_repeat(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    rig.plain.failures = [plain_services.ServiceRefused(PORTAL, 'busy')]
    assert [order(rig), order(rig)] == snapshot
    assert len(rig.plain.runs) == 1


def test_order_with_unknown_outcome_and_its_repeat(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    rig.plain.failures = [plain_services.PlainOutcomeUnknown(PORTAL, 'cut')]
    assert [order(rig), order(rig)] == snapshot
    assert len(rig.plain.runs) == 1


def test_stopping_instance(snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    rig.serves = False
    assert rig.call('POST', DRAFTS, draft_body()) == snapshot


def test_two_callers_with_interleaved_answers() -> None:
    rig = session_rig.SessionRig()
    prompts = ('first', 'second')
    lines: list[str] = []
    bodies = [
        rig.open('POST', DRAFTS, draft_body(prompt=prompt), None, lines)
        for prompt in prompts
    ]
    pairs = list(zip(*bodies, strict=True))
    for column, prompt in enumerate(prompts):
        events = b''.join(pair[column] for pair in pairs).decode()
        expected = layers.expected_texts(
            'drafter', 'v1', 'almaty-house', prompt, 8, 4
        )
        texts = [
            json.loads(event.removeprefix('data: '))['choices'][0]['text']
            for event in events.strip().split('\n\n')[:-1]
        ]
        assert tuple(texts[:-1]) == expected


def test_ended_drafts_free_capacity() -> None:
    rig = session_rig.SessionRig()
    for _ in range(40):
        rig.call('POST', DRAFTS, draft_body())
        assert rig.controller.running == 0


def test_rejected_draft_is_not_run() -> None:
    rig = session_rig.SessionRig()
    rig.controller.drain()
    transcript = rig.call('POST', DRAFTS, draft_body())
    assert '"outcome":"not_run"' in transcript
    assert rig.client.opened == []


def test_request_over_limit_is_rejected_and_not_run() -> None:
    rig = session_rig.SessionRig()
    lines: list[str] = []
    held = [
        rig.open('POST', DRAFTS, draft_body(), None, lines)
        for _ in range(session_rig.MAX_REQUESTS)
    ]
    transcript = rig.call('POST', DRAFTS, draft_body())
    assert '"reason":"too_many_requests"' in transcript
    for body in held:
        assert b''.join(body).endswith(b'[DONE]\n\n')


BAD_INPUTS = [
    ('POST', DRAFTS, b'{'),
    ('POST', DRAFTS, b'{"model": 7}'),
    ('POST', DRAFTS, draft_body(model='unknown')),
    ('POST', DRAFTS, draft_body(model='drafter:unknown')),
    ('POST', DRAFTS, draft_body(user='unknown')),
    ('POST', DRAFTS, draft_body(max_tokens=0)),
    ('POST', DRAFTS, draft_body(kind='invoice')),
    ('POST', DRAFTS, b'x' * 5000),
    ('GET', DRAFTS, b''),
    ('POST', '/services/unknown/v1/completions', draft_body()),
    ('POST', '/services/steppe-thread/plain/unknown', b''),
    ('POST', ORDERS, b'{}'),
    ('GET', '/unknown', b''),
    ('GET', '/', b''),
]


@pytest.mark.parametrize('number', range(len(BAD_INPUTS)))
def test_bad_input(number: int, snapshot: Any) -> None:
    rig = session_rig.SessionRig()
    method, path, body = BAD_INPUTS[number]
    transcript = rig.call(method, path, body, ORGANISATION)
    answer = transcript.split('\n', 1)[1]
    assert answer == snapshot
    assert '"outcome":"not_run"' in answer
    assert rig.surface.in_flight == 0
