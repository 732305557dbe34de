"""Formats plain data and differences of bundles as text for operators."""

INDENT = "  "


def render(value, depth=0):
    """Return nested dicts, lists and scalars as indented ``name: value`` lines."""
    pad = INDENT * depth
    if isinstance(value, dict):
        return "".join(_render_item(pad, *pair, depth) for pair in value.items())
    if isinstance(value, list):
        return "".join(
            f"{pad}-\n{render(item, depth + 1)}"
            if isinstance(item, (dict, list))
            else f"{pad}- {item}\n"
            for item in value
        )
    return f"{pad}{value}\n"


def _render_item(pad, name, value, depth):
    if isinstance(value, list) and not any(
        isinstance(item, (dict, list)) for item in value
    ):
        return f"{pad}{name}: {', '.join(map(str, value)) or '-'}\n"
    if isinstance(value, (dict, list)) and value:
        return f"{pad}{name}:\n{render(value, depth + 1)}"
    return f"{pad}{name}: {'-' if value in (None, {}) else value}\n"


def diff_text(sections, difference):
    """Return a Difference from ``sections`` as lines that begin with ``-`` or ``+``."""
    old = {section.name: dict(section.options) for section in sections}
    lines = [f"-[{title}]" for title in difference.removed]
    for section in difference.changed:
        before, after = old.get(section.name), dict(section.options)
        sign = "+" if before is None else " "
        lines.append(f"{sign}[{section.name}]")
        before = before or {}
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                lines += [f"-{key} = {before[key]}"] if key in before else []
                lines += [f"+{key} = {after[key]}"] if key in after else []
    return "".join(f"{line}\n" for line in lines) or "no difference\n"
