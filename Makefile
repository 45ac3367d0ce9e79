# Every target works on a fresh clone: the stamp sets up .venv first.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.ready
UV_VERSION := 0.13.9
PACKAGES := $(wildcard packages/*)
SOURCES := conftest.py packages platform tests bench demo

.PHONY: setup test lint types unit format lock demo bench slopes binary protos

setup: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet uv==$(UV_VERSION)
	$(VENV)/bin/uv pip sync --quiet --python $(PYTHON) \
	    --require-hashes requirements.lock
	$(VENV)/bin/uv pip install --quiet --python $(PYTHON) --no-deps \
	    $(PACKAGES:%=--editable %)
	touch $(STAMP)

lock:
	$(VENV)/bin/uv lock --quiet
	$(VENV)/bin/uv export --quiet --all-groups --no-emit-workspace \
	    --no-header --no-annotate --output-file requirements.lock

format: $(STAMP)
	$(VENV)/bin/ruff check --fix $(SOURCES)
	$(VENV)/bin/ruff format $(SOURCES)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

types: $(STAMP)
	$(VENV)/bin/mypy $(PACKAGES:%=%/src)
	MYPYPATH=platform $(VENV)/bin/mypy -p adapter

unit: $(STAMP)
	$(VENV)/bin/pytest

test: lint types unit

demo: $(STAMP)
	$(PYTHON) -m demo

bench: $(STAMP)
	$(PYTHON) -m bench.bench_path
	$(PYTHON) -m bench.bench_decisions
	$(PYTHON) -m bench.bench_paths
	$(PYTHON) -m bench.bench_documents
	$(PYTHON) -m bench.bench_claims
	$(PYTHON) -m bench.bench_draining
	$(PYTHON) -m bench.bench_authority

slopes: $(STAMP)
	$(PYTHON) -m bench.slopes_peers

protos: $(STAMP)
	$(PYTHON) -m grpc_tools.protoc \
	    -I packages/cactusmux-peers/protos \
	    --python_out=packages/cactusmux-peers/src \
	    --pyi_out=packages/cactusmux-peers/src \
	    packages/cactusmux-peers/protos/cactusmux_peers/peers.proto

binary: $(STAMP)
	rm -rf build/binary && mkdir -p build/binary dist
	$(VENV)/bin/uv export --quiet --no-dev --no-emit-workspace \
	    --package cactusmux --no-header --no-annotate \
	    --output-file build/binary.lock
	$(VENV)/bin/uv pip install --quiet --python $(PYTHON) \
	    --target build/binary --require-hashes -r build/binary.lock
	$(VENV)/bin/uv pip install --quiet --python $(PYTHON) \
	    --target build/binary --no-deps \
	    $(filter-out %-fakes,$(PACKAGES))
	$(VENV)/bin/shiv --site-packages build/binary --compressed \
	    --console-script cactusmux --output-file dist/cactusmux
