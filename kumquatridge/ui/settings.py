"""`kumquatridge settings`: reads and changes the settings tree."""

import asyncio
from collections.abc import Callable, Coroutine
import functools
import getpass
import pathlib
import socket
import sys
from typing import Any, ParamSpec

import click

from kumquatridge import errors
from kumquatridge.encoding import credential_text
from kumquatridge.encoding import record_text
from kumquatridge.encoding import settings_text
from kumquatridge.platform import client as platform_client
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import editing
from kumquatridge.settings import errors as settings_errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import repository
from kumquatridge.settings import waiting
from kumquatridge.settings import writer
from kumquatridge.ui import settings_output

# Interval at which `wait` reads the reports of the data centres.
WAIT_POLL_INTERVAL_S = 1.0

_Parameters = ParamSpec("_Parameters")


def _report_errors(
    command: Callable[_Parameters, Coroutine[Any, Any, bool]],
) -> Callable[_Parameters, None]:
    """Makes a synchronous command that prints errors and sets the exit code.

    The exit code is 0 if `command` returns True, otherwise 1.
    """

    @functools.wraps(command)
    def run(*args: _Parameters.args, **kwargs: _Parameters.kwargs) -> None:
        try:
            succeeded = asyncio.run(command(*args, **kwargs))
        except errors.KumquatridgeError as error:
            click.echo(f"kumquatridge: {error}", err=True)
            succeeded = False
        sys.exit(0 if succeeded else 1)

    return run


def _check_path(
    context: click.Context, parameter: click.Parameter, path: str
) -> str:
    if not settings_node.is_path(path):
        raise click.BadParameter(
            f"got {path!r}, expected a path such as /team/service"
        )
    return path


_PLATFORM = click.option(
    "--platform",
    "address",
    required=True,
    envvar="KUMQUATRIDGE_PLATFORM",
    help="The platform's address, host:port.",
)
_CREDENTIAL = click.option(
    "--credential-file",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    envvar="KUMQUATRIDGE_CREDENTIAL_FILE",
    help="File with your credential, in JSON with comments.",
)
_PATH = click.option(
    "--path", default="/", callback=_check_path, help="Root of the subtree."
)
_KEEP_CHILDREN = click.option(
    "--keep-children", is_flag=True, help="Don't change the nodes below."
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_FILE = click.argument("file", type=click.Path(path_type=pathlib.Path))


@click.group()
def settings() -> None:
    """Reads and changes the settings tree stored at the platform."""


@settings.command()
@_PLATFORM
@_PATH
@_JSON
@_report_errors
async def get(address: str, path: str, as_json: bool) -> bool:
    """Prints the subtree at a path."""
    async with _open_client(address) as client:
        settings_repository = platform_repository.PlatformRepository(client)
        current = editing.index(await settings_repository.list_nodes())
    # An edit without nodes, used only to select the paths of the subtree.
    subtree = editing.Edit(address, path, ())
    subtree_nodes = [
        node
        for node in editing.list_nodes(current)
        if subtree.covers(node.path)
    ]
    settings_output.print_nodes(subtree_nodes, path, as_json)
    return True


@settings.command()
@_PLATFORM
@_PATH
@_KEEP_CHILDREN
@_JSON
@_FILE
@_report_errors
async def diff(
    *,
    address: str,
    path: str,
    keep_children: bool,
    as_json: bool,
    file: pathlib.Path,
) -> bool:
    """Prints the changes that `apply` of FILE would make."""
    edit = _read_edit(file, path, keep_children)
    async with _open_client(address) as client:
        settings_repository = platform_repository.PlatformRepository(client)
        current = editing.index(await settings_repository.list_nodes())
    plan = editing.plan(edit, current, settings_text.read_defaults())
    settings_output.print_plan(plan, as_json)
    return True


@settings.command()
@_PLATFORM
@_CREDENTIAL
@_PATH
@_KEEP_CHILDREN
@_JSON
@_FILE
@_report_errors
async def apply(
    *,
    address: str,
    credential_file: pathlib.Path,
    path: str,
    keep_children: bool,
    as_json: bool,
    file: pathlib.Path,
) -> bool:
    """Replaces the subtree at a path by the contents of FILE."""
    own_credential = credential_text.read_credential(credential_file)
    edit = _read_edit(file, path, keep_children)
    writer_name = f"{getpass.getuser()}@{socket.gethostname()}"
    async with _open_client(address, own_credential) as client:
        settings_repository = platform_repository.PlatformRepository(client)
        current = editing.index(await settings_repository.list_nodes())
        plan = editing.plan(
            edit, current, settings_text.read_defaults(), own_credential
        )
        node_writer = writer.NodeWriter(
            writer.WriterSettings(writer_name, own_credential),
            settings_repository,
        )
        outcomes = await node_writer.write_all(plan.changes)
    settings_output.print_outcomes(plan, outcomes, as_json)
    return writer.are_accepted(outcomes)


@settings.command()
@_PLATFORM
@_JSON
@click.argument("path", callback=_check_path)
@_report_errors
async def history(address: str, as_json: bool, path: str) -> bool:
    """Prints the latest versions of the node PATH, newest first."""
    async with _open_client(address) as client:
        settings_repository = platform_repository.PlatformRepository(client)
        stored = await settings_repository.read(path)
    match stored:
        case None:
            raise settings_errors.SettingsError(f"{path}: no such node")
        case repository.Damaged(reason=reason):
            raise settings_errors.SettingsError(f"{path}: {reason}")
        case settings_record.StoredNode(record=newest, history=older):
            records = [
                record_text.describe(record) for record in (newest, *older)
            ]
    settings_output.print_history(records, as_json)
    return True


@settings.command()
@_PLATFORM
@_PATH
@click.option("--timeout-s", default=30.0, show_default=True)
@_JSON
@_report_errors
async def wait(
    address: str, path: str, timeout_s: float, as_json: bool
) -> bool:
    """Waits until the subtree at a path is in force in all data centres."""
    async with _open_client(address) as client:
        settings_repository = platform_repository.PlatformRepository(client)
        pending = await waiting.wait_until_in_force(
            settings_repository, path, timeout_s, WAIT_POLL_INTERVAL_S
        )
    settings_output.print_pending(pending, as_json)
    return not pending


@settings.command()
@click.option(
    "--key-file",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="File with the operators' credential.",
)
@click.option("--owner", required=True, callback=_check_path)
@_report_errors
async def credential(key_file: pathlib.Path, owner: str) -> bool:
    """Prints a credential delegated to a team."""
    own_credential = credential_text.read_credential(key_file)
    delegated = credentials.delegate(own_credential, owner)
    click.echo(credential_text.encode_credential(delegated))
    return True


def _open_client(
    address: str, own_credential: credentials.Credential | None = None
) -> platform_client.PlatformClient:
    """Returns a client that sends the platform token of the credential."""
    token = None if own_credential is None else own_credential.platform_token
    return platform_client.PlatformClient(
        platform_client.ClientSettings(address, token)
    )


def _read_edit(
    file: pathlib.Path, path: str, keep_children: bool
) -> editing.Edit:
    """Reads the nodes of `file` as the new content of the subtree at `path`.

    With `keep_children`, the file must hold the node at `path` only.
    """
    nodes = tuple(settings_text.read_nodes(file, path))
    if keep_children and len(nodes) > 1:
        raise settings_errors.SettingsError(
            f"{file}: holds child nodes; --keep-children allows only one node"
        )
    return editing.Edit(str(file), path, nodes, keep_children)
