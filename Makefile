# Two commands on a fresh machine: `make test` and `make day`. Both make the environment first.
PYTHON ?= python3
RUN = .venv/bin/python

.PHONY: test day lint bench bench-model bench-config fuzz steady standing search losses kills changes bench-changes bench-members scale mixed soak
.venv/made: pyproject.toml requirements.txt requirements-run.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(RUN) -m pip -q --disable-pip-version-check install -r requirements.txt -r requirements-run.txt -r requirements-dev.txt
	$(RUN) -m pip -q --disable-pip-version-check install --no-deps -e .
	touch $@

test: .venv/made
	$(RUN) -m pytest -q

lint: .venv/made
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .

day: .venv/made
	$(RUN) -m anisefront day examples/bad-saturday

bench: .venv/made
	$(RUN) -m benchmarks.held
	$(RUN) -m benchmarks.run

bench-model: .venv/made
	$(RUN) -m benchmarks.model
	$(RUN) -m benchmarks.calibration
	$(RUN) -m benchmarks.ordering

bench-config: .venv/made
	$(RUN) -m benchmarks.config

# Twenty rounds of the tests, ten of them beside eight busy processes; about forty minutes.
steady: .venv/made
	$(RUN) tests/repeat_suite.py

fuzz: .venv/made
	$(RUN) tests/fuzz_config.py 60

# The quick set of the users' standing test on four deployments; ten minutes and more, 600 processes.
standing: .venv/made
	$(RUN) -m benchmarks.standing

# Thousands of random schedules of faults; about ten minutes.
search: .venv/made
	$(RUN) tests/search.py 3000

# Kills with work in hand, with keepers and without, twenty rounds each; about eight minutes.
losses: .venv/made
	$(RUN) tests/replication_losses.py 20

# An hour of random troubles under load, judged by what crossed the sockets.
kills: .venv/made
	$(RUN) tests/kill_loop.py 3600

# Six gatekeepers of full size under load whose settings change once a second, judged by their answers; under a minute.
changes: .venv/made
	PYTHONPATH=. $(RUN) tests/change_loop.py 30

# What a change costs one gatekeeper of full size. BEFORE=FOLDER, a checkout of another text, is measured in the same run.
bench-changes: .venv/made
	$(RUN) -m benchmarks.changes $(if $(BEFORE),--before $(BEFORE))

bench-members: .venv/made
	$(RUN) -m benchmarks.members 24 100 200

# The planned size, one axis at a time and whole: benchmarks/results/scale.json. Under fifteen minutes, most of a machine
# of eight cores, under half of its memory; a part by name: python -m benchmarks.scale routes.
# --before: the last revision whose changes of settings read all files anew, beside today's.
scale: .venv/made
	$(RUN) -m benchmarks.scale --before 8cf8140

# Instances of this text and of another checkout in one fleet, with kills: CHECKOUT=FOLDER. About forty seconds.
mixed: .venv/made
	PYTHONPATH=. $(RUN) tests/mixed_versions.py $(CHECKOUT)

# Planned restarts of `node` under pipelined load, with signals in series and workers, discovery and peers that go wrong;
# RUNS seeds from SEED, SECONDS of load each. Four instances; about half a minute more for start and end.
SECONDS ?= 60
SEED ?= 1
RUNS ?= 1
soak: .venv/made
	$(RUN) -m anisefront.testbed.soak $(SECONDS) $(SEED) $(RUNS)
