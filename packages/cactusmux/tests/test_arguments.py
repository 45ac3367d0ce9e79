"""Tests of the validation of command lines before a command runs."""

from cactusmux import arguments
from cactusmux import commands
import pytest
from returns import result

GOOD = [
    ['serve', 'settings.json'],
    ['check', 'settings.json'],
    ['check', '--file=settings.json'],
    ['document', 'show', 'steppe-thread', '--instance', '127.0.0.1:80'],
    ['document', 'apply', 'x.json', '--expect=12'],
    ['check', 'settings.json', '--in-force=a.json', '--json'],
    ['version'],
]
BAD = [
    ([], 'a command is missing'),
    (['sreve', 'settings.json'], "unknown command 'sreve'"),
    (['document'], 'a command is missing'),
    (['serve'], "missing a required argument: 'file'"),
    (['serve', 'a.json', 'b.json'], 'too many positional arguments'),
    (['serve', 'a.json', '--verbose'], 'unknown flag --verbose'),
    (['version', 'upper'], 'too many positional arguments'),
    (['check', '--json', 'a.json'], 'flag --json must come last'),
    (['check', 'a.json', '--json=no'], 'flag --json must come last'),
    (['check', '--file'], 'flag --file has no value'),
    (['check', '--file=a', '--file=b'], 'flag --file is given twice'),
    (['check', 'a', '--file=b'], 'multiple values'),
    (['serve', 'a.json', '--', '--trace'], 'unknown flag --'),
]


@pytest.mark.parametrize('argv', GOOD)
def test_good_command_line_is_accepted(argv: list[str]) -> None:
    checked = arguments.check(commands.Commands(), argv)
    assert isinstance(checked, result.Success)


@pytest.mark.parametrize('argv, message', BAD)
def test_bad_command_line_is_refused(argv: list[str], message: str) -> None:
    checked = arguments.check(commands.Commands(), argv)
    assert message in str(checked.failure())
