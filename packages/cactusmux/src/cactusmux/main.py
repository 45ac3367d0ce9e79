"""The entry point of the ``cactusmux`` program."""

import sys

from gevent import monkey


def main() -> None:
    """Runs one command; exits 2 when the command line is wrong."""
    monkey.patch_all()
    # Imported after the patch, since it uses sockets and threads.
    from . import program

    sys.exit(program.run(sys.argv[1:]))
