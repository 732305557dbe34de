"""Commands of ``cardamomctl`` on jobs; they use the store directly, not a node."""

import secrets
import time
from pathlib import Path

import attrs
import click

from .console import (
    command,
    EXIT_BAD_INPUT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    exit_with_error,
    print_value,
)
from .errors import SettingsError
from .jobs.jobfile import parse_job_file
from .jobs.records import CancelRecord, encode, JobState, PREFIX_CANCEL, PREFIX_JOB
from .jobs.session import JobSession
from .jobs.summary import job_details, job_summaries, queue_summaries
from .platform.adapter import Platform
from .platform.boot import load_settings, PATH_VARIABLE

ID_BYTES = 8
STATES = [state.name.lower() for state in JobState]


@attrs.frozen
class Stored:
    """Result of a command: the job's id and what was stored for it."""

    job: str
    stored: str


def now_ms():
    """Return the wall clock in ms."""
    return int(time.time() * 1000)


def open_session(path):
    """Return the JobSession of a settings file; exit when it cannot be used."""
    try:
        return JobSession(load_settings(path), Platform)
    except SettingsError as exc:
        exit_with_error(EXIT_BAD_INPUT, str(exc))


settings_option = click.option(
    "--settings", default="", help=f"Settings file; default {PATH_VARIABLE}."
)


@click.group()
@settings_option
@click.pass_context
def job(ctx, settings):
    """Submit, cancel and show jobs."""
    ctx.obj = settings


@command(job, "list", "cardamomctl job list --state running")
@click.option("--queue", default="", help="Only jobs of this queue.")
@click.option("--state", default="", type=click.Choice(["", *STATES]), help="Only.")
@click.option("--customer", default="", help="Only jobs of this customer.")
@click.pass_obj
def list_jobs(path, queue, state, customer, as_json):
    """List the jobs in the store, the oldest first."""
    with open_session(path) as session:
        found = job_summaries(session.view, now_ms(), queue, state, customer)
        print_value(found, as_json)


@command(job, "show", "cardamomctl job show 5c0e7a21d94b36f8")
@click.argument("name", metavar="JOB")
@click.pass_obj
def show_job(path, name, as_json):
    """Show a job's state and the latest run of each of its tasks."""
    with open_session(path) as session:
        details = job_details(session.view, name)
    if details is None:
        exit_with_error(EXIT_REFUSED, f"{name}: no such job")
    print_value(details, as_json)


@command(job, "queues", "cardamomctl job queues --json")
@click.pass_obj
def queues(path, as_json):
    """List the configured queues with their pending and running jobs."""
    with open_session(path) as session:
        if session.config is None:
            exit_with_error(EXIT_REFUSED, "no configuration is in force")
        print_value(queue_summaries(session.view, session.config), as_json)


@command(job, "submit", "cardamomctl job submit notices job.json")
@click.argument("queue")
@click.argument("file")
@click.option("--id", "name", default="", help="Id of the job; repeats a submission.")
@click.option("--customer", default="", help="Customer that the job belongs to.")
@click.pass_obj
def submit(path, queue, file, name, customer, as_json):
    """Submit the job in FILE to QUEUE; an id that is already known changes nothing.

    Where callers need a key, --customer says whose job it is; no key is needed here.
    """
    name = name or secrets.token_hex(ID_BYTES)
    with open_session(path) as session:
        target = session.config.queue(queue) if session.config is not None else None
        if target is None:
            exit_with_error(EXIT_REFUSED, f"{queue}: no such queue")
        _check_customer(session.config, target, customer)
        row = session.view.find(name)
        if row is not None and row.spec.customer != customer:
            exit_with_error(EXIT_REFUSED, f"{name}: the job is another customer's")
        if row is None:
            spec = parse_job_file(file, _read(file), name, target, now_ms())
            spec = attrs.evolve(spec, customer=customer)
            _store(session, name, PREFIX_JOB + name, encode(spec))
    print_value(Stored(name, "job"), as_json)


@command(job, "cancel", "cardamomctl job cancel 5c0e7a21d94b36f8")
@click.argument("name", metavar="JOB")
@click.pass_obj
def cancel(path, name, as_json):
    """Cancel a job and stop its runs."""
    with open_session(path) as session:
        row = session.view.find(name)
        if row is None:
            exit_with_error(EXIT_REFUSED, f"{name}: no such job")
        if row.state.final:
            exit_with_error(EXIT_REFUSED, f"{name}: {row.state.name.lower()} already")
        record = encode(CancelRecord(now_ms()))
        _store(session, name, PREFIX_CANCEL + name, record)
    print_value(Stored(name, "cancellation"), as_json)


def _check_customer(config, queue, customer):
    """Exit unless a job of a customer's name, or of none, may be put into a Queue."""
    if not config.needs_key(queue):
        if customer:
            text = "callers of this queue need no key; leave out --customer"
            exit_with_error(EXIT_REFUSED, f"{queue.name}: {text}")
    elif not customer:
        text = "its jobs belong to customers; name one with --customer"
        exit_with_error(EXIT_BAD_INPUT, f"{queue.name}: {text}")
    elif config.customer(customer) is None:
        text = "no such customer; see cardamomctl customer list"
        exit_with_error(EXIT_REFUSED, f"{customer}: {text}")


def _read(file):
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        exit_with_error(EXIT_BAD_INPUT, f"{file}: {exc}")


def _store(session, name, key, value):
    if not session.store(key, value):
        exit_with_error(
            EXIT_UNKNOWN, f"{name}: the store did not answer; repeat with --id"
        )
