#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python with nothing but the
# standard library, so that their compilation is all there is to do.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path('.').rglob('*.py')):
    try:
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
    except SyntaxError as error:
        sys.exit(f'{path}: {error}')
PY
