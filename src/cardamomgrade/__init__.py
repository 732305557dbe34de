"""Fleet capacity and maintenance manager for a fixed set of VMs.

The names exported here are for programs that read bundles, or that fold the log (apply
its records in order to a state) themselves.
"""

from .bundle import Bundle, diff_sections, parse_bundle
from .errors import CardamomError
from .fleet import FleetState, fold
from .records import decode_record, encode_record, Logged
from .refusal import Reason, Refusal

__all__ = [
    "Bundle",
    "CardamomError",
    "FleetState",
    "Logged",
    "Reason",
    "Refusal",
    "decode_record",
    "diff_sections",
    "encode_record",
    "fold",
    "parse_bundle",
]
