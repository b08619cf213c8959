"""Command line of the package."""

import click

from borageworks import __version__
from borageworks.commands.check import check
from borageworks.commands.demo import demo
from borageworks.commands.explain import explain
from borageworks.commands.measure import measure
from borageworks.commands.run import run
from borageworks.commands.shares import shares
from borageworks.commands.soak import soak
from borageworks.commands.status import status
from borageworks.commands.ticket import ticket


@click.group()
@click.version_option(__version__)
def cli() -> None:
    """Router fleet that shares endpoints fairly between organisations."""


cli.add_command(check)
cli.add_command(demo)
cli.add_command(explain)
cli.add_command(measure)
cli.add_command(run)
cli.add_command(shares)
cli.add_command(soak)
cli.add_command(status)
cli.add_command(ticket)

if __name__ == "__main__":
    cli()
