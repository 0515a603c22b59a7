"""Implements ``primroseglade key``."""

import argparse
import json
import secrets

from ..document.document import digest_key
from ..environment import Environment
from ..exits import ExitStatus
from .registry import command

KEY_BYTES = 24


@command("key")
async def generate_key(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Print a new workspace key, and its digest for the document."""
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = digest_key(key)
    if options.json:
        environment.print(json.dumps({"key": key, "digest": digest}))
    else:
        environment.print(f"key     {key}\ndigest  {digest}")
    return ExitStatus.SUCCESS
