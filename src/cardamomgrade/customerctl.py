"""Commands of ``cardamomctl`` on customers; they read the store, not a node."""

import click

from .console import command, EXIT_REFUSED, exit_with_error, print_value
from .jobctl import now_ms, open_session, settings_option
from .jobs.customer_summary import customer_summaries

NO_CUSTOMERS = "the configuration in force has no customers: no key is asked for"
NO_CONFIG = "no configuration is in force"


@click.group()
@settings_option
@click.pass_context
def customer(ctx, settings):
    """Show customers with their limits, shares and jobs."""
    ctx.obj = settings


@command(customer, "list", "cardamomctl customer list --json")
@click.pass_obj
def list_customers(path, as_json):
    """List the customers with their weight, limit, use and jobs.

    Weights are in jobs a second; accepted_per_s is the mean of the last 5 s. A limit of
    0 is no limit; cores_m is in thousandths of a core.

    Exit codes: 0 done, 1 no configuration is in force, 2 bad settings, 3 store down.
    """
    with open_session(path) as session:
        if session.config is None:
            exit_with_error(EXIT_REFUSED, session.config_error or NO_CONFIG)
        found = customer_summaries(session.view, session.config, now_ms())
    if as_json:
        print_value(found, as_json)
        return
    if not found.has_customers:
        click.echo(NO_CUSTOMERS)
    if found.customers:
        print_value(list(found.customers), as_json)
    elif found.has_customers:
        click.echo("the configuration in force has an empty list of customers")
