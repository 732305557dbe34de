"""Searches that several features share; each is made once a run."""

import importlib
from functools import cache

from specs.checker import find_trace


@cache
def search(name, rule, depth, prefix=""):
    """Return the unsafe run of a specification without ``rule`` (empty: with all)."""
    spec = importlib.import_module(f"specs.{name}")
    rules = spec.Rules(**{rule: False}) if rule else spec.Rules()
    begun = prefix.split(", ") if prefix else ()
    return find_trace(getattr(spec, name)(rules), depth, begun)
