PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check bench capacity breaks soak thrift

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m examples.demo
	$(BIN)/python -m examples.berthline

check: $(VENV)/.ready
	$(BIN)/ruff format --check arbutuscleat platform tests benchmarks examples
	$(BIN)/ruff check arbutuscleat platform tests benchmarks examples
	$(BIN)/mypy
	$(BIN)/lint-imports

test: check
	$(BIN)/python -m pytest -q

bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks.request_path
	$(BIN)/python -m benchmarks.change_rollout
	$(BIN)/python -m benchmarks.consensus
	$(BIN)/python -m benchmarks.replay
	$(BIN)/python -m benchmarks.overload
	$(BIN)/python -m benchmarks.refusals
	$(BIN)/python -m benchmarks.team_plans
	$(BIN)/python -m benchmarks.outlier_rules
	$(BIN)/python -m benchmarks.waves
	$(BIN)/python -m benchmarks.spare_pool
	$(BIN)/python -m benchmarks.load_with_faults

capacity: $(VENV)/.ready
	$(BIN)/python -m benchmarks.capacity

thrift:
	thrift -r --gen py -out . arbutuscleat/wire/arbutuscleat.thrift
	thrift --gen py:slots -out . arbutuscleat/wire/jobs.thrift
	rm -f __init__.py arbutuscleat/wire/gen/*-remote arbutuscleat/wire/gen_jobs/*-remote

breaks: $(VENV)/.ready
	$(BIN)/python -m tests.breaks

SEED ?= 1

soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak --regressions
	$(BIN)/python -m tests.soak --seed $(SEED) --seeds 50
