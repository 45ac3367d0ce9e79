"""Validates command lines before fire runs them.

Fire reports surplus arguments only after it ran the command. With this
check, nothing runs unless all arguments are valid.
"""

from collections.abc import Callable, Sequence
import inspect
from typing import Any

from cactusmux_base import failures
from returns import result

FLAG_PREFIX = '--'


class UsageError(failures.CactusmuxError):
    """The command line is invalid."""

    reason = 'usage'


def check(
    commands: object, argv: Sequence[str]
) -> result.Result[None, UsageError]:
    """Checks that ``argv`` names a command with valid parameters.

    :param commands: an object whose public methods are commands, and whose
        public attributes are groups of commands.
    """
    found = _find(commands, list(argv))
    return found.bind(lambda both: _bind(both[0], both[1]))


def _find(
    commands: object, words: list[str]
) -> result.Result[tuple[Callable[..., Any], list[str]], UsageError]:
    """Resolves the leading words to a command; returns it and the rest."""
    component = commands
    while not callable(component):
        names = _public_names(component)
        known = ', '.join(names)
        if not words:
            return _fail(f'a command is missing; one of: {known}')
        name = words.pop(0)
        if name not in names:
            return _fail(f'unknown command {name!r}; one of: {known}')
        component = getattr(component, name)
    return result.Success((component, words))


def _bind(
    command: Callable[..., Any], words: list[str]
) -> result.Result[None, UsageError]:
    """Checks the words after a command against its signature."""
    signature = inspect.signature(command)
    positional = []
    value_by_flag = {}
    while words:
        word = words.pop(0)
        if not word.startswith(FLAG_PREFIX):
            positional.append(word)
            continue
        flag, has_value, value = word[len(FLAG_PREFIX) :].partition('=')
        name = flag.replace('-', '_')
        if name not in signature.parameters:
            return _fail(f'unknown flag {FLAG_PREFIX}{flag}')
        if name in value_by_flag:
            return _fail(f'flag {FLAG_PREFIX}{flag} is given twice')
        default = signature.parameters[name].default
        if isinstance(default, bool):
            if has_value or (words and not words[0].startswith(FLAG_PREFIX)):
                # Fire would parse the next word as the flag's value.
                return _fail(f'flag {FLAG_PREFIX}{flag} must come last')
        elif not has_value:
            if not words or words[0].startswith(FLAG_PREFIX):
                return _fail(f'flag {FLAG_PREFIX}{flag} has no value')
            value = words.pop(0)
        value_by_flag[name] = value
    try:
        signature.bind(*positional, **value_by_flag)
    except TypeError as error:
        return _fail(f'{command.__name__}: {error}')
    return result.Success(None)


def _public_names(component: object) -> list[str]:
    return sorted(n for n in dir(component) if not n.startswith('_'))


def _fail(message: str) -> result.Result[Any, UsageError]:
    return result.Failure(UsageError(message))
