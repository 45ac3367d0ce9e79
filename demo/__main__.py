"""Runs the demonstration; the last line of output gives the result."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

from . import fleet as fleet_lib  # noqa: E402
from . import story as story_lib  # noqa: E402

INSTANCES = 4
KEEP_VARIABLE = 'KEEP'


def main() -> int:
    """Runs all scenarios; returns 0 if every check passed."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_lib.Fleet(INSTANCES, pathlib.Path(folder))
        try:
            fleet.start()
            print(
                f'{INSTANCES} instances serve the documents of two services.'
            )
            story = story_lib.Story(fleet)
            story.run()
            status = report(story)
            if os.environ.get(KEEP_VARIABLE):
                keep(fleet)
            return status
        finally:
            fleet.stop()


def report(story: story_lib.Story) -> int:
    """Prints faults and the result line; returns the exit status."""
    tally = story.tally
    for fault in tally.faults:
        print(f'FAULT: {fault}')
    duplicates = story.duplicates()
    violations = story.layer_violations()
    if violations:
        print(f'FAULT: {violations} tokens with wrong layers')
    is_ok = not tally.faults and not duplicates and not violations
    print(
        f'\ndemo: {"ok" if is_ok else "not ok"} requests={tally.requests} '
        f'completed={tally.completed} refused={tally.refused} '
        f'duplicates={duplicates}'
    )
    return 0 if is_ok else 1


def keep(fleet: fleet_lib.Fleet) -> None:
    """Keeps the fleet running until the user presses Enter."""
    address = fleet.addresses()[0]
    print('\nThe fleet keeps running. Try:')
    print(
        f'curl -N http://{address}/services/steppe-thread/v1/completions '
        """-d '{"model": "drafter:almaty-house", "prompt": "Hello", """
        """"max_tokens": 10, "stream": true, "user": "almaty-retail"}'"""
    )
    print('Press Enter to stop.')
    sys.stdin.readline()


if __name__ == '__main__':
    sys.exit(main())
