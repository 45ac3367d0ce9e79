"""Tests of the experiment command."""

import json
import pathlib

from cactusmux import program
import pytest

ROOT = pathlib.Path(__file__).parents[3]
FILE = ROOT / 'deploy' / 'models' / 'mixed-38.json'


@pytest.fixture(name='small_file')
def _small_file(tmp_path):
    plain = json.loads(FILE.read_text())
    plain['length_s'] = 0.3
    file = tmp_path / 'small.json'
    file.write_text(json.dumps(plain))
    return str(file)


def test_experiment_prints_a_line_for_each_policy(
    small_file, tmp_path, capsys
):
    out = tmp_path / 'out'
    words = ['experiment', small_file, '--policies=marginal,shortest']
    status = program.run([*words, '--seeds=1', f'--out={out}'])
    lines = capsys.readouterr().out.splitlines()
    assert status == 0
    assert [line.split()[0] for line in lines] == [
        'policy',
        'marginal',
        'shortest',
    ]
    assert sorted(each.name for each in out.iterdir()) == [
        'experiment.json',
        'experiment.png',
    ]


@pytest.mark.parametrize(
    ('words', 'named'),
    [
        (['--policies=best'], "'best'"),
        (['--seeds=0'], 'SEEDS'),
        (['--seeds=many'], "'many'"),
    ],
)
def test_invalid_flags_are_reported(small_file, capsys, words, named):
    status = program.run(['experiment', small_file, *words])
    assert status == 2
    assert named in capsys.readouterr().err


def test_missing_file_is_reported(capsys):
    assert program.run(['experiment', 'nowhere.json']) == 2
    assert 'nowhere.json' in capsys.readouterr().err
