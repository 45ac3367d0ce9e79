"""The commands of the ``cactusmux`` program."""

from importlib import metadata
import pathlib
from typing import NoReturn, TypeVar
import urllib.parse

from absl import logging
from cactusmux_base import failures
from cactusmux_control import validation
import msgspec
from returns import result

from . import cause_table
from . import configuration_report
from . import experiment
from . import log_explanation
from . import operator_client
from . import serving
from . import settings
from . import settings_check

EXIT_FAILED = 1
EXIT_USAGE = 2
DEFAULT_INSTANCE = '127.0.0.1:8080'

Checked = TypeVar('Checked')


class CommandFailed(failures.CactusmuxError):
    """A command failed with a message and an exit status other than 0."""

    reason = 'command_failed'

    def __init__(self, message: str, exit_status: int = EXIT_FAILED) -> None:
        super().__init__(message)
        self.exit_status = exit_status


class DocumentCommands:
    """Shows and changes the document of a service."""

    def show(self, service: str, instance: str = DEFAULT_INSTANCE) -> None:
        """Prints the document in force, with its revision."""
        _print_answer(instance, 'GET', f'/documents/{_quote(service)}')

    def apply(
        self,
        file: str,
        instance: str = DEFAULT_INSTANCE,
        expect: str = '',
        epoch: str = '',
    ) -> None:
        """Puts a document in force, if nobody changed it meanwhile.

        EXPECT is the revision that the change is based on; without it, the
        one that is in the store now. EPOCH is raised by one after the
        store was restored from an older copy.
        """
        text = _read(file)
        document = _checked(validation.check_document(text), file)
        query = {'expect': str(expect), 'epoch': str(epoch)}
        given = urllib.parse.urlencode({k: v for k, v in query.items() if v})
        path = f'/documents/{_quote(document.service)}?{given}'
        _print_answer(instance, 'PUT', path, text)

    def status(self, instance: str = DEFAULT_INSTANCE) -> None:
        """Prints which revision each instance has in force."""
        _print_answer(instance, 'GET', '/documents')


class Commands:
    """A router for model pipelines over mixed accelerators."""

    def __init__(self) -> None:
        self.document = DocumentCommands()

    def serve(self, file: str) -> None:
        """Runs an instance by its settings FILE until it is stopped."""
        loaded = _load_settings(file)
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        cut = serving.serve(loaded)
        if cut:
            raise CommandFailed(f'{cut} requests were cut off')

    def check(
        self,
        file: str,
        in_force: str = '',
        reader: str = '',
        json: bool = False,
    ) -> None:
        """Checks a settings or document FILE and prints every fault.

        IN_FORCE is a file to compare it with. READER names a module that
        reads another format. JSON prints an object. The status is 0 for a
        sound file, 1 for a harmful and 2 for an unreadable one.
        """
        loaded = configuration_report.load_reader(str(reader))
        if isinstance(loaded, result.Failure):
            raise CommandFailed(str(loaded.failure()), EXIT_USAGE)
        present = _read(in_force) if in_force else None
        report = configuration_report.make(
            file, _read(file), present, loaded.unwrap()
        )
        output = report.as_json() if json else report.as_text()
        if report.exit_status and not json:
            raise CommandFailed(output, report.exit_status)
        print(output)
        if report.exit_status:
            raise CommandFailed('not sound', report.exit_status)

    def status(self, instance: str = DEFAULT_INSTANCE) -> None:
        """Prints what an instance knows of the fleet and the pool."""
        _print_answer(instance, 'GET', '/state')

    def explain(
        self,
        request_id: str,
        instance: str = DEFAULT_INSTANCE,
        log: str = '',
    ) -> None:
        """Prints what an instance decided for one of its requests.

        With LOG, a file of lines that instances logged, the story is told
        from there.
        """
        if log:
            _tell_from_log(str(request_id), log)
            return
        _print_answer(instance, 'GET', f'/explain/{_quote(request_id)}')

    def causes(
        self, log: str, first_ms: float = 500.0, pause_ms: float = 200.0
    ) -> None:
        """Counts late, refused and lost requests in LOG by their cause.

        LOG is a file of lines that instances logged. A stream is late if its
        first event took longer than FIRST_MS, or a pause than PAUSE_MS. Two
        ids of each cause are shown, for explain.
        """
        lines = log_explanation.parse(_read_lines(log))
        limits = cause_table.Limits(float(first_ms), float(pause_ms))
        found = cause_table.count_causes(lines, limits)
        print('\n'.join(cause_table.format_causes(found)) or 'none')

    def experiment(
        self,
        file: str,
        policies: str = 'marginal,least_filled',
        seeds: str = '3',
        out: str = '',
    ) -> None:
        """Plays a deployment FILE on the engine model, by several policies.

        POLICIES are names with commas between them; each is played with
        the same SEEDS. OUT is a folder for the plays as JSON and a plot.
        """
        names = _names(policies)
        if not str(seeds).isdigit():
            raise CommandFailed(f'SEEDS {seeds!r} is no number', EXIT_USAGE)
        played = experiment.run(_read(file), names, int(seeds), str(out))
        if isinstance(played, result.Failure):
            raise CommandFailed(f'{file}: {played.failure()}', EXIT_USAGE)
        print(played.unwrap())

    def version(self) -> None:
        """Prints the program's version."""
        print(f'cactusmux {metadata.version("cactusmux")}')


def _names(given: object) -> list[str]:
    """Splits names given as a string, or as the tuple that fire parsed."""
    if isinstance(given, tuple | list):
        return [str(each) for each in given]
    return [each for each in str(given).split(',') if each]


def _tell_from_log(request_id: str, file: str) -> None:
    explanation = log_explanation.explain_request(
        request_id, log_explanation.parse(_read_lines(file))
    )
    if not explanation:
        raise CommandFailed(f'{file}: no line of request {request_id!r}')
    print('\n'.join(explanation))


def _load_settings(file: str) -> settings.Settings:
    text = _read(file)
    return _checked(settings_check.check_settings(text), file)


def _read_lines(file: str) -> list[str]:
    return _read(file).decode('utf-8', 'replace').splitlines()


def _read(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise CommandFailed(f'{file}: {error.strerror}', EXIT_USAGE) from error


def _checked(
    checked: result.Result[
        Checked,
        settings_check.SettingsInvalid | validation.DocumentInvalid,
    ],
    file: str,
) -> Checked:
    if isinstance(checked, result.Success):
        return checked.unwrap()
    faults = checked.failure().faults
    lines = [f'{file}: {fault.path}: {fault.message}' for fault in faults]
    raise CommandFailed('\n'.join(lines), EXIT_USAGE)


def _print_answer(
    instance: str, method: str, path: str, body: bytes = b''
) -> None:
    answer = operator_client.call(instance, method, path, body)
    if isinstance(answer, result.Failure):
        _fail(answer.failure())
    encoded = msgspec.json.encode(answer.unwrap())
    print(msgspec.json.format(encoded, indent=2).decode())


def _fail(error: failures.CactusmuxError) -> NoReturn:
    raise CommandFailed(f'{error.reason}: {error}')


def _quote(text: str) -> str:
    return urllib.parse.quote(str(text), safe='')
