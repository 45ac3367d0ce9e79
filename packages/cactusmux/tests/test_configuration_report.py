"""Tests of ``cactusmux check`` for Cactusmux documents and settings."""

import json
import pathlib

from cactusmux import configuration_report
from cactusmux import program

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
DOCUMENT = EXAMPLES / 'steppe-thread.json'
READER = configuration_report.OwnReader()


def _report(document, in_force=None):
    present = json.dumps(in_force).encode() if in_force else None
    return configuration_report.make(
        'f', json.dumps(document).encode(), present, READER
    )


def _document():
    return json.loads(DOCUMENT.read_text())


def test_faults_match_those_found_by_an_instance() -> None:
    document = _document()
    document['pool']['floor'] = 0.9
    document['zones'] = 7
    report = _report(document)
    assert report.exit_status == 2
    paths = {each.path for each in report.faults}
    assert {'$.pool.floor', '$.zones'} <= paths


def test_difference_from_the_document_in_force_is_reported() -> None:
    document = _document()
    document['pool']['share'] *= 0.9
    report = _report(document, _document())
    assert report.exit_status == 0
    assert [each.place for each in report.changes] == ['$.pool.share']


def test_model_without_a_kind_is_reported() -> None:
    document = _document()
    model = next(iter(document['model_by_name'].values()))
    document['model_by_name']['unused'] = model
    report = _report(document)
    assert report.exit_status == 0
    assert report.findings[0].place == '$.model_by_name.unused'


def test_unreadable_version_in_force_is_reported(tmp_path) -> None:
    present = tmp_path / 'present.json'
    present.write_text('{}')
    words = ['check', str(DOCUMENT), f'--in-force={present}']
    assert program.run(words) == 2


def test_example_settings_pass_the_check(capsys) -> None:
    for file in sorted((EXAMPLES / 'settings').glob('*.json')):
        assert program.run(['check', str(file)]) == 0
    assert capsys.readouterr().out.endswith(': ok\n')
