"""Bundles: the fleet's configuration, parsed from INI text into attrs classes.

The canonical sections of a bundle hold its checked options as text, sorted by name,
without options that have their default value. The digest covers these sections, so
it does not depend on the layout and comments of the file.
"""

import hashlib
import sys

import attrs
import cbor2

from .errors import BundleError, SettingsError
from .fields import (
    choice_field,
    endpoint_address,
    name_field,
    names_field,
    number_field,
    path_prefix,
    text_field,
)
from .records import Section
from .settings import name, read_ini

BUNDLE_SECTION = "bundle"
VERSION_MAX = 2**53
DEADLINE_MAX_MS = 600_000
KEY_MEMORY_MAX_S = 7 * 24 * 3600
WEIGHT_MAX = 100.0
POOL_VMS_MAX = 100_000
URGENCIES = ("urgent", "batch")
RETRIES = ("safe", "all", "none")


@attrs.frozen
class Header:
    """The section ``[bundle]``: version, author, seats and planning weights.

    ``seats`` are the names of the entries that share the slots and connections.
    ``key_memory_s`` is how long the entries remember an idempotency key.
    """

    version: int = number_field(1, VERSION_MAX)
    author: str = name_field()
    seats: tuple = names_field()
    key_memory_s: int = number_field(1, KEY_MEMORY_MAX_S, 86_400)
    weight_moves: float = number_field(0.0, WEIGHT_MAX, 1.0, float)
    weight_buffer: float = number_field(0.0, WEIGHT_MAX, 1.0, float)
    weight_rollout: float = number_field(0.0, WEIGHT_MAX, 1.0, float)


@attrs.frozen
class Pool:
    """A pool of VMs; ``slots`` and ``connections`` are limits of each VM."""

    name: str
    slots: int = number_field(1, 1024)
    connections: int = number_field(1, 65536)


@attrs.frozen
class Service:
    """A service on a pool.

    ``min_serving`` is its availability budget: the number of VMs that must serve.
    """

    name: str
    pool: str = name_field()
    path: str = text_field(path_prefix, "a path that begins with /")
    urgency: str = choice_field(URGENCIES, "urgent")
    deadline_ms: int = number_field(1, DEADLINE_MAX_MS, 10_000)
    queue: int = number_field(0, 1_000_000, 100)
    min_serving: int = number_field(0, POOL_VMS_MAX, 1)
    retry: str = choice_field(RETRIES, "safe")


@attrs.frozen
class Vm:
    """The pool and place of a VM; ``address`` is the ip:port of its endpoint."""

    name: str
    pool: str = name_field()
    zone: str = name_field()
    rack: str = name_field()
    address: str = text_field(endpoint_address, "ip:port")


@attrs.frozen
class Wave:
    """A maintenance wave, which reboots each VM of its pools once per round.

    Rounds count from 1; round 0 reboots nothing. ``zones`` gives the order in which
    zones are rebooted; zones that are not named follow by name.
    """

    name: str
    pools: tuple = names_field()
    round: int = number_field(0, VERSION_MAX, 0)
    zones: tuple = names_field(default=())


_SECTION_CLASSES = {"pool": Pool, "service": Service, "vm": Vm, "wave": Wave}


@attrs.frozen
class Difference:
    """What a bundle changes in its parent.

    ``changed`` holds the Sections that are changed or added, ``removed`` the names of
    those that are removed.
    """

    changed: tuple
    removed: tuple


@attrs.frozen(eq=False)
class Bundle:
    """A checked bundle; bundles with equal digests are equal.

    ``pools``, ``services``, ``vms`` and ``waves`` are dicts by name that must not be
    modified. ``digest`` is a SHA-256 digest of 32 bytes, computed from those of the
    sections, ``digests`` {section name: digest}.
    """

    header: Header
    pools: dict
    services: dict
    vms: dict
    waves: dict
    digest: bytes
    _digests: dict = attrs.field(repr=False, alias="digests")

    version = property(lambda self: self.header.version)
    author = property(lambda self: self.header.author)
    seats = property(lambda self: self.header.seats)
    key_memory_s = property(lambda self: self.header.key_memory_s)
    weight_moves = property(lambda self: self.header.weight_moves)
    weight_buffer = property(lambda self: self.header.weight_buffer)
    weight_rollout = property(lambda self: self.header.weight_rollout)

    def __eq__(self, other):
        return isinstance(other, Bundle) and self.digest == other.digest

    def __hash__(self):
        return hash(self.digest)

    @property
    def sections(self):
        """The canonical sections as a tuple, sorted by name."""
        return tuple(self.each_section())

    def each_section(self):
        """Yield the canonical sections, sorted by name."""
        for section_name in sorted(self._digests):
            section_type, _, item_name = section_name.partition(" ")
            item = self.header
            if section_type in _SECTION_CLASSES:
                item = _items_of(self, section_type)[item_name]
            yield _build_section(section_name, item)

    @property
    def longest_deadline_ms(self):
        """The longest deadline of any service, or 0 without services."""
        deadlines = (item.deadline_ms for item in self.services.values())
        return max(deadlines, default=0)


def _items_of(bundle, section_type):
    return getattr(bundle, f"{section_type}s")


def _option_text(value):
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def _build_section(section_name, item):
    options = []
    for field in attrs.fields(type(item)):
        value = getattr(item, field.name)
        if "convert" in field.metadata and value != field.default:
            options.append((field.name, _option_text(value)))
    return Section(section_name, tuple(sorted(options)))


def _section_digest(section):
    options = [list(pair) for pair in section.options]
    return hashlib.sha256(cbor2.dumps([section.name, options])).digest()


def _bundle_digest(digests):
    combined = hashlib.sha256()
    for section_name in sorted(digests):
        combined.update(digests[section_name])
    return combined.digest()


def _parse_section(section, path):
    """Return the Header, Pool, Service, Vm or Wave of a section.

    Raises BundleError when its name or one of its options is invalid.
    """
    cls, values = Header, {}
    if section.name != BUNDLE_SECTION:
        section_type, _, item_name = section.name.partition(" ")
        cls = _SECTION_CLASSES.get(section_type)
        if cls is None:
            allowed = "[bundle], " + ", ".join(
                f"[{section_type} NAME]" for section_type in _SECTION_CLASSES
            )
            raise BundleError(
                f"{path}: unknown section [{section.name}]; allowed: {allowed}"
            )
        try:
            values["name"] = sys.intern(name(item_name))
        except ValueError as exc:
            raise BundleError(f"{path}: [{section.name}]: {exc}") from exc
    return cls(**values, **_parse_options(cls, section, path))


def _parse_options(cls, section, path):
    fields = {
        field.name: field for field in attrs.fields(cls) if "convert" in field.metadata
    }
    values = {}
    for key, text in section.options:
        if key not in fields:
            allowed = ", ".join(sorted(fields))
            raise BundleError(
                f"{path}: unknown key [{section.name}] {key}; allowed: {allowed}"
            )
        allowed = fields[key].metadata["allowed"]
        try:
            values[key] = fields[key].metadata["convert"](text)
        except (ValueError, AttributeError, TypeError) as exc:
            raise BundleError(
                f"{path}: [{section.name}] {key} = {text!r}: {exc}; allowed: {allowed}"
            ) from exc
    for key, field in fields.items():
        if key not in values and field.default is attrs.NOTHING:
            raise BundleError(
                f"{path}: missing key [{section.name}] {key}; "
                f"allowed: {field.metadata['allowed']}"
            )
    return values


def parse_bundle(text, path="bundle"):
    """Return the Bundle of INI text.

    Raises BundleError with the file, section, key, value and what is allowed.
    """
    try:
        parser = read_ini(path, text)
    except SettingsError as exc:
        raise BundleError(str(exc)) from exc
    if parser.defaults():
        raise BundleError(f"{path}: section [DEFAULT] is not allowed")
    sections = (
        Section(section_name, tuple(sorted(parser[section_name].items())))
        for section_name in parser.sections()
    )
    return bundle_from_sections(tuple(sections), path)


def bundle_from_sections(sections, path="bundle"):
    """Return the Bundle of an iterable of Sections.

    Raises BundleError when they are not a valid bundle.
    """
    return revise_bundle(None, Difference(sections, ()), path)


def revise_bundle(parent, difference, path="bundle"):
    """Return the Bundle that a Difference makes of ``parent``, None for no parent.

    Only the changed sections are parsed. Raises BundleError when the result is not a
    valid bundle.
    """
    header = parent.header if parent else None
    items_by_type = {
        section_type: dict(_items_of(parent, section_type)) if parent else {}
        for section_type in _SECTION_CLASSES
    }
    digests = dict(parent._digests) if parent else {}
    for section_name in difference.removed:
        section_type, _, item_name = section_name.partition(" ")
        if (
            section_type not in items_by_type
            or item_name not in items_by_type[section_type]
        ):
            raise BundleError(
                f"{path}: [{section_name}] is removed but missing in the parent"
            )
        del items_by_type[section_type][item_name]
        del digests[section_name]
    for section in difference.changed:
        item = _parse_section(section, path)
        if section.name == BUNDLE_SECTION:
            header = item
        else:
            items_by_type[section.name.partition(" ")[0]][item.name] = item
        digests[section.name] = _section_digest(_build_section(section.name, item))
    if header is None:
        raise BundleError(f"{path}: missing section [{BUNDLE_SECTION}]")
    pools, services, vms, waves = items_by_type.values()
    digest = _bundle_digest(digests)
    bundle = Bundle(header, pools, services, vms, waves, digest, digests)
    _check_references(bundle, path)
    _check_vms(bundle, path)
    return bundle


def _check_references(bundle, path):
    pools = bundle.pools
    paths = {}
    for service in bundle.services.values():
        section = f"{path}: [service {service.name}]"
        if service.pool not in pools:
            raise BundleError(f"{section} pool = {service.pool!r}: no such pool")
        other = paths.setdefault(service.path, service.name)
        if other != service.name:
            raise BundleError(
                f"{section} path = {service.path!r}: also the path of {other}"
            )
    for wave in bundle.waves.values():
        for pool in wave.pools:
            if pool not in pools:
                raise BundleError(
                    f"{path}: [wave {wave.name}] pools = {pool!r}: no such pool"
                )


def _check_vms(bundle, path):
    sizes, addresses, zones = {}, {}, set()
    for vm in bundle.vms.values():
        section = f"{path}: [vm {vm.name}]"
        if vm.pool not in bundle.pools:
            raise BundleError(f"{section} pool = {vm.pool!r}: no such pool")
        other = addresses.setdefault(vm.address, vm.name)
        if other != vm.name:
            raise BundleError(
                f"{section} address = {vm.address!r}: also the address of {other}"
            )
        sizes[vm.pool] = sizes.get(vm.pool, 0) + 1
        zones.add(vm.zone)
    for service in bundle.services.values():
        size = sizes.get(service.pool, 0)
        if service.min_serving > size:
            raise BundleError(
                f"{path}: [service {service.name}] min_serving = "
                f"{service.min_serving}; allowed: up to {size}, the size of its pool"
            )
    for wave in bundle.waves.values():
        for zone in wave.zones:
            if zone not in zones:
                raise BundleError(
                    f"{path}: [wave {wave.name}] zones = {zone!r}: no VM in this zone"
                )


def diff_sections(old_sections, new_sections):
    """Return the Difference that turns the old sections into the new ones."""
    old = {section.name: section for section in old_sections}
    new = {section.name: section for section in new_sections}
    changed = [
        section
        for section_name, section in new.items()
        if old.get(section_name) != section
    ]
    removed = [section_name for section_name in old if section_name not in new]
    changed.sort(key=lambda section: section.name)
    return Difference(tuple(changed), tuple(sorted(removed)))


def apply_sections(sections, changed, removed):
    """Return the tuple of sections after a difference, sorted by name."""
    merged = {section.name: section for section in sections}
    for section_name in removed:
        merged.pop(section_name, None)
    merged.update((section.name, section) for section in changed)
    return tuple(merged[section_name] for section_name in sorted(merged))
