"""The command line: a thin shell over the library."""

from __future__ import annotations

import click

from gullmount import __version__
from gullmount.commands.lazy import Lazy

# By name: the module under gullmount/commands, and the command there.
COMMANDS = {
    "blame": ("scenarios", "blame"),
    "check": ("proxy", "check_file"),
    "day": ("scenarios", "scenario"),  # older name of "scenario"
    "group": ("replica_group", "group"),
    "keeper": ("replicas", "replica"),  # older name of "replica"
    "proxy": ("proxy", "proxy"),
    "relay": ("distribution", "relay"),
    "replica": ("replicas", "replica"),
    "rig": ("fault_harness", "rig"),
    "scale": ("scale", "scale"),
    "scenario": ("scenarios", "scenario"),
    "source": ("distribution", "source"),
    "umpire": ("proxy", "proxy"),  # the earlier name of `proxy`
}


@click.group(cls=Lazy, table=COMMANDS, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="gullmount")
def main() -> None:
    """Routes requests between builds and votes on releases.

    \b
    gullmount scenario run days/bad-saturday.yaml --virtual   plays a whole scenario in a minute
    gullmount check proxy.yaml                                says what is wrong with a file
    gullmount proxy proxy.yaml                                runs one proxy instance
    gullmount replica replica-1.yaml                          runs one replica of the registers
    gullmount source source.yaml                              runs the origin of topics
    gullmount relay relay-a.yaml                              runs one relay of the origin's topics
    gullmount rig run days/failures/owner-killed.yaml         plays faults among many processes
    """
