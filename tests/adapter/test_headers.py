from adapter import headers
from cactusmux_base import events
from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import event_ids
from cactusmux_relay import http_server
from cactusmux_relay import target_calls
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies
import pytest

DIALECT = headers.HeaderDialect()
ID = (b'x-cactusmux-request-id', b'9c41')


def _facts(*found):
    request = http_server.Request('POST', '/a', (ID, *found), b'', 0.0)
    return DIALECT.request_facts(request)


def _sending(**changes):
    sending = dialect.TargetRequestFacts('i-1', 'almaty', 1.5, (), None, None)
    return sending._replace(**changes)


def test_facts_of_a_stream_request():
    facts = _facts(
        (b'host', b'h.example'),
        (b'x-cactusmux-token-counts', b'1460,80'),
        (b'x-cactusmux-length-hint', b'64'),
        (b'x-cactusmux-deadline-milliseconds', b'20000'),
        (b'last-event-id', b'12'),
        (b'authorization', b'Bearer k1'),
    )
    assert facts.request_id == '9c41'
    assert facts.host == 'h.example'
    assert (facts.prompt_tokens, facts.most_answer_tokens) == (1460.0, 80.0)
    assert facts.hinted_answer_tokens == 64.0
    assert facts.wait_s == 20.0
    assert facts.last_event_id == event_ids.EventId('12')
    assert facts.key == 'k1'


# Guards against ids whose bytes end a request before it can be logged.
@hypothesis.given(strategies.binary(max_size=64))
def test_request_id_is_read_from_any_bytes(value):
    found = (b'x-cactusmux-request-id', value)
    text = DIALECT.request_id((found,))
    assert text.encode('latin-1') == value
    assert len(events.format_event('seen', id=text).splitlines()) == 1


@pytest.mark.parametrize(
    'value, expected',
    [
        (b'5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        (
            b'5C1E07A2:800, 91bd3f06 :410,e4402b7d:250',
            ('5c1e07a2', '91bd3f06'),
        ),
        (b'e4402b7d:250', ()),
        (b'5c1e07a2,,:7,e4402b7d', ('5c1e07a2',)),
        (b'', ()),
    ],
)
def test_shared_parts_are_all_parts_but_the_last_one(value, expected):
    facts = _facts((b'x-cactusmux-prompt-prefix', value))
    assert facts.shared_parts == expected
    sent = dict(DIALECT.target_headers(facts, _sending()))
    assert sent[b'x-cactusmux-prompt-prefix'] == value


@pytest.mark.parametrize(
    'name, value',
    [
        (b'x-cactusmux-deadline-milliseconds', b'soon'),
        (b'x-cactusmux-deadline-milliseconds', b'-1'),
        (b'x-cactusmux-deadline-milliseconds', b'inf'),
        (b'x-cactusmux-token-counts', b'a,b'),
        (b'x-cactusmux-token-counts', b'nan,1'),
        (b'x-cactusmux-token-counts', b'1,inf'),
        (b'x-cactusmux-token-counts', b'-1,1'),
    ],
)
def test_malformed_header_is_reported(name, value):
    with pytest.raises(dialect.MalformedRequest) as raised:
        _facts((name, value))
    assert raised.value.name == name.decode()


# Guards against ids that a number type of ours rounds, or can't hold.
@pytest.mark.parametrize(
    'value',
    [
        b'12',
        b'007',
        b'9007199254740993',
        b'202612050000000012',
        b'9' * 5000,
        b'x',
        b'-1',
        b'1e309',
        b'nan',
        b'a b\xe9',
    ],
)
def test_last_event_id_reaches_the_target_as_it_was_sent(value):
    facts = _facts((b'last-event-id', value))
    sending = _sending(last_event_id=facts.last_event_id)
    sent = dict(DIALECT.target_headers(facts, sending))
    assert sent[b'last-event-id'] == value


def test_empty_last_event_id_is_none():
    assert _facts((b'last-event-id', b'')).last_event_id is None


def test_huge_token_counts_are_cut():
    facts = _facts(
        (b'x-cactusmux-token-counts', b'1e308,1e308'),
        (b'x-cactusmux-length-hint', b'1e308'),
    )
    assert facts.prompt_tokens == headers.MAX_TOKENS
    assert facts.most_answer_tokens == headers.MAX_TOKENS
    assert facts.hinted_answer_tokens == headers.MAX_TOKENS


def test_target_gets_only_headers_set_by_this_instance():
    facts = _facts(
        (b'authorization', b'Bearer k1'),
        (b'x-cactusmux-tenant', b'forged'),
        (b'x-cactusmux-expected-instance', b'forged'),
        (b'x-cactusmux-hop-count', b'forged'),
        (b'x-cactusmux-request-urgency', b'0'),
        (b'connection', b'close, x-hop'),
        (b'x-hop', b'1'),
        (b'content-length', b'3'),
        (b'transfer-encoding', b'chunked'),
        (b'x-other', b'kept'),
    )
    sent = dict(DIALECT.target_headers(facts, _sending()))
    assert sent == {
        b'x-cactusmux-request-id': b'9c41',
        b'x-other': b'kept',
        b'x-cactusmux-deadline-milliseconds': b'1500',
        b'x-cactusmux-expected-instance': b'i-1',
        b'x-cactusmux-tenant': b'almaty',
    }


def test_path_and_last_event_of_a_resumed_stream():
    stages = tuple(
        cost_model.Stage(
            sample_engine.target(f'i-{first}', address=f'10.0.0.{first}:80'),
            targets.LayerRange(first, end),
        )
        for first, end in ((0, 20), (20, 80))
    )
    sent = dict(
        DIALECT.target_headers(
            _facts(),
            _sending(path=stages, last_event_id=event_ids.EventId('7')),
        )
    )
    assert sent[b'x-cactusmux-hop-count'] == (
        b'10.0.0.0:80=0-20,10.0.0.20:80=20-80'
    )
    assert sent[b'last-event-id'] == b'7'


def test_response_facts():
    head = target_calls.ResponseHead(
        503,
        (
            ID,
            (b'x-cactusmux-not-executed', b'1'),
            (b'at-server', b'10.0.0.1:80'),
        ),
    )
    facts = DIALECT.response_facts(head)
    assert facts == dialect.ResponseFacts(
        request_id='9c41',
        is_signed=False,
        not_run=True,
        at_fault='10.0.0.1:80',
        is_encoded=False,
        is_leaving=False,
        retry_after_s=None,
    )


def _retry_after(status, value):
    head = target_calls.ResponseHead(status, (ID, (b'retry-after', value)))
    return DIALECT.response_facts(head).retry_after_s


@pytest.mark.parametrize(
    'value, seconds',
    [(b'2', 2.0), (b'0.25', 0.25), (b' 3 ', 3.0), (b'1e9', 1e9)],
)
def test_retry_after_of_a_503_is_parsed(value, seconds):
    assert _retry_after(503, value) == seconds


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'0',
        b'-1',
        b'nan',
        b'inf',
        b'-inf',
        b'1e999',
        b'soon',
        b'2, 3',
        b'Fri, 04 Dec 2026 07:45:00 GMT',
        b'\xb2',
    ],
)
def test_invalid_retry_after_is_ignored(value):
    assert _retry_after(503, value) is None


@pytest.mark.parametrize('status', [200, 421, 429, 500])
def test_retry_after_is_ignored_unless_status_is_503(status):
    assert _retry_after(status, b'2') is None


@hypothesis.given(strategies.binary(max_size=12))
def test_any_retry_after_is_none_or_positive(value):
    seconds = _retry_after(503, value)
    assert seconds is None or 0 < seconds < float('inf')


@pytest.mark.parametrize(
    'found, is_leaving',
    [
        ([], False),
        ([(b'server-leaving', b'1')], True),
        ([(b'server-leaving', b'0')], False),
        ([(b'connection', b'close')], False),
    ],
)
def test_leaving_target_is_recognised_by_its_response(found, is_leaving):
    for status in (200, 421, 500, 503):
        head = target_calls.ResponseHead(status, (ID, *found))
        assert DIALECT.response_facts(head).is_leaving == is_leaving
        assert DIALECT.caller_headers(head)[1:] == [
            each for each in found if each[0] == b'server-leaving'
        ]


def _rate_limit(*values):
    found = tuple((b'server-limit', each) for each in values)
    head = target_calls.ResponseHead(200, (ID, *found))
    return DIALECT.response_facts(head).rate_limit


@pytest.mark.parametrize(
    'values, per_s',
    [
        ((), None),
        ((b'7.9',), 7.9),
        ((b'1',), 1.0),
        ((b'0',), 0.0),
        ((b' 8 ', b'8.0'), 8.0),
    ],
)
def test_rate_limit_of_a_target_is_read(values, per_s):
    assert _rate_limit(*values) == dialect.RateLimitReading(per_s)


@pytest.mark.parametrize(
    'values',
    [(b'',), (b'-1',), (b'nan',), (b'1e309',), (b'many',), (b'8', b'9')],
)
def test_unreadable_rate_limit_is_reported_and_not_taken_for_none(values):
    reading = _rate_limit(*values)
    assert reading.per_s is None
    assert reading.unreadable


@hypothesis.given(strategies.binary(max_size=80))
def test_any_rate_limit_is_read_or_reported(value):
    reading = _rate_limit(value)
    assert (reading.per_s is None) == bool(reading.unreadable)
    assert reading.per_s is None or 0 <= reading.per_s < float('inf')


def test_caller_gets_the_seal_but_no_connection_headers():
    head = target_calls.ResponseHead(
        200,
        (
            (b'x-cactusmux-response-seal', b's'),
            (b'connection', b'close'),
            (b'keep-alive', b'timeout=5'),
            (b'transfer-encoding', b'chunked'),
        ),
    )
    assert DIALECT.caller_headers(head) == [
        (b'x-cactusmux-response-seal', b's')
    ]


def test_refusal_contains_retry_after():
    sent = dict(DIALECT.refusal_headers(_facts(), 0.5))
    assert sent[b'retry-after'] == b'0.50'
    assert sent[b'x-cactusmux-request-id'] == b'9c41'
    assert DIALECT.refusal_headers(None, None) == []


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [b'authorization', b'x-cactusmux-tenant', b'x-y']
            ),
            strategies.binary(max_size=8),
        )
    )
)
def test_key_and_claimed_organisation_never_reach_a_target(found):
    sent = DIALECT.target_headers(_facts(*found), _sending())
    names = [name for name, _ in sent]
    assert b'authorization' not in names
    assert names.count(b'x-cactusmux-tenant') == 1
