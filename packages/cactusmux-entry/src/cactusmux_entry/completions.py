"""Completions in the OpenAI API format."""

from collections.abc import Iterator
import functools
from http import HTTPStatus
from typing import NamedTuple
import zlib

from cactusmux_base import decoding
from cactusmux_base import timers
from cactusmux_control import documents
import msgspec

from . import generations
from . import problems
from . import responses

MAX_TOKENS = 32_768
DEFAULT_MAX_TOKENS = 256
MAX_PROMPT_CHARS = 1_000_000
PREFIX_CHARS = 256
DONE_LINE = b'data: [DONE]\n\n'


class CompletionBody(msgspec.Struct):
    """Request body; unknown fields are ignored.

    ``model`` is ``NAME`` or ``NAME:ADAPTER``, ``user`` the organisation.
    ``kind`` is the kind of request; it defaults to the first kind in the
    document that the model serves.
    """

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    user: str = ''
    kind: str = ''


class Completion(NamedTuple):
    """A validated completion request."""

    draft: generations.GenerationRequest
    worth: float
    stream: bool
    model_name: str


def parse_body(body: bytes) -> CompletionBody:
    """Parses a body and checks it without a document.

    :raises problems.RequestFailed: for an invalid field.
    """
    try:
        parsed = decoding.from_json(body, type=CompletionBody)
    except decoding.Unreadable as error:
        raise _bad_request('bad_body', str(error)) from error
    if not 1 <= parsed.max_tokens <= MAX_TOKENS:
        raise _bad_request(
            'bad_body', f'max_tokens must be from 1 to {MAX_TOKENS}'
        )
    if len(parsed.prompt) > MAX_PROMPT_CHARS:
        raise _bad_request(
            'prompt_too_long',
            f'prompt has more than {MAX_PROMPT_CHARS} characters',
        )
    return parsed


def check_completion(
    body: CompletionBody,
    document: documents.ServiceDocument,
    request_id: str,
    timer: timers.TimerService,
) -> Completion:
    """Checks a body against the service's document in force.

    :raises problems.RequestFailed: for a name missing in the document.
    """
    model_name, _, adapter = body.model.partition(':')
    model = document.model_by_name.get(model_name)
    if model is None:
        raise _not_found('unknown_model', f'no model {model_name!r}')
    if adapter and adapter not in model.adapters:
        raise _not_found(
            'unknown_adapter', f'model {model_name!r} has no {adapter!r}'
        )
    if body.user not in document.organisation_by_name:
        raise _bad_request(
            'unknown_organisation', f'user {body.user!r} is not listed'
        )
    kind_name = body.kind or _first_kind(document, model_name)
    kind = document.kind_by_name.get(kind_name)
    if kind is None or kind.model != model_name:
        raise _bad_request(
            'unknown_kind', f'{kind_name!r} is not served by {model_name!r}'
        )
    draft = generations.GenerationRequest(
        request_id=request_id,
        service=document.service,
        organisation=body.user,
        kind=kind_name,
        model=model_name,
        version=model.version,
        adapter=adapter,
        layers=model.layers,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        priority=int(kind.worth),
        deadline_at=timer.now() + kind.deadline_s,
        prefix_hash=zlib.crc32(body.prompt[:PREFIX_CHARS].encode()),
    )
    return Completion(draft, kind.worth, body.stream, body.model)


def to_response(
    completion: Completion, texts: Iterator[str], created: int
) -> responses.Response:
    """Returns a streaming or a complete response.

    Waits for the first token before it sets the status, so that a request
    that fails earlier gets an error status and problem details.

    :raises problems.RequestFailed: when a stream fails before its first
        token, or a complete response fails at any time.
    """
    request_id = completion.draft.request_id
    headers = [('X-Request-Id', request_id)]
    if not completion.stream:
        text = ''.join(texts)
        content = _event_content(completion, created, text, 'length')
        response = responses.from_json(content)
        return response._replace(headers=response.headers + headers)
    first_text = next(texts)
    headers += [
        ('Content-Type', 'text/event-stream; charset=utf-8'),
        ('Cache-Control', 'no-store'),
    ]
    body = _event_stream(completion, first_text, texts, created)
    return responses.Response(HTTPStatus.OK, headers, body)


def _event_stream(
    completion: Completion,
    first_text: str,
    texts: Iterator[str],
    created: int,
) -> Iterator[bytes]:
    """Yields one event for each token; a failure is sent as last event.

    Only a stream that ends with ``[DONE]`` is complete.
    """
    encode = functools.partial(
        _encode_event, *_encode_event_frame(completion, created)
    )
    try:
        yield encode(first_text)
        for text in texts:
            yield encode(text)
    except problems.RequestFailed as error:
        body = problems.to_body(error.problem, completion.draft.request_id)
        content = msgspec.json.encode({'error': body})
        yield b'data: ' + content + b'\n\n'
        return
    finally:
        texts.close()  # type: ignore[attr-defined]
    yield _encode_last_event(completion, created)
    yield DONE_LINE


def _encode_event(before: bytes, after: bytes, text: str) -> bytes:
    return before + msgspec.json.encode(text) + after


def _encode_event_frame(
    completion: Completion, created: int
) -> tuple[bytes, bytes]:
    """Returns the encoded event before and after its text."""
    placeholder = '\x00'
    content = _event_content(completion, created, placeholder, None)
    encoded = b'data: ' + msgspec.json.encode(content) + b'\n\n'
    before, after = encoded.split(msgspec.json.encode(placeholder))
    return before, after


def _encode_last_event(completion: Completion, created: int) -> bytes:
    content = _event_content(completion, created, '', 'length')
    return b'data: ' + msgspec.json.encode(content) + b'\n\n'


def _event_content(
    completion: Completion, created: int, text: str, finish: str | None
) -> dict[str, object]:
    return {
        'id': completion.draft.request_id,
        'object': 'text_completion',
        'created': created,
        'model': completion.model_name,
        'choices': [
            {
                'index': 0,
                'text': text,
                'logprobs': None,
                'finish_reason': finish,
            }
        ],
    }


def _first_kind(document: documents.ServiceDocument, model: str) -> str:
    for name, kind in document.kind_by_name.items():
        if kind.model == model:
            return name
    return ''


def _bad_request(reason: str, detail: str) -> problems.RequestFailed:
    return problems.RequestFailed(problems.bad_request(reason, detail))


def _not_found(reason: str, detail: str) -> problems.RequestFailed:
    return problems.RequestFailed(
        problems.refused(reason, detail, HTTPStatus.NOT_FOUND)
    )
