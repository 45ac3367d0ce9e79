"""Validates the text of a service document and lists all its errors.

The result depends only on the text, so that all instances accept and refuse
the same documents.
"""

from collections.abc import Callable, Iterable
import typing
from typing import Annotated, Any, NotRequired, TypeVar

from cactusmux_base import failures
import pydantic
from returns import result

# pydantic does not take TypedDict from typing before Python 3.12.
from typing_extensions import TypedDict

from . import documents
from . import json_text
from . import references

MAX_DOCUMENT_BYTES = 512_000
SERVICES_IN_POOL = 2
MAX_FLOOR = 1 / SERVICES_IN_POOL
NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,63}$'
MAX_NAMED = 1024

_Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
_Names = Annotated[list[_Name], pydantic.Field(max_length=MAX_NAMED)]
_Weight = Annotated[float, pydantic.Field(gt=0, le=1000)]
# Values that need conversion to a schema's type and unknown keys are errors.
STRICT = pydantic.ConfigDict(extra='forbid', strict=True, allow_inf_nan=False)


Checked = TypeVar('Checked')
Faults = tuple[json_text.Fault, ...]


def _no_extra_faults(parsed: Any) -> Iterable[json_text.Fault]:
    return ()


class DocumentInvalid(failures.CactusmuxError):
    """The text is not a valid document; ``faults`` lists all errors."""

    reason = 'document_invalid'

    def __init__(self, faults: Faults) -> None:
        lines = [f'{fault.path}: {fault.message}' for fault in faults]
        super().__init__('; '.join(lines))
        self.faults = faults


@pydantic.with_config(STRICT)
class _Pool(TypedDict):
    share: Annotated[float, pydantic.Field(gt=0, le=1)]
    floor: NotRequired[Annotated[float, pydantic.Field(ge=0, le=MAX_FLOOR)]]
    lend: NotRequired[bool]


@pydantic.with_config(STRICT)
class _Model(TypedDict):
    layers: Annotated[int, pydantic.Field(ge=1, le=1024)]
    hidden_width: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    layer_mb: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    version: _Name
    adapters: NotRequired[_Names]
    min_copies: NotRequired[Annotated[int, pydantic.Field(ge=1, le=1024)]]


@pydantic.with_config(STRICT)
class _Kind(TypedDict):
    worth: _Weight
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=3600)]
    model: NotRequired[_Name]
    plain_service: NotRequired[_Name]
    repeatable: NotRequired[bool]


@pydantic.with_config(STRICT)
class _Organisation(TypedDict):
    weight: NotRequired[_Weight]


@pydantic.with_config(STRICT)
class _PlainService(TypedDict):
    concurrency: NotRequired[Annotated[int, pydantic.Field(ge=1, le=100_000)]]


_MAY_BE_EMPTY = pydantic.Field(max_length=MAX_NAMED)
_NOT_EMPTY = pydantic.Field(min_length=1, max_length=MAX_NAMED)


@pydantic.with_config(STRICT)
class _Document(TypedDict):
    service: _Name
    pool: _Pool
    model_by_name: Annotated[dict[_Name, _Model], _MAY_BE_EMPTY]
    kind_by_name: Annotated[dict[_Name, _Kind], _NOT_EMPTY]
    organisation_by_name: Annotated[dict[_Name, _Organisation], _NOT_EMPTY]
    plain_service_by_name: Annotated[dict[_Name, _PlainService], _MAY_BE_EMPTY]
    fencing_ignored_by: NotRequired[_Names]


_ADAPTER = pydantic.TypeAdapter(_Document)


def check_document(
    text: bytes,
) -> result.Result[documents.ServiceDocument, DocumentInvalid]:
    """Returns the document, or all errors with their JSON paths."""
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f'{len(text)} bytes, more than {MAX_DOCUMENT_BYTES}'
        fault = json_text.Fault(json_text.ROOT, message)
        return result.Failure(DocumentInvalid((fault,)))
    checked = check_text(text, _ADAPTER, references.find_faults)
    return checked.map(_to_document).alt(DocumentInvalid)


def check_text(
    text: bytes,
    schema: pydantic.TypeAdapter[Checked],
    find_more: Callable[[Any], Iterable[json_text.Fault]] = _no_extra_faults,
) -> result.Result[Checked, Faults]:
    """Validates JSON text against a schema; fails with all errors found.

    :param find_more: yields errors that the schema can't express; it gets
        the parsed text, which may have any shape.
    """
    parsed = json_text.parse(text)
    if isinstance(parsed, json_text.Fault):
        return result.Failure((parsed,))
    faults = set(json_text.find_faults(parsed))
    faults.update(find_more(parsed))
    try:
        checked = schema.validate_python(parsed)
    except pydantic.ValidationError as error:
        faults.update(_schema_faults(error))
    if faults:
        return result.Failure(tuple(sorted(faults)))
    return result.Success(checked)


def _schema_faults(
    error: pydantic.ValidationError,
) -> list[json_text.Fault]:
    found = error.errors(include_url=False, include_input=False)
    return [
        _schema_fault(one['loc'], one['type'], one['msg'])
        for one in found
        # json_text reports non-finite numbers already, also those in
        # unknown keys.
        if one['type'] != 'finite_number'
    ]


def _schema_fault(
    location: tuple[int | str, ...], kind: str, message: str
) -> json_text.Fault:
    if kind == 'string_pattern_mismatch':
        message = f'a name must match {NAME_PATTERN}'
    elif kind == 'extra_forbidden':
        message = 'unknown key'
    elif kind == 'missing':
        message = 'required key is missing'
    if location and location[-1] == '[key]':
        location = location[:-1]
    return json_text.Fault(json_text.format_path(location), message)


def _to_document(checked: _Document) -> documents.ServiceDocument:
    return documents.ServiceDocument(
        service=checked['service'],
        pool=documents.Pool(**checked['pool']),
        model_by_name={
            name: _to_model(model)
            for name, model in checked['model_by_name'].items()
        },
        kind_by_name=_build_all(documents.Kind, checked['kind_by_name']),
        organisation_by_name=_build_all(
            documents.Organisation, checked['organisation_by_name']
        ),
        plain_service_by_name=_build_all(
            documents.PlainService, checked['plain_service_by_name']
        ),
        fencing_ignored_by=tuple(checked.get('fencing_ignored_by', ())),
    )


def _to_model(checked: _Model) -> documents.Model:
    model = documents.Model(**typing.cast(dict[str, Any], checked))
    return model._replace(adapters=tuple(model.adapters))


def _build_all(build: Any, fields_by_name: Any) -> Any:
    return {name: build(**fields) for name, fields in fields_by_name.items()}
