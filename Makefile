.PHONY: build lint test run demo

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	.venv/bin/pip -q install --no-deps -e .

lint:
	.venv/bin/ruff format --check -q .
	.venv/bin/ruff check fordstair benchmarks tests
	.venv/bin/mypy
	.venv/bin/lint-imports --no-logo

test:
	bash tests/run

run:
	.venv/bin/python -m fordstair

demo:
	.venv/bin/fordstair demo
