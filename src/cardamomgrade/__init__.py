"""Fleet capacity and maintenance manager for a fixed estate of VMs.

The names here are for programs that read bundles and fold the log themselves.
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
