"""Runs the chosen command; importing the command modules registers them."""

import argparse

from ..environment import Environment
from ..exits import ExitStatus
from . import config, demo, explain, key, load, node, stand_in, suspects  # noqa: F401
from .registry import find_command


async def run(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Run the chosen command."""
    return await find_command(options.command)(options, environment)
