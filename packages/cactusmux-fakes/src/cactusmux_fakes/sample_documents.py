"""Small service documents for tests and benchmarks."""

import json

SERVICE = 'steppe-thread'
OTHER_SERVICE = 'consigna-arte'


def document_text(
    version: str, service: str = SERVICE, organisations: int = 1
) -> bytes:
    """Returns a valid document with the given model version."""
    return json.dumps(
        {
            'service': service,
            'pool': {'share': 0.5, 'floor': 0.3},
            'model_by_name': {
                'drafter': {
                    'layers': 8,
                    'hidden_width': 64,
                    'layer_mb': 10,
                    'version': version,
                }
            },
            'kind_by_name': {
                'draft': {'worth': 5, 'deadline_s': 60, 'model': 'drafter'}
            },
            'organisation_by_name': {
                f'retail-{number}': {} for number in range(organisations)
            },
            'plain_service_by_name': {},
        }
    ).encode()
