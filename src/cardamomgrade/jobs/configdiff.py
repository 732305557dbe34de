"""Difference between two configurations; pure functions. Keys are only counted."""

import attrs


@attrs.frozen
class FieldChange:
    """A field with another value; ``path`` leads to it from its item."""

    path: tuple
    before: object
    after: object


@attrs.frozen
class ItemChange:
    """An item that both versions have, with its FieldChanges.

    ``keys_added`` and ``keys_removed`` are counts, and 0 for all but customers.
    """

    name: str
    fields: tuple
    keys_added: int = 0
    keys_removed: int = 0


@attrs.frozen
class ListDifference:
    """Names that were added and removed, and the ItemChanges of the others."""

    added: tuple
    removed: tuple
    changed: tuple


@attrs.frozen
class ConfigDifference:
    """What a version changes in another one.

    ``keys_added`` and ``keys_removed`` count the keys of all customers, also of those
    that were added or removed.
    """

    from_version: int
    to_version: int
    body_limit: FieldChange | None
    queues: ListDifference
    services: ListDifference
    customers: ListDifference
    keys_added: int
    keys_removed: int


def _field_changes(before, after, path=()):
    for field in attrs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new or field.name == "key_digests":
            continue
        if attrs.has(type(old)) and attrs.has(type(new)):
            yield from _field_changes(old, new, (*path, field.name))
        else:
            yield FieldChange((*path, field.name), _plain(old), _plain(new))


def _plain(value):
    return "set" if attrs.has(type(value)) else value


def _keys(item):
    return set(getattr(item, "key_digests", ()))


def _compare(before, after):
    """Return the ListDifference of two sequences; the first item of a name counts."""
    old = {item.name: item for item in reversed(before)}
    new = {item.name: item for item in reversed(after)}
    changed = []
    for name in sorted(old.keys() & new.keys()):
        change = ItemChange(
            name,
            tuple(_field_changes(old[name], new[name])),
            len(_keys(new[name]) - _keys(old[name])),
            len(_keys(old[name]) - _keys(new[name])),
        )
        if change.fields or change.keys_added or change.keys_removed:
            changed.append(change)
    return ListDifference(
        tuple(sorted(new.keys() - old.keys())),
        tuple(sorted(old.keys() - new.keys())),
        tuple(changed),
    )


def config_difference(before, after):
    """Return the ConfigDifference from one QueueConfig to another."""
    old, new = before.customers or (), after.customers or ()
    old_keys = set().union(*map(_keys, old))
    new_keys = set().union(*map(_keys, new))
    body = FieldChange(("body_limit",), before.body_limit, after.body_limit)
    return ConfigDifference(
        before.version,
        after.version,
        body if before.body_limit != after.body_limit else None,
        _compare(before.queues, after.queues),
        _compare(before.services, after.services),
        _compare(old, new),
        len(new_keys - old_keys),
        len(old_keys - new_keys),
    )
