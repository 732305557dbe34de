"""Checks the safety property of a protocol modelled as a transition system.

``find_trace`` searches the runs of bounded length for a violation;
``find_induction_failure`` proves by induction that no run of any length has one.

A state is an attrs class whose fields are made with ``bool_field`` and ``int_field``;
every value is a z3 term. An action has a guard and the state after it, usually made
with ``attrs.evolve``, which leaves all other fields unchanged.
"""

import attrs
import z3

BIT_WIDTH = 5
CHOICE_WIDTH = 8
SEED = 1


@attrs.frozen
class Action:
    """A transition to the state ``after``, enabled when the term ``guard`` holds."""

    name: str
    guard: object
    after: object


@attrs.frozen
class Model:
    """A transition system and its safety property.

    ``start`` is the initial state and ``actions(state)`` returns the list of actions
    from a state. The term ``safe(state)`` must hold in every state of every run.
    """

    start: object
    actions: object
    safe: object


def bool_field(count=None):
    """Return a state field for a boolean, or for ``count`` of them."""
    return attrs.field(metadata={"bool": True, "maximum": None, "count": count})


def int_field(maximum, count=None):
    """Return a state field for an integer from 0 to ``maximum``, or ``count`` of them.

    Without a maximum, the integer is unbounded in ``find_induction_failure`` and at
    most 15 in ``find_trace``, whose integers are signed and of 5 bits.
    """
    return attrs.field(metadata={"bool": False, "maximum": maximum, "count": count})


def make_state(state, **values):
    """Return a state in which each field not in ``values`` is zero or false."""
    for field in attrs.fields(state):
        default = False if field.metadata["bool"] else 0
        count = field.metadata["count"]
        values.setdefault(field.name, (default,) * count if count else default)
    return state(**values)


def set_item(values, index, value):
    """Return a copy of the tuple with the item at ``index`` replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def decrement(value):
    """Return the integer minus one, or 0 if it is 0."""
    return z3.If(value > 0, value - 1, value)


def increment(value, maximum):
    """Return the integer plus one, or itself once it has reached ``maximum``."""
    return z3.If(value < maximum, value + 1, value)


def find_trace(model, depth, prefix=()):
    """Return the action names of a run of at most ``depth`` steps that ends unsafe.

    The run begins with the actions named in ``prefix``. Return None if there is no
    such run.
    """
    solver = z3.SolverFor("QF_FD")
    solver.set("random_seed", SEED)
    first, second = (_symbols(type(model.start), step, _bit_vector) for step in (0, 1))
    choice = z3.BitVec("choice", CHOICE_WIDTH)
    step = z3.And(_any_transition(model, first, second, choice), *_ranges(second))
    solver.add(*_equations(first, model.start))
    state, choices = first, []
    for number in range(1, depth + 1):
        after = _symbols(type(model.start), number, _bit_vector)
        choices.append(z3.BitVec(f"choice.{number}", CHOICE_WIDTH))
        old = [*_terms(first), *_terms(second), choice]
        new = [*_terms(state), *_terms(after), choices[-1]]
        solver.add(z3.substitute(step, *zip(old, new, strict=True)))
        state = after
    names = [action.name for action in model.actions(model.start)]
    for choice, name in zip(choices, prefix, strict=False):
        solver.add(choice == names.index(name))
    solver.add(z3.Not(model.safe(state)))
    return _action_names(names, solver.model(), choices) if _is_sat(solver) else None


def find_induction_failure(model, invariant):
    """Return the name of the proof step at which ``invariant`` fails, or None.

    None proves that every state of every run is safe: the invariant holds in the
    initial state, each action preserves it, and it implies the safety property.
    Otherwise return "start", the name of the action, or "property".
    """
    before = _symbols(type(model.start), 0, _integer)
    after = _symbols(type(model.start), 1, _integer)
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
    """Return whether an action leads from a state to another one.

    ``before`` and ``after`` are predicates on the two states.
    """
    state = _symbols(type(model.start), 0, _integer)
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
            if not field.metadata["bool"]:
                terms.append(item >= 0)
            if field.metadata["maximum"] is not None:
                terms.append(item <= field.metadata["maximum"])
    return terms


def _any_transition(model, before, after, choice):
    steps = [
        z3.And(choice == index, action.guard, *_equations(after, action.after))
        for index, action in enumerate(model.actions(before))
    ]
    return z3.Or(z3.And(choice == len(steps), *_equations(after, before)), *steps)


def _action_names(names, found, choices):
    indexes = [
        found.eval(choice, model_completion=True).as_long() for choice in choices
    ]
    return [names[index] for index in indexes if index < len(names)]


def _bit_vector(name):
    return z3.BitVec(name, BIT_WIDTH)


def _integer(name):
    return z3.Int(name)


def _symbols(state, step, number):
    values = []
    for field in attrs.fields(state):
        make = z3.Bool if field.metadata["bool"] else number
        count = field.metadata["count"]
        names = [f"{field.name}.{item}.{step}" for item in range(count or 1)]
        terms = tuple(make(name) for name in names)
        values.append(terms if count else terms[0])
    return state(*values)


def _terms(state):
    terms = []
    for field in attrs.fields(type(state)):
        value = getattr(state, field.name)
        terms.extend(value if isinstance(value, tuple) else [value])
    return terms


def _equations(left, right):
    return [
        one == other for one, other in zip(_terms(left), _terms(right), strict=True)
    ]
