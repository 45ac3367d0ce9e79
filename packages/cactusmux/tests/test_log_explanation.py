from cactusmux import log_explanation
from cactusmux_relay import request_ends
import pytest

LOG = """noise
W0503 23:59:58.900000 1 events.py:34] event=target_down target=t2 cause="x y"
W0503 23:59:58.900100 1 events.py:34] event=target_down target=t9 cause=z
I0503 23:59:59.000000 1 events.py:29] event=path_chosen id=r1 path=t1,t2 send=1
I0503 23:59:59.400000 1 events.py:29] event=path_chosen id=r2 path=t1 send=1
I0503 23:59:59.500000 1 events.py:29] event=stream_broken id=r1 path=t1,t2 \
detail="closed within the body"
W0504 00:00:00.100000 1 events.py:34] event=store_lost prefix=servers/
I0504 00:00:00.200000 1 events.py:29] event=request_refused id=r1 \
reason=target_failed status=502
"""


def _explain(request_id):
    return log_explanation.explain_request(
        request_id, log_explanation.parse(LOG.splitlines())
    )


def test_failed_request_across_midnight_is_explained():
    explanation = _explain('r1')
    text = '\n'.join(explanation)
    assert explanation[0] == 'request r1'
    assert '+1.200 s  request_refused reason=target_failed' in text
    assert '-0.100 s  target_down target=t2 cause=x y' in text
    assert 'store_lost' in text
    assert 't9' not in text
    assert 'r2' not in text
    assert explanation[-1].startswith('cause: the target failed')
    assert 'closed within the body' in explanation[-1]


def test_request_without_an_end_is_explained():
    assert 'the instance stopped or was killed' in _explain('r2')[-1]


def test_unknown_request_has_no_explanation():
    assert _explain('r3') == []


QUARANTINE_LOG = """
W0503 10:00:00.000000 1 events.py:34] event=part_quarantined service=drafts \
part=91bd3f06 crashes=3 targets="t1,t2,t3" ages_ms="[900, 400, 0]"
W0503 10:00:01.000000 1 events.py:34] event=part_quarantined service=drafts \
part=other crashes=3 targets="t4,t5,t6" ages_ms="[900, 400, 0]"
I0503 10:02:00.000000 1 events.py:29] event=request_quarantined id=r1 \
service=drafts part=91bd3f06 crashes=3 ages_ms="[120900, 120400, 120000]"
I0503 10:02:00.000100 1 events.py:29] event=request_refused id=r1 \
reason=quarantined has_run=False status=503 version=7
"""


def test_refusal_for_a_quarantined_part_is_explained_by_its_evidence():
    explanation = log_explanation.explain_request(
        'r1', log_explanation.parse(QUARANTINE_LOG.splitlines())
    )
    text = '\n'.join(explanation)
    assert '-120.000 s  part_quarantined' in text
    assert 'targets=t1,t2,t3' in text
    assert 't4' not in text
    assert explanation[-1] == (
        'cause: it, or a part of its prompt, has ended several targets'
    )


HELD_LOG = """\
I0503 10:00:00.000000 1 events.py:29] event=target_rate_limited target=t1 \
born_ms=1 per_s=7.9 before=None source=answer age_s=0.0
I0503 10:00:00.000000 1 events.py:29] event=target_rate_limited target=t9 \
born_ms=1 per_s=1.0 before=None source=answer age_s=0.0
I0503 10:02:00.000000 1 events.py:29] event=no_path id=r1 held="t1,t2"
I0503 10:02:00.001000 1 events.py:29] event=request_refused id=r1 \
reason=rate_limited has_run=False status=503 version=7
"""


def test_refusal_for_rate_limits_is_explained_by_when_they_began():
    lines = log_explanation.parse(HELD_LOG.splitlines())
    steps = log_explanation.explain_request('r1', lines)
    assert any('target_rate_limited target=t1' in each for each in steps)
    assert not any('target=t9' in each for each in steps)
    assert 'rate limits' in steps[-1]


END = (
    'I0503 10:00:01.000000 1 events.py:29] event=request_ended id=r1 '
    'cause={} request_bytes=800 request_whole=True response_status={} '
    'response_bytes=71 response_whole=False detail={}'
)
ABORTED_LOG = """\
I0503 10:00:00.000000 1 events.py:29] event=path_chosen id=r1 path=t1 send=1
I0503 10:00:00.900000 1 events.py:29] event=stream_broken id=r1 path=t1 \
detail=reset
I0503 10:00:01.000000 1 events.py:29] event=request_refused id=r1 \
reason=target_failed status=0
""" + END.format('aborted', 200, '""')


def _cause(log):
    lines = log_explanation.parse(log.splitlines())
    return log_explanation.explain_request('r1', lines)[-1]


@pytest.mark.parametrize('cause', list(request_ends.Cause))
def test_each_abnormal_end_is_explained(cause):
    explained = _cause(END.format(cause, 0, '""'))
    assert explained.endswith('; no response was begun')
    assert not explained.startswith(f'cause: {cause};')


def test_end_of_an_aborted_stream_is_explained_by_what_broke_it():
    explained = _cause(ABORTED_LOG)
    assert 'the target failed' in explained
    assert 'its stream broke: reset' in explained
    assert explained.endswith('71 bytes of its body sent, not all')


def test_failure_of_a_handler_is_explained_by_its_exception():
    log = END.format('handler_failed', 0, '"a.py:7: OSError()"')
    assert '(a.py:7: OSError())' in _cause(log)


def test_request_that_broke_the_protocol_is_explained():
    log = """\
I0503 10:00:01.000000 1 events.py:29] event=request_malformed id=r1 status=413
"""
    assert _cause(log) == 'cause: malformed or too large: status 413'


def test_request_is_found_by_an_id_that_is_logged_cut():
    log = f"""\
I0503 10:00:01.000000 1 events.py:29] event=caller_gone id={'x' * 128}
"""
    lines = log_explanation.parse(log.splitlines())
    assert log_explanation.explain_request('x' * 500, lines)
