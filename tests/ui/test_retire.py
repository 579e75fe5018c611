"""`kumquatridge retire` with real daemons, one of which is killed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib

from click import testing

from kumquatridge.ui import main
from tests import processes

# Until the surviving daemon knows the other one as a home. Daemons exchange
# registrations on their own schedule, and the machine may be busy.
REGISTRATION_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
SERVICE = "ordering"
DESTROYED_INSTANCE = "ordering-2"


@contextlib.asynccontextmanager
async def run_worker() -> AsyncIterator[str]:
    """Accepts and closes connections, so that daemons take it for a worker.

    Yields the address.
    """
    address = processes.get_free_address()
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), host, int(port)
    )
    async with server:
        yield address


async def run(*arguments: str) -> testing.Result:
    """Runs the command in a thread, as it blocks."""
    return await asyncio.to_thread(
        testing.CliRunner().invoke, main.main, ["retire", *arguments]
    )


async def retire_once_known(operator: str) -> testing.Result:
    """Retires the instance as soon as the daemon knows it as a home."""
    async with asyncio.timeout(REGISTRATION_TIMEOUT_S):
        while True:
            result = await run(
                "--json", "--operator", operator, DESTROYED_INSTANCE
            )
            if result.exit_code == 0:
                return result
            assert "is no home of this daemon's service" in result.output
            await asyncio.sleep(POLL_INTERVAL_S)


async def test_destroyed_instance_can_be_retired_only_once(
    tmp_path: pathlib.Path,
) -> None:
    surviving = processes.make_settings("ordering-1")
    destroyed = processes.make_settings(
        DESTROYED_INSTANCE, surviving.control_address
    )
    operator = surviving.operator_address
    async with (
        processes.run_daemon(surviving, tmp_path),
        run_worker() as address,
    ):
        async with processes.run_daemon(destroyed, tmp_path) as process:
            for settings in (surviving, destroyed):
                await processes.announce(settings, SERVICE, address, 1)
            await processes.wait_for_instances(surviving, SERVICE, 2)
            process.kill()
        retired = await retire_once_known(operator)
        retired_again = await run("--operator", operator, DESTROYED_INSTANCE)
        retired_itself = await run("--operator", operator, "ordering-1")
        # No instance; its name has to be escaped in the URL.
        escaped = await run("--operator", operator, "a/b c")
    assert json.loads(retired.output) == {
        "retired": DESTROYED_INSTANCE,
        "operator": operator,
    }
    for refused in (retired_again, retired_itself, escaped):
        assert refused.exit_code == 1
        assert refused.output.count("\n") == 1
    assert "left already" in retired_again.output
    assert "left already" in retired_itself.output
