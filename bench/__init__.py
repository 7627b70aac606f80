"""Benchmarks; each module prints one JSON line per figure."""

import json

__all__ = ["figure"]


def figure(bench: str, name: str, value: float, unit: str, **context: object) -> None:
    """Print one figure."""
    line = {"bench": bench, "figure": name, "value": value, "unit": unit} | context
    print(json.dumps(line), flush=True)
