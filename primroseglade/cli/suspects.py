"""Implements ``primroseglade suspects``."""

import argparse
import json

from ..environment import Environment
from ..exits import ExitStatus
from ..operator_client import OperatorClient
from .registry import command


@command("suspects list")
async def list_suspects(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Print the requests under which backend servers have ended."""
    async with OperatorClient(options.node) as client:
        suspects = await client.get("/suspects")
    if options.json:
        environment.print(json.dumps(suspects))
        return ExitStatus.SUCCESS
    for suspect in suspects:
        environment.print(
            f"{suspect['request']} {suspect['standing']}: {suspect['ended_servers']} "
            f"backend servers ended, beside {', '.join(suspect['nodes'])}"
        )
    return ExitStatus.SUCCESS


@command("suspects release")
async def release_suspect(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Let a request run again at all nodes, whatever ended under it."""
    async with OperatorClient(options.node) as client:
        await client.post(f"/suspects/{options.hash}/release")
    environment.print(f"released {options.hash}")
    return ExitStatus.SUCCESS
