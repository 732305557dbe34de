"""Steps for the journal module and the reference pages generated from the code."""

import contextlib
import io
import json
import os
import sys

from behave import given, then, when

from cardamomgrade import journal
from cardamomgrade.entry_events import EntryMember
from cardamomgrade.journal import BoundedStream
from harness import ROOT

PIPE_LIMIT_BYTES = 10_000


@then("the page {page} is what scripts/catalogue.py generates")
def step_page(context, page):
    sys.path.insert(0, str(ROOT / "scripts"))
    import catalogue

    written = dict(catalogue.PAGES)[page]()
    assert (ROOT / "docs" / page).read_text() == written, "run scripts/catalogue.py"


@then("a logged event is one JSON line with its number, name and fields")
def step_line(context):
    stream = io.StringIO()
    journal.start_logging("entry", "e1", stream)
    journal.log_event(EntryMember(7))
    journal.stop_logging()
    (line,) = stream.getvalue().splitlines()
    found = json.loads(line)
    assert (found["event"], found["event_name"]) == (301, "EntryMember")
    assert (found["incarnation"], found["node"]) == (7, "e1")


@given("a pipe whose reader does not read")
def step_pipe(context):
    context.reader, context.writer = os.pipe()
    context.stream = BoundedStream(context.writer, PIPE_LIMIT_BYTES)


@when("{lines:d} lines of {size:d} bytes are written to it")
def step_lines(context, lines, size):
    for _ in range(lines):
        context.stream.write(json.dumps({"x": "y" * (size - 11)}) + "\n")
        context.stream.flush()
    context.written = lines


@then("the writer did not block and buffers at most its limit")
def step_bound(context):
    assert len(context.stream._buffer) <= PIPE_LIMIT_BYTES
    assert context.stream.dropped > 0


@when("the reader reads again")
def step_reads(context):
    os.set_blocking(context.reader, False)
    context.data = b""
    for _ in range(200):
        context.stream.write("{}\n")
        context.stream.flush()
        with contextlib.suppress(BlockingIOError):
            context.data += os.read(context.reader, 65536)


@then("complete lines arrive, and one of them has the number of dropped lines")
def step_counted(context):
    lines = [json.loads(line) for line in context.data.splitlines()]
    dropped = [item["lines"] for item in lines if "lines" in item]
    whole = sum("x" in item for item in lines)
    assert whole + sum(dropped) >= context.written, (whole, dropped)
    os.close(context.reader)
    os.close(context.writer)
