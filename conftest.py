"""Marks the tests listed in KNOWN-RED.txt as xfail, and prints them.

A listed test that passes fails the run, so that a fix removes its entry.
"""

import os
import pathlib
import re

import pytest

# A fork of a test process would let gRPC's threads run in the child before it
# starts its program, and abort it.
os.environ['GRPC_ENABLE_FORK_SUPPORT'] = '0'
LIST = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'
ENTRY = re.compile(r'^- (\S+\.py::[^\s:]+)', re.MULTILINE)


def listed_tests() -> frozenset[str]:
    """Returns the node ids of the tests that are known to fail."""
    return frozenset(ENTRY.findall(LIST.read_text()))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as strict xfail."""
    listed = listed_tests()
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests."""
    for node_id in sorted(listed_tests()):
        terminalreporter.write_line(f'known red: {node_id}')
