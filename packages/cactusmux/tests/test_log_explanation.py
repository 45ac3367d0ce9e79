from cactusmux import log_explanation

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
