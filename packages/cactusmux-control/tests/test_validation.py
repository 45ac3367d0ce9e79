"""Golden cases of document validation: each text and all its errors."""

import json
import pathlib

from cactusmux_control import json_text
from cactusmux_control import validation
import pytest
from returns import result

_HERE = pathlib.Path(__file__).parent
_EXAMPLES = sorted((_HERE.parents[2] / 'examples').glob('*.json'))
_GOOD = json.loads((_HERE / 'good_document.json').read_text())
_CASES = json.loads((_HERE / 'bad_documents.json').read_text())


def _edit(case: dict) -> bytes:
    """Returns a case's text: its own, or the good one with edits.

    An edit replaces the value at a path of keys by JSON text; a null
    removes the key.
    """
    if 'text' in case:
        return case['text'].encode()
    document = json.loads(json.dumps(_GOOD))
    marks = {}
    for number, (path, text) in enumerate(case['edits']):
        holder = document
        for key in path[:-1]:
            holder = holder[key]
        if text is None:
            del holder[path[-1]]
            continue
        holder[path[-1]] = f'@{number}@'
        marks[f'"@{number}@"'] = text
    edited = json.dumps(document)
    for mark, text in marks.items():
        edited = edited.replace(mark, text)
    return edited.encode()


def _faults(text: bytes) -> list[list[str]]:
    failure = validation.check_document(text).failure()
    return [list(fault) for fault in failure.faults]


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_every_fault_is_listed_with_its_path(case: dict) -> None:
    assert _faults(_edit(case)) == case['faults']


@pytest.mark.parametrize('path', _EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path: pathlib.Path) -> None:
    checked = validation.check_document(path.read_bytes())
    assert checked.unwrap().service == path.stem


def test_good_document_keeps_every_field() -> None:
    text = json.dumps(_GOOD).encode()
    document = validation.check_document(text).unwrap()
    assert document.pool.floor == 0.25
    assert document.model_by_name['m'].adapters == ('a', 'b')
    assert document.model_by_name['m'].min_copies == 1
    assert document.kind_by_name['draft'].repeatable
    assert not document.kind_by_name['order'].repeatable
    assert document.plain_service_by_name['portal'].concurrency == 8
    assert document.fencing_ignored_by == ('npu',)


def test_text_over_the_limit_is_refused() -> None:
    text = json.dumps(_GOOD).encode()
    padded = text.ljust(validation.MAX_DOCUMENT_BYTES)
    assert isinstance(validation.check_document(padded), result.Success)
    message = '512001 bytes, more than 512000'
    assert _faults(padded + b' ') == [['$', message]]


@pytest.mark.parametrize('text', [b'\xff{}', b'[' * 100_000, b'9' * 5000])
def test_text_that_cannot_be_parsed_is_one_fault(text: bytes) -> None:
    assert [path for path, _ in _faults(text)] == [json_text.ROOT]


def test_lone_surrogates_hide_no_other_fault() -> None:
    text = b'{"\\ud800": 1, "service": "\\ud800", "x": 1}'
    faults = dict(_faults(text))
    assert faults['$["?"]'] == 'unknown key'
    assert faults['$.x'] == 'unknown key'
    assert '$.service' in faults
    json.dumps(faults).encode()
