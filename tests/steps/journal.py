"""Steps for the journal module and the catalogue of events and settings."""

import io
import json
import sys

from behave import then

from cardamomgrade import journal
from cardamomgrade.entry_events import EntryMember
from harness import ROOT


@then("the page {page} is what the catalogue writes")
def step_page(context, page):
    sys.path.insert(0, str(ROOT / "scripts"))
    import catalogue

    written = dict(catalogue.PAGES)[page]()
    assert (ROOT / "docs" / page).read_text() == written, "run scripts/catalogue.py"


@then("a noted event is one JSON line with its number, name and fields")
def step_line(context):
    stream = io.StringIO()
    journal.start_journal("entry", "e1", stream)
    journal.note(EntryMember(7))
    journal.stop_journal()
    (line,) = stream.getvalue().splitlines()
    found = json.loads(line)
    assert (found["event"], found["event_name"]) == (301, "EntryMember")
    assert (found["incarnation"], found["node"]) == (7, "e1")
