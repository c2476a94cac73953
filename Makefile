# Two commands set everything up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard packages/*))
EDITABLE := $(foreach package,$(PACKAGES),-e $(package))

.PHONY: demo test lint format generate golden install
.PHONY: bench capacity propagation overhead shards startup days model keys key-check stops

install: $(VENV)/installed

$(VENV)/installed: requirements.txt $(foreach package,$(PACKAGES),$(package)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: install
	$(BIN)/python scripts/demo.py

test: lint
	$(BIN)/python scripts/run_tests.py

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	PYTHONPATH=platform $(BIN)/lint-imports

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# The generator is Debian's thrift-compiler. Its output is committed, so that
# neither `make demo` nor `make test` needs it.
generate:
	thrift --gen py:package_prefix=cairnferry.peers._generated. \
		-out packages/peers/src/cairnferry/peers/_generated packages/peers/peer.thrift

# Updates the golden files; review the difference before you commit it.
golden: install
	$(BIN)/python -m pytest tests/golden --snapshot-update

# Takes about 25 minutes; BENCH="--size moreton --repeats 1" runs a part of it.
bench: install
	$(BIN)/python -m bench $(BENCH)

# The next four targets take about two minutes each.
capacity: install
	$(BIN)/python -m bench.capacity

propagation: install
	$(BIN)/python -m bench.propagation

overhead: install
	$(BIN)/python -m bench.overhead

key-check: install
	$(BIN)/python -m bench.key_check

# Takes four minutes; `KEYS=install` measures only how keys come into force.
keys: install
	PYTHONPATH=platform $(BIN)/python -m bench.keys $(KEYS)

# Stops real daemons under seven ways of callers; a run takes ten seconds each.
# `STOPS="--way kept --seeds 20 --jobs 2"` selects runs.
stops: install
	PYTHONPATH=platform $(BIN)/python -m bench.stops $(STOPS)

shards: install
	$(BIN)/python -m bench.shards

# Compares the processor time of a start with that of an earlier commit, in half a
# minute: make startup REF=commit
startup: install
	$(BIN)/python -m bench.startup $(REF)

# Runs the days in deploy/days with the users' benchmark program:
# make days FLEETBENCH=program SITE=file
days: install
	FLEETBENCH=$(FLEETBENCH) $(BIN)/python -m bench.days $(SITE)

# Models in simulated time. bench.model compares policies for one service under several
# loads, in half a minute. bench.fleet runs 13 to 1,000 daemons with their membership,
# table updates and store watchers, in some minutes.
model: install
	$(BIN)/python -m bench.model
	$(BIN)/python -m bench.fleet
