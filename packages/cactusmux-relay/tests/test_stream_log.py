"""Log lines from which the cause of a broken stream can be found."""

from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _broken_line(rig, caplog, *writes):
    """Returns the log line of a stream that a target breaks off."""

    def script(sock, _request):
        for data in writes:
            sock.sendall(data)
        return False

    rig.use_engines(scripted_target.ScriptedTarget(script).address)
    with caplog.at_level('INFO', logger='absl'):
        rig.ask(relay_rig.request('/once/', shared_parts='subject,topic'))
    lines = [each.getMessage() for each in caplog.records]
    (line,) = [each for each in lines if 'event=stream_broken' in each]
    return line


@pytest.mark.parametrize(
    'writes, progress',
    [
        ((), 'written_ms=None events=0'),
        ((HEAD,), 'events=0'),
        (
            (HEAD, scripted_target.chunk(scripted_target.event(1))),
            'events=1',
        ),
    ],
)
def test_line_of_a_broken_stream_tells_parts_and_progress(
    rig, caplog, writes, progress
):
    line = _broken_line(rig, caplog, *writes)
    assert 'parts="subject,topic"' in line
    assert progress in line
    has_response = HEAD in writes
    assert ('written_ms=None' in line) is not has_response
    counted = 'relay.stream_broken_before_first_event'
    expected = int(has_response and len(writes) == 1)
    assert rig.metric.counter_by_name[counted] == expected
