"""Runs one command line of the ``cactusmux`` program."""

from collections.abc import Sequence
import sys

import fire
from returns import result

from . import arguments
from . import commands

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
HELP_FLAGS = frozenset({'--help', '-h'})


def run(argv: Sequence[str]) -> int:
    """Runs a command and returns the exit status.

    :param argv: the command line without the program's name.
    """
    words = list(argv)
    program = commands.Commands()
    if not HELP_FLAGS.intersection(words):
        checked = arguments.check(program, words)
        if isinstance(checked, result.Failure):
            print(f'cactusmux: {checked.failure()}', file=sys.stderr)
            return EXIT_USAGE
    try:
        fire.Fire(program, command=words, name='cactusmux')
    except commands.CommandFailed as error:
        print(f'cactusmux: {error}', file=sys.stderr)
        return error.exit_status
    return EXIT_OK
