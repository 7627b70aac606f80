"""Generation of secrets for settings and lists."""

import argparse
import hashlib
import secrets

import msgspec
import zmq

from lentilrill.ctl import _show as show
from lentilrill.ctl._client import Client
from lentilrill.ctl._exit import Exit
from lentilrill.settings import InnerKeys

__all__ = ["keys", "token"]

TOKEN_BYTES = 32


class NewToken(msgspec.Struct, frozen=True):
    """A token, and its digest for the settings or the lists."""

    token: str
    sha256: str


def token(_client: Client, options: argparse.Namespace) -> Exit:
    """Print a new token and its SHA-256."""
    secret = secrets.token_urlsafe(TOKEN_BYTES)
    generated = NewToken(secret, hashlib.sha256(secret.encode()).hexdigest())
    if options.json:
        show.print_json(generated)
    else:
        show.print_lines([f"token:  {generated.token}", f"sha256: {generated.sha256}"])
    return Exit.DONE


def keys(_client: Client, _options: argparse.Namespace) -> Exit:
    """Print a new CURVE key pair as JSON."""
    public, secret = zmq.curve_keypair()
    show.print_json(InnerKeys(public.decode(), secret.decode()))
    return Exit.DONE
