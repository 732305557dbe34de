"""Bundles: INI text checked into attrs classes, their difference and digest.

The canonical sections of a bundle hold its checked options as text, sorted by name,
without options that have their default value. The digest covers these sections, so
that layout and comments of the file do not count.
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
    """The section ``[bundle]``: version, author, seats and planning weights."""

    version: int = number_field(1, VERSION_MAX)
    author: str = name_field()
    seats: tuple = names_field()
    key_memory_s: int = number_field(1, KEY_MEMORY_MAX_S, 86_400)
    weight_moves: float = number_field(0.0, WEIGHT_MAX, 1.0, float)
    weight_buffer: float = number_field(0.0, WEIGHT_MAX, 1.0, float)
    weight_rollout: float = number_field(0.0, WEIGHT_MAX, 1.0, float)


@attrs.frozen
class Pool:
    """A pool; ``slots`` and ``connections`` are the limits of each of its VMs."""

    name: str
    slots: int = number_field(1, 1024)
    connections: int = number_field(1, 65536)


@attrs.frozen
class Service:
    """A service on a pool; ``min_serving`` is its availability budget in VMs."""

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
    """A VM as the bundle assigns it; ``address`` is ip:port of its endpoint."""

    name: str
    pool: str = name_field()
    zone: str = name_field()
    rack: str = name_field()
    address: str = text_field(endpoint_address, "ip:port")


@attrs.frozen
class Wave:
    """A maintenance wave: every VM of its pools is rebooted once in a round above 0."""

    name: str
    pools: tuple = names_field()
    round: int = number_field(0, VERSION_MAX, 0)
    zones: tuple = names_field(default=())


_KINDS = {"pool": Pool, "service": Service, "vm": Vm, "wave": Wave}


@attrs.frozen
class Difference:
    """Sections that a bundle changes or adds, and names of those it removes."""

    changed: tuple
    removed: tuple


@attrs.frozen(eq=False)
class Bundle:
    """A checked bundle; two bundles are equal when their digests are.

    ``pools``, ``services``, ``vms`` and ``waves`` are dicts by name, not to be
    changed. ``digest`` has 32 bytes.
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
        """The canonical sections, sorted by name."""
        return tuple(self.each_section())

    def each_section(self):
        """Yield the canonical sections, sorted by name."""
        for title in sorted(self._digests):
            kind, _, item_name = title.partition(" ")
            item = self.header
            if kind in _KINDS:
                item = _items(self, kind)[item_name]
            yield _section_of(title, item)

    @property
    def longest_deadline_ms(self):
        """The longest deadline of any service, 0 without services."""
        deadlines = (item.deadline_ms for item in self.services.values())
        return max(deadlines, default=0)


def _items(bundle, kind):
    return getattr(bundle, f"{kind}s")


def _text(value):
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def _section_of(title, item):
    options = []
    for field in attrs.fields(type(item)):
        value = getattr(item, field.name)
        if "convert" in field.metadata and value != field.default:
            options.append((field.name, _text(value)))
    return Section(title, tuple(sorted(options)))


def _section_digest(section):
    options = [list(pair) for pair in section.options]
    return hashlib.sha256(cbor2.dumps([section.name, options])).digest()


def _digest(digests):
    whole = hashlib.sha256()
    for title in sorted(digests):
        whole.update(digests[title])
    return whole.digest()


def _parse_section(section, path):
    """Return the item that a section describes."""
    cls, values = Header, {}
    if section.name != BUNDLE_SECTION:
        kind, _, item_name = section.name.partition(" ")
        cls = _KINDS.get(kind)
        if cls is None:
            allowed = "[bundle], " + ", ".join(f"[{kind} NAME]" for kind in _KINDS)
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

    Raises BundleError naming file, section, key, value and what is allowed.
    """
    try:
        parser = read_ini(path, text)
    except SettingsError as exc:
        raise BundleError(str(exc)) from exc
    if parser.defaults():
        raise BundleError(f"{path}: section [DEFAULT] is not allowed")
    sections = (
        Section(title, tuple(sorted(parser[title].items())))
        for title in parser.sections()
    )
    return bundle_from_sections(tuple(sections), path)


def bundle_from_sections(sections, path="bundle"):
    """Return the Bundle of an iterable of sections.

    Raises BundleError when they are no valid bundle.
    """
    return revise_bundle(None, Difference(sections, ()), path)


def revise_bundle(parent, difference, path="bundle"):
    """Return ``parent`` (or nothing, when None) with a Difference applied.

    Only the changed sections are parsed; raises BundleError when the outcome is not
    a valid bundle.
    """
    header = parent.header if parent else None
    maps = {kind: dict(_items(parent, kind)) if parent else {} for kind in _KINDS}
    digests = dict(parent._digests) if parent else {}
    for title in difference.removed:
        kind, _, item_name = title.partition(" ")
        if kind not in maps or item_name not in maps[kind]:
            raise BundleError(f"{path}: [{title}] is removed but not in the parent")
        del maps[kind][item_name]
        del digests[title]
    for section in difference.changed:
        item = _parse_section(section, path)
        if section.name == BUNDLE_SECTION:
            header = item
        else:
            maps[section.name.partition(" ")[0]][item.name] = item
        digests[section.name] = _section_digest(_section_of(section.name, item))
    if header is None:
        raise BundleError(f"{path}: missing section [{BUNDLE_SECTION}]")
    pools, services, vms, waves = maps.values()
    digest = _digest(digests)
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
                f"{service.min_serving}; allowed: up to {size}, the VMs of its pool"
            )
    for wave in bundle.waves.values():
        for zone in wave.zones:
            if zone not in zones:
                raise BundleError(
                    f"{path}: [wave {wave.name}] zones = {zone!r}: no VM in this zone"
                )


def diff_sections(old_sections, new_sections):
    """Return the Difference from the old to the new sections."""
    old = {section.name: section for section in old_sections}
    new = {section.name: section for section in new_sections}
    changed = [section for title, section in new.items() if old.get(title) != section]
    removed = [title for title in old if title not in new]
    changed.sort(key=lambda section: section.name)
    return Difference(tuple(changed), tuple(sorted(removed)))


def apply_sections(sections, changed, removed):
    """Return sections, sorted by name, with a difference applied."""
    merged = {section.name: section for section in sections}
    for title in removed:
        merged.pop(title, None)
    merged.update((section.name, section) for section in changed)
    return tuple(merged[title] for title in sorted(merged))
