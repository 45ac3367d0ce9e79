"""The deterministic computation of the fake engines.

Each layer transforms a 32-bit state, so that a layer that is skipped,
repeated or run out of order changes the token.
"""

import zlib

VOCABULARY = (
    'linen',
    'ochre',
    'selvedge',
    'varnish',
    'provenance',
    'crackle',
    'indigo',
    'weft',
    'gilding',
    'season',
    'madder',
    'frame',
    'twill',
    'canvas',
    'foxing',
    'drape',
)


def first_state(
    model: str, version: str, adapter: str, prompt: str, position: int
) -> int:
    """Returns the state before layer 0 of the token at ``position``."""
    text = '\0'.join((model, version, adapter, prompt, str(position)))
    return zlib.crc32(text.encode())


def run_layer(state: int, layer: int) -> int:
    """Returns the state after ``layer``."""
    return zlib.crc32(layer.to_bytes(4, 'big'), state)


def token_text(state: int) -> str:
    """Returns the token text for the state after the last layer."""
    return VOCABULARY[state % len(VOCABULARY)] + ' '


def expected_texts(
    model: str,
    version: str,
    adapter: str,
    prompt: str,
    layers: int,
    max_tokens: int,
) -> tuple[str, ...]:
    """Returns the token texts of a run without faults."""
    texts = []
    for position in range(max_tokens):
        state = first_state(model, version, adapter, prompt, position)
        for layer in range(layers):
            state = run_layer(state, layer)
        texts.append(token_text(state))
    return tuple(texts)
