"""Snapshots of a FleetState as records of its own stream.

A snapshot is the CBOR of the state, compressed and cut into parts. The digest of the
compressed bytes stands in every part, so that parts of two snapshots, or parts that
were changed, never make up a state.
"""

import hashlib
import zlib

import attrs
import cbor2

from .batch import Batch
from .budget import required_vms
from .bundle import bundle_from_sections, Difference
from .errors import BundleError
from .fleet import FleetState, Member
from .inventory import Inventory, RoundDone, VmState
from .records import Section, Snapshot
from .refusal import Reason, Refusal
from .rollout import Proposal

FORMAT = 1
PART_BYTES = 32 * 1024
STATE_BYTES_MAX = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6


def snapshot_records(state):
    """Return the Snapshot records of a state, which is that through ``through``."""
    whole = zlib.compress(cbor2.dumps(_pack(state)), COMPRESSION_LEVEL)
    digest = hashlib.sha256(whole).digest()
    pieces = [
        whole[start : start + PART_BYTES] for start in range(0, len(whole), PART_BYTES)
    ]
    return [
        Snapshot(state.offset - 1, part, len(pieces), digest, data)
        for part, data in enumerate(pieces)
    ]


def restore(parts):
    """Return the FleetState of a snapshot's parts in any order.

    A Refusal (BAD_VALUE) tells that parts are missing, changed, of several snapshots
    or of another release.
    """
    whole = _join(parts)
    if isinstance(whole, Refusal):
        return whole
    try:
        state = _unpack(cbor2.loads(_decompress(whole)))
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
        return Refusal(Reason.BAD_VALUE, f"not a state: {exc!r}")
    if state.offset != parts[0].through + 1:
        return Refusal(Reason.BAD_VALUE, "the state is of another offset")
    return state


def _join(parts):
    """Return the compressed bytes of a whole set of parts, or a Refusal."""
    if not parts:
        return Refusal(Reason.BAD_VALUE, "no parts")
    first = parts[0]
    by_number = {part.part: part for part in parts}
    for part in parts:
        same = (part.through, part.digest, part.parts)
        if same != (first.through, first.digest, first.parts):
            return Refusal(Reason.BAD_VALUE, "parts of several snapshots")
    if sorted(by_number) != list(range(first.parts)):
        return Refusal(
            Reason.BAD_VALUE, f"{len(by_number)} of {first.parts} parts are there"
        )
    whole = b"".join(by_number[number].data for number in range(first.parts))
    if hashlib.sha256(whole).digest() != first.digest:
        return Refusal(Reason.BAD_VALUE, "the digest does not match")
    return whole


def _decompress(whole):
    stream = zlib.decompressobj()
    data = stream.decompress(whole, STATE_BYTES_MAX)
    if not stream.eof:
        raise ValueError("cut short or too large")
    return data


def _pack(state):
    """Return a state as plain values, in an order that does not depend on history."""
    return [
        FORMAT,
        [getattr(state, name) for name in _PLAIN],
        _pack_sections(state.bundle.sections) if state.bundle else None,
        [_pack_proposal(item) for item in state.proposals.values()],
        [list(attrs.astuple(state.members[name])) for name in sorted(state.members)],
        [_pack_vm(state.vms[name]) for name in sorted(state.vms)],
        [_pack_batch(state.batches[offset]) for offset in sorted(state.batches)],
    ]


_PLAIN = (
    "offset",
    "time_ms",
    "bundle_offset",
    "bundle_operator",
    "bundle_time_ms",
    "quiet_after_ms",
    "deadline_peak_ms",
)


def _unpack(values):
    """Return the FleetState of plain values."""
    form, plain, sections, proposals, members, vms, batches = values
    if form != FORMAT:
        raise ValueError(f"format {form}")
    bundle = None
    if sections is not None:
        bundle = bundle_from_sections(_unpack_sections(sections), "snapshot")
    known = [_unpack_proposal(item) for item in proposals]
    return FleetState(
        **dict(zip(_PLAIN, plain, strict=True)),
        bundle=bundle,
        proposals={item.digest: item for item in known},
        members={item[0]: Member(*item) for item in members},
        vms=Inventory().replace([_unpack_vm(item) for item in vms]),
        batches={item[0]: _unpack_batch(item) for item in batches},
        required=required_vms(bundle) if bundle else {},
    )


def _pack_sections(sections):
    return [
        [section.name, [list(pair) for pair in section.options]] for section in sections
    ]


def _unpack_sections(values):
    return tuple(
        Section(title, tuple((key, text) for key, text in options))
        for title, options in values
    )


def _pack_proposal(item):
    return [
        item.offset,
        item.digest,
        item.parent,
        item.author,
        item.signer,
        _pack_sections(item.difference.changed),
        list(item.difference.removed),
    ]


def _unpack_proposal(values):
    offset, digest, parent, author, signer, changed, removed = values
    difference = Difference(_unpack_sections(changed), tuple(removed))
    return Proposal(offset, digest, parent, author, difference, signer)


def _pack_vm(vm):
    values = list(attrs.astuple(vm, recurse=False))
    values[-1] = [[item.wave, item.round] for item in vm.rounds]
    return values


def _unpack_vm(values):
    *plain, rounds = values
    return VmState(*plain, tuple(RoundDone(*item) for item in rounds))


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
