"""The ``experiment`` command: simulates a deployment.

The packages of the engine model aren't needed to serve requests, so they are
imported only here.
"""

from collections.abc import Sequence
import importlib
import pathlib

from cactusmux_base import failures
from returns import result

PACKAGE = 'cactusmux_model'


class ExperimentFailed(failures.CactusmuxError):
    """An experiment can't be run; the message contains the cause."""

    reason = 'experiment_failed'


def run(
    data: bytes, policy_names: Sequence[str], seeds: int, folder: str
) -> result.Result[str, ExperimentFailed]:
    """Simulates a deployment and returns a table of the results.

    :param data: contents of a deployment file.
    :param seeds: number of runs of each policy.
    :param folder: folder for the runs and the plot; none if empty.
    """
    if seeds < 1:
        return _fail('SEEDS is under 1')
    try:
        deployments = importlib.import_module(f'{PACKAGE}.deployments')
        experiments = importlib.import_module(f'{PACKAGE}.experiments')
        policies = importlib.import_module(f'{PACKAGE}.policies')
        reports = importlib.import_module(f'{PACKAGE}.reports')
    except ImportError as error:
        return _fail(f'{error.name} is not installed')
    read = deployments.read(data)
    if isinstance(read, result.Failure):
        return _fail(str(read.failure()))
    policy_by_name = {}
    for name in policy_names:
        found = policies.by_name(name)
        if isinstance(found, result.Failure):
            return _fail(str(found.failure()))
        policy_by_name[name] = found.unwrap()
    compared = experiments.compare(
        read.unwrap(), policy_by_name, range(1, seeds + 1)
    )
    if folder:
        try:
            reports.write(compared, pathlib.Path(folder))
        except OSError as error:
            return _fail(f'{folder}: {error.strerror}')
    return result.Success(reports.table(compared))


def _fail(message: str) -> result.Result[str, ExperimentFailed]:
    return result.Failure(ExperimentFailed(message))
