"""Checks logs of nodes for accepted jobs and cancellations that were lost.

Usage: accepted_jobs.py [--grace-s SECONDS] FILE ...

A job is lost if a node answered its submission as done and no scheduler has a line on
it. A cancellation is lost if it was answered as done and a task of its job starts later
than CANCEL_S after that. Prints a line for each and exits with 1 if there is any. Text
before the JSON object of a line is ignored. Jobs accepted in the last ``--grace-s`` of
the logs are left out. Jobs whose start time is yet to come count as lost.
"""

import json
import sys

import attrs
import click

GRACE_S = 14.0  # within which an accepted job is to be finished after the last one
CANCEL_S = 3.0  # within which a cancellation takes effect
SCHEDULER_EVENTS = ("TaskStarted", "JobChanged", "JobStalled")


@attrs.define
class JobLines:
    """What the logs say of one job; times are in seconds since 1970."""

    accepted_at: float | None = None
    accepted_by: str = ""
    cancelled_at: float | None = None
    scheduled: bool = False
    last_start_at: float = float("-inf")


def read_events(lines):
    """Yield the JSON object of each line that has one."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue  # output of another program, or a line that was cut short
        if isinstance(fields, dict) and "event_name" in fields:
            yield fields


def collect(events):
    """Return ({job: JobLines}, time of the last event)."""
    jobs, last_at = {}, float("-inf")
    for fields in events:
        name, at = fields["event_name"], fields["time"]
        last_at = max(last_at, at)
        if name != "JobAnswered" and name not in SCHEDULER_EVENTS:
            continue
        job = jobs.setdefault(fields["job"], JobLines())
        if name == "JobAnswered" and fields["answer"] == "done":
            if fields["call"] == "submit" and job.accepted_at is None:
                job.accepted_at, job.accepted_by = at, fields["node"]
            elif fields["call"] == "cancel" and job.cancelled_at is None:
                job.cancelled_at = at
        elif name in SCHEDULER_EVENTS:
            job.scheduled = True
            if name == "TaskStarted":
                job.last_start_at = max(job.last_start_at, at)
    return jobs, last_at


def findings(jobs, last_at, grace_s):
    """Yield a line for each lost submission and cancellation."""
    for name, job in sorted(jobs.items()):
        accepted = job.accepted_at is not None
        if accepted and not job.scheduled and last_at - job.accepted_at > grace_s:
            yield f"{name}: accepted by {job.accepted_by}, and no scheduler knows it"
        if job.cancelled_at is not None:
            late_s = job.last_start_at - job.cancelled_at
            if late_s > CANCEL_S:
                yield f"{name}: a task starts {late_s:.1f} s after its cancellation"


@click.command()
@click.option("--grace-s", type=float, default=GRACE_S, show_default=True)
@click.argument("files", nargs=-1, required=True, type=click.File())
def main(grace_s, files):
    """Check logs of nodes for accepted jobs and cancellations that were lost."""
    jobs, last_at = collect(fields for file in files for fields in read_events(file))
    found = list(findings(jobs, last_at, grace_s))
    for line in found:
        click.echo(line)
    accepted = sum(job.accepted_at is not None for job in jobs.values())
    click.echo(f"{accepted} jobs accepted, {len(found)} findings")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
