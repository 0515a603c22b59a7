.PHONY: install demo test lint proto docs

install:
	python3 -m pip install -e '.[dev]'

demo:
	python3 -m primroseglade demo

test:
	python3 -m pytest

lint:
	ruff check . && ruff format --check .

proto:
	cd primroseglade/proto && python3 -m grpc_tools.protoc -I. --python_out=. control.proto

docs:
	python3 -m primroseglade.reference docs
