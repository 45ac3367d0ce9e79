from cactusmux import log_story

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


def _tell(request_id):
    return log_story.tell(request_id, log_story.parse(LOG.splitlines()))


def test_story_of_a_failed_request_across_midnight():
    story = _tell('r1')
    text = '\n'.join(story)
    assert story[0] == 'request r1'
    assert '+1.200 s  request_refused reason=target_failed' in text
    assert '-0.100 s  target_down target=t2 cause=x y' in text
    assert 'store_lost' in text
    assert 't9' not in text
    assert 'r2' not in text
    assert story[-1].startswith('cause: the target failed')
    assert 'closed within the body' in story[-1]


def test_request_whose_log_ends():
    assert 'the instance stopped or was killed' in _tell('r2')[-1]


def test_unknown_request_has_no_story():
    assert _tell('r3') == []
