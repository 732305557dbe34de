"""Steps for the bundle module, and the bundle that the fleet's steps share."""

from behave import then, when
from hypothesis import given, settings, strategies as st

from cardamomgrade.bundle import (
    apply_sections,
    bundle_from_sections,
    diff_sections,
    parse_bundle,
    revise_bundle,
)
from cardamomgrade.errors import BundleError

TRIES = 100
FIXED = settings(max_examples=TRIES, derandomize=True, deadline=None, database=None)


def bundle_options(version=1, a_vms=4, b_vms=2, moved=(), **changes):
    """Return {section: {option: text}} of a bundle with the pools a and b.

    Racks have two VMs; the VMs in ``moved`` are assigned to pool b. ``changes`` maps
    sections, with ``_`` for the space, to options that are set.
    """
    sections = {
        "bundle": {"version": version, "author": "ada", "seats": "e1, e2"},
        "pool a": {"slots": 8, "connections": 64},
        "pool b": {"slots": 8, "connections": 64},
        "service s": {"pool": "a", "path": "/s", "min_serving": 1},
        "service t": {"pool": "b", "path": "/t", "min_serving": 1},
        "wave w": {"pools": "a, b", "round": 1},
    }
    for pool, count in (("a", a_vms), ("b", b_vms)):
        for index in range(count):
            vm = f"{pool}{index}"
            sections[f"vm {vm}"] = {
                "pool": "b" if vm in moved else pool,
                "zone": f"z{index % 2}",
                "rack": f"r{pool}{index % 2}{index // 4}",
                "address": f"127.0.0.1:{9000 + index + 500 * (pool == 'b')}",
            }
    for section, options in changes.items():
        sections.setdefault(section.replace("_", " ", 1), {}).update(options)
    return sections


def bundle_text(sections):
    lines = []
    for section, options in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in options.items()]
    return "\n".join(lines) + "\n"


def make_bundle(**changes):
    return parse_bundle(bundle_text(bundle_options(**changes)))


def bundles():
    return st.builds(
        make_bundle,
        version=st.integers(1, 5),
        a_vms=st.integers(1, 9),
        b_vms=st.integers(2, 5),
        service_s=st.fixed_dictionaries({"deadline_ms": st.integers(1, 60_000)}),
        wave_w=st.fixed_dictionaries({"round": st.integers(0, 9)}),
    )


@then("every generated bundle equals the one that its sections give")
def step_sections(context):
    @FIXED
    @given(bundles())
    def check(bundle):
        again = bundle_from_sections(bundle.sections)
        assert again == bundle and again.vms == bundle.vms
        assert again.sections == bundle.sections

    check()


@then("the difference of every generated pair of bundles turns one into the other")
def step_difference(context):
    @FIXED
    @given(bundles(), bundles())
    def check(old, new):
        difference = diff_sections(old.sections, new.sections)
        applied = apply_sections(old.sections, difference.changed, difference.removed)
        assert applied == new.sections
        assert revise_bundle(old, difference) == new

    check()


@when('the bundle option "{section}" "{key}" is set to "{value}"')
def step_set_option(context, section, key, value):
    sections = bundle_options()
    sections.setdefault(section, {})[key] = value
    context.bundle_text = bundle_text(sections)


@when('the bundle option "{section}" "{key}" is set to ""')
def step_empty_option(context, section, key):
    step_set_option(context, section, key, "")


@then('the bundle is rejected with an error that names "{section}" and "{text}"')
def step_refused(context, section, text):
    try:
        parse_bundle(context.bundle_text, "trial.ini")
    except BundleError as exc:
        assert "trial.ini: " in str(exc) and f"[{section}]" in str(exc), exc
        assert text in str(exc), exc
        return
    raise AssertionError("the bundle was accepted")
