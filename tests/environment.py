"""Behave hooks: makes tests/harness.py importable, ends processes after scenarios."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import harness  # noqa: E402


def after_scenario(context, scenario):
    harness.end_processes()
