"""Searches a typed transition system for a run that breaks its property.

A state is an attrs class whose fields were made with ``flag`` and ``level``; every
value is a z3 term. An action holds its guard and the state after it, usually made by
``attrs.evolve``, so that what it does not name stays as it was.
"""

import attrs
import z3

BIT_WIDTH = 5
PICK_WIDTH = 8
SEED = 1


@attrs.frozen
class Action:
    """A step that ``guard`` allows and that leads to the state ``after``."""

    name: str
    guard: object
    after: object


@attrs.frozen
class Model:
    """A transition system whose ``safe(state)`` must hold in each state of each run.

    ``actions(state)`` returns the actions from a state.
    """

    start: object
    actions: object
    safe: object


def flag(count=None):
    """Return a state field that holds a truth value, or ``count`` of them."""
    return attrs.field(metadata={"truth": True, "top": None, "count": count})


def level(top, count=None):
    """Return a state field that holds a number from 0 to ``top``.

    With None there is no bound for ``find_gap``, and 15 for ``find_trace``.
    """
    return attrs.field(metadata={"truth": False, "top": top, "count": count})


def blank(state, **values):
    """Return a state of zeros and false values but for the ``values``."""
    for field in attrs.fields(state):
        zero = False if field.metadata["truth"] else 0
        count = field.metadata["count"]
        values.setdefault(field.name, (zero,) * count if count else zero)
    return state(**values)


def put(values, index, value):
    """Return the tuple with one item replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def down(value):
    """Return the number one lower, not under 0."""
    return z3.If(value > 0, value - 1, value)


def up(value, top):
    """Return the number one higher, not over ``top``."""
    return z3.If(value < top, value + 1, value)


def find_trace(model, depth, prefix=()):
    """Return the action names of an unsafe run of at most ``depth`` steps.

    The run begins with the actions named in ``prefix``. Returns None when there is
    no such run.
    """
    solver = z3.SolverFor("QF_FD")
    solver.set("random_seed", SEED)
    first, second = (_symbols(type(model.start), step, _bits) for step in (0, 1))
    pick = z3.BitVec("pick", PICK_WIDTH)
    step = z3.And(_any_step(model, first, second, pick), *_ranges(second))
    solver.add(*_equations(first, model.start))
    state, picks = first, []
    for number in range(1, depth + 1):
        after = _symbols(type(model.start), number, _bits)
        picks.append(z3.BitVec(f"pick.{number}", PICK_WIDTH))
        old = [*_flat(first), *_flat(second), pick]
        new = [*_flat(state), *_flat(after), picks[-1]]
        solver.add(z3.substitute(step, *zip(old, new, strict=True)))
        state = after
    names = [action.name for action in model.actions(model.start)]
    for pick, name in zip(picks, prefix, strict=False):
        solver.add(pick == names.index(name))
    solver.add(z3.Not(model.safe(state)))
    return _names(names, solver.model(), picks) if _is_sat(solver) else None


def find_gap(model, invariant):
    """Return the name of the step that ``invariant`` does not survive, or None.

    None proves that every state of every run is safe: the invariant holds at the
    start, each action keeps it, and it implies the property.
    """
    before = _symbols(type(model.start), 0, _integers)
    after = _symbols(type(model.start), 1, _integers)
    holds = z3.And(*_ranges(before), invariant(before))
    start = z3.And(*_equations(before, model.start))
    if _is_sat(_solver(start, z3.Not(invariant(before)))):
        return "start"
    for action in model.actions(before):
        step = z3.And(action.guard, *_equations(after, action.after))
        kept = z3.And(*_ranges(after), invariant(after))
        if _is_sat(_solver(holds, step, z3.Not(kept))):
            return action.name
    return "property" if _is_sat(_solver(holds, z3.Not(model.safe(before)))) else None


def can_step(model, before, after):
    """Return whether an action leads from a ``before`` to an ``after`` state."""
    state = _symbols(type(model.start), 0, _integers)
    return any(
        _is_sat(_solver(before(state), action.guard, after(action.after)))
        for action in model.actions(state)
    )


def _solver(*terms):
    solver = z3.Solver()
    solver.set("random_seed", SEED)
    solver.add(*terms)
    return solver


def _is_sat(solver):
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(solver.reason_unknown())
    return result == z3.sat


def _ranges(state):
    terms = [z3.BoolVal(True)]
    for field in attrs.fields(type(state)):
        value = getattr(state, field.name)
        for item in value if isinstance(value, tuple) else (value,):
            if not field.metadata["truth"]:
                terms.append(item >= 0)
            if field.metadata["top"] is not None:
                terms.append(item <= field.metadata["top"])
    return terms


def _any_step(model, before, after, pick):
    steps = [
        z3.And(pick == index, action.guard, *_equations(after, action.after))
        for index, action in enumerate(model.actions(before))
    ]
    return z3.Or(z3.And(pick == len(steps), *_equations(after, before)), *steps)


def _names(names, found, picks):
    indexes = [found.eval(pick, model_completion=True).as_long() for pick in picks]
    return [names[index] for index in indexes if index < len(names)]


def _bits(name):
    return z3.BitVec(name, BIT_WIDTH)


def _integers(name):
    return z3.Int(name)


def _symbols(state, step, number):
    values = []
    for field in attrs.fields(state):
        make = z3.Bool if field.metadata["truth"] else number
        count = field.metadata["count"]
        names = [f"{field.name}.{item}.{step}" for item in range(count or 1)]
        terms = tuple(make(name) for name in names)
        values.append(terms if count else terms[0])
    return state(*values)


def _flat(state):
    terms = []
    for field in attrs.fields(type(state)):
        value = getattr(state, field.name)
        terms.extend(value if isinstance(value, tuple) else [value])
    return terms


def _equations(left, right):
    return [one == other for one, other in zip(_flat(left), _flat(right), strict=True)]
