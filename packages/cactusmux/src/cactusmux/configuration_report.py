"""The report of ``cactusmux check``, as text or JSON."""

import importlib
from typing import Any, NamedTuple

from cactusmux_base import failures
from cactusmux_control import json_text
from cactusmux_control import validation
from cactusmux_relay import configuration_changes
from cactusmux_relay import configuration_check
import msgspec
from returns import result

from . import settings_check

EXIT_SOUND = 0
EXIT_HARMFUL = 1
EXIT_UNREADABLE = 2
# Name of the attribute with the reader in its module.
READER = 'READER'


class NoReader(failures.CactusmuxError):
    """The given module can't be imported or has no reader."""

    reason = 'no_reader'


class Report(NamedTuple):
    """Result of a check, and the exit status of the command.

    :ivar faults: errors that prevent reading, unlike ``findings``.
    """

    file: str
    exit_status: int
    faults: tuple[json_text.Fault, ...] = ()
    findings: tuple[configuration_check.Finding, ...] = ()
    changes: tuple[configuration_check.Change, ...] = ()

    def as_text(self) -> str:
        """Returns one line for each fault, finding and change."""
        lines = [f'{each.path}: {each.message}' for each in self.faults]
        for found in self.findings:
            kind = 'harmful' if found.is_harmful else 'note'
            lines.append(f'{found.place}: {kind}: {found.message}')
        lines.extend(_change_line(each) for each in self.changes)
        if self.exit_status == EXIT_SOUND:
            lines.append('ok')
        return '\n'.join(f'{self.file}: {line}' for line in lines)

    def as_json(self) -> str:
        """Returns the report as a JSON object."""
        fields = configuration_changes.to_plain_data(self)
        encoded = msgspec.json.encode(fields)
        return msgspec.json.format(encoded, indent=2).decode()


class OwnReader(configuration_check.ConfigurationReader):
    """Reads Cactusmux documents and settings."""

    def read(self, text: bytes) -> configuration_check.ReadResult:
        parsed = json_text.parse(text)
        if isinstance(parsed, dict) and 'instance_id' in parsed:
            checked = settings_check.check_settings(text)
            return checked.map(_accept).alt(lambda error: error.faults)
        document = validation.check_document(text)
        return document.map(_accept).alt(lambda error: error.faults)

    def effect(self, steps: tuple[str, ...]) -> str:
        return configuration_changes.UNKNOWN_EFFECT


def _accept(read: Any) -> configuration_check.AcceptedConfiguration:
    tree = configuration_changes.to_plain_data(read)
    return configuration_check.AcceptedConfiguration(
        0, tuple(_find_unused(tree)), tree
    )


def _find_unused(tree: dict[str, Any]) -> list[configuration_check.Finding]:
    """Finds models and plain services that no kind of request uses."""
    kinds = tree.get('kind_by_name', {}).values()
    found = []
    for section, field in (
        ('model_by_name', 'model'),
        ('plain_service_by_name', 'plain_service'),
    ):
        used = {each[field] for each in kinds}
        for name in tree.get(section, {}):
            if name not in used:
                place = json_text.format_path((section, name))
                found.append(
                    configuration_check.Finding(
                        place, 'no kind of request names it', False
                    )
                )
    return found


def load_reader(
    module: str,
) -> result.Result[configuration_check.ConfigurationReader, NoReader]:
    """Returns the reader of a module; the default one without a name."""
    if not module:
        return result.Success(OwnReader())
    try:
        reader = getattr(importlib.import_module(module), READER, None)
    except ImportError as error:
        return result.Failure(NoReader(f'{module}: {error}'))
    if not isinstance(reader, configuration_check.ConfigurationReader):
        return result.Failure(NoReader(f'{module} has no {READER}'))
    return result.Success(reader)


def make(
    file: str,
    text: bytes,
    in_force: bytes | None,
    reader: configuration_check.ConfigurationReader,
) -> Report:
    """Checks a text, and compares it with the one in force.

    :param in_force: text in force, or ``None`` to skip the comparison.
    """
    read = reader.read(text)
    if isinstance(read, result.Failure):
        return Report(file, EXIT_UNREADABLE, faults=read.failure())
    readable = read.unwrap()
    findings = readable.findings
    changes: tuple[configuration_check.Change, ...] = ()
    if in_force is not None:
        present = reader.read(in_force)
        if isinstance(present, result.Failure):
            return Report(
                file, EXIT_UNREADABLE, _mark_as_in_force(present.failure())
            )
        before = present.unwrap()
        findings += _version_findings(before, readable)
        changes = tuple(
            configuration_changes.compare(
                before.tree, readable.tree, reader.effect
            )
        )
    is_harmful = any(each.is_harmful for each in findings)
    status = EXIT_HARMFUL if is_harmful else EXIT_SOUND
    return Report(file, status, findings=findings, changes=changes)


def _mark_as_in_force(
    faults: tuple[json_text.Fault, ...],
) -> tuple[json_text.Fault, ...]:
    return tuple(
        json_text.Fault(each.path, f'in the version in force: {each.message}')
        for each in faults
    )


def _version_findings(
    before: configuration_check.AcceptedConfiguration,
    after: configuration_check.AcceptedConfiguration,
) -> tuple[configuration_check.Finding, ...]:
    """Finds a version that instances would ignore as outdated."""
    if after.version > before.version or before.tree == after.tree:
        return ()
    if not before.version:
        return ()
    message = (
        f'version {after.version} is not above {before.version} in force: '
        'instances ignore it'
    )
    place = json_text.format_path(('version',))
    return (configuration_check.Finding(place, message),)


def _change_line(change: configuration_check.Change) -> str:
    if change.before is None:
        difference = 'new'
    elif change.after is None:
        difference = 'removed'
    else:
        difference = f'{change.before} -> {change.after}'
    return f'{change.place}: change: {difference}; {change.effect}'
