"""Tests of a stage's passes against the engine's published costs."""

from cactusmux_fakes import sample_engine
from cactusmux_model import stages
from cactusmux_relay import cost_model
from cactusmux_relay import targets
import pytest
import simpy

ENGINE = sample_engine.ENGINE
CARD = ENGINE.card_by_name['a100']
CHUNK = 512


class _Sequence:
    def __init__(self, context_tokens=0.0):
        self.context_tokens = context_tokens
        self.is_ended = False


@pytest.fixture(name='env')
def _env():
    return simpy.Environment()


def _stage(env):
    layers = targets.LayerRange(0, 40)
    target = sample_engine.target('x', 'a100', 'a', layers)
    return stages.Stage(env, ENGINE, CHUNK, target)


def _times(env):
    found = []
    return found, lambda: found.append(env.now)


def test_decode_step_takes_its_published_time(env):
    found, done = _times(env)
    _stage(env).decode(_Sequence(1000.0), 40, done)
    env.run()
    expected_ms = cost_model.decode_step_ms(ENGINE, CARD, 40, 1, 1000.0)
    assert found == [
        pytest.approx(expected_ms / 1000 + stages.PASS_OVERHEAD_S)
    ]


def test_decode_steps_of_several_requests_share_a_pass(env):
    stage = _stage(env)
    found, done = _times(env)
    for _ in range(10):
        stage.decode(_Sequence(), 40, done)
    env.run()
    expected_ms = cost_model.decode_step_ms(ENGINE, CARD, 40, 10, 0.0)
    assert (
        found
        == [pytest.approx(expected_ms / 1000 + stages.PASS_OVERHEAD_S)] * 10
    )


def test_prompt_is_prefilled_in_chunks_between_decode_steps(env):
    stage = _stage(env)
    prefilled_at, prefill_done = _times(env)
    decoded_at, decode_done = _times(env)
    stage.prefill(_Sequence(), 40, 3.0 * CHUNK, prefill_done)
    env.run(until=0.0001)
    stage.decode(_Sequence(), 40, decode_done)
    env.run()
    assert decoded_at[0] < prefilled_at[0]


def test_slow_stage_takes_longer_by_its_pace(env):
    stage = _stage(env)
    stage.pace = 12.0
    found, done = _times(env)
    stage.decode(_Sequence(), 40, done)
    env.run()
    usual_ms = cost_model.decode_step_ms(ENGINE, CARD, 40, 1, 0.0)
    assert found == [
        pytest.approx(12 * usual_ms / 1000 + stages.PASS_OVERHEAD_S)
    ]


def test_lost_stage_does_nothing(env):
    stage = _stage(env)
    found, done = _times(env)
    stage.decode(_Sequence(), 40, done)
    stage.is_lost = True
    env.run()
    assert found == []


def test_pipe_carries_one_transfer_after_another(env):
    pipe = stages.Pipe(env, 1000.0, 0.001)
    found, done = _times(env)
    pipe.transfer(100.0, done)
    pipe.transfer(100.0, done)
    env.run()
    assert found == [pytest.approx(0.101), pytest.approx(0.201)]


def test_single_token_does_not_wait_for_a_prompt(env):
    pipe = stages.Pipe(env, 1000.0, 0.001)
    found, done = _times(env)
    pipe.transfer(100.0, done)
    pipe.transfer(1.0, done)
    env.run()
    assert found == [pytest.approx(0.002), pytest.approx(0.101)]
