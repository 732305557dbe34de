"""Snapshots of a FleetState as records of its own stream.

A snapshot is a sequence of CBOR items, compressed and split into parts. It is encoded
and decoded item by item to save memory. Every part contains the digest of all the
compressed bytes, so that parts of different snapshots and altered parts are rejected.
"""

import hashlib
import io
import itertools
import sys
import zlib
from functools import partial

import attrs
import cbor2

from .batch import Batch
from .budget import required_vms
from .bundle import bundle_from_sections, Difference
from .errors import BundleError
from .fleet import FleetState, Member
from .inventory import Inventory, RetiredVm, RoundDone, VmState
from .records import Section, Snapshot
from .refusal import Reason, Refusal
from .rollout import Proposal

FORMAT = 2
PART_BYTES = 32 * 1024
STATE_BYTES_MAX = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6


def snapshot_records(state):
    """Return the list of Snapshot records of a state.

    Their ``through`` is the offset of the last record folded into the state.
    """
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    compressed = b"".join(
        compressor.compress(cbor2.dumps(item)) for item in _pack(state)
    )
    compressed += compressor.flush()
    digest = hashlib.sha256(compressed).digest()
    chunks = [
        compressed[start : start + PART_BYTES]
        for start in range(0, len(compressed), PART_BYTES)
    ]
    return [
        Snapshot(state.offset - 1, part, len(chunks), digest, data)
        for part, data in enumerate(chunks)
    ]


def restore(parts):
    """Return the FleetState from the parts of a snapshot, given in any order.

    Returns a Refusal (BAD_VALUE) if parts are missing, altered, from different
    snapshots or in the format of another release.
    """
    compressed = _join(parts)
    if isinstance(compressed, Refusal):
        return compressed
    try:
        state = _unpack(io.BytesIO(_decompress(compressed)))
    except (
        BundleError,
        cbor2.CBORError,
        zlib.error,
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as exc:
        return Refusal(Reason.BAD_VALUE, f"cannot decode the state: {exc!r}")
    if state.offset != parts[0].through + 1:
        return Refusal(
            Reason.BAD_VALUE, "the offset of the state does not match the parts"
        )
    return state


def _join(parts):
    """Return the compressed bytes of a complete set of parts, or a Refusal."""
    if not parts:
        return Refusal(Reason.BAD_VALUE, "the snapshot has no parts")
    first = parts[0]
    by_number = {part.part: part for part in parts}
    for part in parts:
        same = (part.through, part.digest, part.parts)
        if same != (first.through, first.digest, first.parts):
            return Refusal(Reason.BAD_VALUE, "the parts are from different snapshots")
    if sorted(by_number) != list(range(first.parts)):
        return Refusal(
            Reason.BAD_VALUE,
            f"only {len(by_number)} of {first.parts} parts are present",
        )
    compressed = b"".join(by_number[number].data for number in range(first.parts))
    if hashlib.sha256(compressed).digest() != first.digest:
        return Refusal(Reason.BAD_VALUE, "the digest does not match the data")
    return compressed


def _decompress(compressed):
    stream = zlib.decompressobj()
    data = stream.decompress(compressed, STATE_BYTES_MAX)
    if not stream.eof:
        raise ValueError("compressed data is truncated or the state is too large")
    return data


def _pack(state):
    """Yield a state as plain values.

    Their order does not depend on the order in which the state was built.
    """
    bundle = state.bundle
    groups = (
        bundle.each_section() if bundle else (),
        state.proposals.values(),
        (state.members[name] for name in sorted(state.members)),
        (state.vms[name] for name in sorted(state.vms)),
        (state.batches[offset] for offset in sorted(state.batches)),
        (state.retired[name] for name in sorted(state.retired)),
    )
    yield [FORMAT, *(getattr(state, name) for name in _SCALAR_FIELDS)]
    for group, pack in zip(groups, _PACKERS, strict=True):
        for item in group:
            yield pack(item)
        yield None


_SCALAR_FIELDS = (
    "offset",
    "time_ms",
    "bundle_offset",
    "bundle_operator",
    "bundle_time_ms",
    "quiet_after_ms",
    "deadline_peak_ms",
)


def _unpack(stream):
    """Return the FleetState from a byte stream of CBOR items."""
    read_item = partial(cbor2.load, stream)
    format_number, *scalars = read_item()
    if format_number != FORMAT:
        raise ValueError(f"unknown snapshot format {format_number}")
    sections = (_unpack_section(values) for values in iter(read_item, None))
    bundle = None
    first = next(sections, None)
    if first is not None:
        bundle = bundle_from_sections(itertools.chain([first], sections), "snapshot")
    proposals = [_unpack_proposal(values) for values in iter(read_item, None)]
    members = [Member(*values) for values in iter(read_item, None)]
    vms = Inventory().replace([_unpack_vm(values) for values in iter(read_item, None)])
    batches = [_unpack_batch(values) for values in iter(read_item, None)]
    retired = [RetiredVm(*values) for values in iter(read_item, None)]
    return FleetState(
        **dict(zip(_SCALAR_FIELDS, scalars, strict=True)),
        bundle=bundle,
        proposals={item.digest: item for item in proposals},
        members={item.entry: item for item in members},
        vms=vms,
        batches={item.offset: item for item in batches},
        retired={item.name: item for item in retired},
        required=required_vms(bundle) if bundle else {},
    )


def _pack_section(section):
    return [section.name, [list(pair) for pair in section.options]]


def _unpack_section(values):
    title, options = values
    return Section(title, tuple((key, text) for key, text in options))


def _pack_proposal(item):
    return [
        item.offset,
        item.digest,
        item.parent,
        item.author,
        item.signer,
        [_pack_section(section) for section in item.difference.changed],
        list(item.difference.removed),
    ]


def _unpack_proposal(values):
    offset, digest, parent, author, signer, changed, removed = values
    sections = tuple(_unpack_section(section) for section in changed)
    difference = Difference(sections, tuple(removed))
    return Proposal(offset, digest, parent, author, difference, signer)


def _pack_vm(vm):
    values = list(attrs.astuple(vm, recurse=False))
    values[-1] = [[item.wave, item.round] for item in vm.rounds]
    return values


def _unpack_vm(values):
    vm, pool, *scalars, rounds = values
    done = tuple(RoundDone(*item) for item in rounds)
    return VmState(sys.intern(vm), sys.intern(pool), *scalars, done)


def _pack_batch(batch):
    return [
        sorted(value) if isinstance(value, frozenset) else value
        for value in attrs.astuple(batch, recurse=False)
    ]


def _unpack_batch(values):
    converted = [
        _to_field_type(value, field)
        for value, field in zip(values, attrs.fields(Batch), strict=True)
    ]
    return Batch(*converted)


def _to_field_type(value, field):
    return field.type(value) if field.type in (tuple, frozenset) else value


_PACKERS = (
    _pack_section,
    _pack_proposal,
    attrs.astuple,
    _pack_vm,
    _pack_batch,
    attrs.astuple,
)
