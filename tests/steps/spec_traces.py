"""Search for unsafe runs, cached because several features need the same ones."""

import importlib
from functools import cache

from specs.checker import find_trace


@cache
def search(name, rule, depth, prefix=""):
    """Return the action names of an unsafe run of a model without ``rule``, or None.

    With an empty ``rule``, all rules hold. ``prefix`` names the first actions of the
    run, separated by ", ".
    """
    spec = importlib.import_module(f"specs.{name}")
    rules = spec.Rules(**{rule: False}) if rule else spec.Rules()
    first_actions = prefix.split(", ") if prefix else ()
    return find_trace(getattr(spec, name)(rules), depth, first_actions)
