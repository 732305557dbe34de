"""Runs ``cardamom-jobs`` from a checkout, without an installed package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cardamomgrade.jobsd import main  # noqa: E402

main()
