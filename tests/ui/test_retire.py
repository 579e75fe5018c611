"""`kumquatridge retire` at real daemons, one of which was destroyed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib

from click import testing

from kumquatridge.ui import main
from tests import processes

MEET_S = 20.0
POLL_S = 0.2
SERVICE = "ordering"
GONE = "ordering-2"


@contextlib.asynccontextmanager
async def run_worker() -> AsyncIterator[str]:
    """Accepts connections, as a worker does; returns its address."""
    address = processes.get_free_address()
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), host, int(port)
    )
    async with server:
        yield address


async def run(*arguments: str) -> testing.Result:
    """Runs the command beside the event loop."""
    return await asyncio.to_thread(
        testing.CliRunner().invoke, main.main, ["retire", *arguments]
    )


async def retire_when_met(operator: str) -> testing.Result:
    """Retires the instance as soon as the daemon has it as a home."""
    async with asyncio.timeout(MEET_S):
        while True:
            result = await run("--json", "--operator", operator, GONE)
            if result.exit_code == 0:
                return result
            assert "is no home of this daemon's service" in result.output
            await asyncio.sleep(POLL_S)


async def test_destroyed_instance_is_retired_once(
    tmp_path: pathlib.Path,
) -> None:
    stays = processes.make_settings("ordering-1")
    goes = processes.make_settings(GONE, stays.control_address)
    operator = stays.operator_address
    async with (
        processes.run_daemon(stays, tmp_path),
        run_worker() as address,
    ):
        async with processes.run_daemon(goes, tmp_path) as process:
            for settings in (stays, goes):
                await processes.announce(settings, SERVICE, address, 1)
            await processes.wait_for_instances(stays, SERVICE, 2)
            process.kill()
        retired = await retire_when_met(operator)
        again = await run("--operator", operator, GONE)
        own = await run("--operator", operator, "ordering-1")
        odd = await run("--operator", operator, "a/b c")
    assert json.loads(retired.output) == {"retired": GONE, "operator": operator}
    for refused in (again, own, odd):
        assert refused.exit_code == 1
        assert refused.output.count("\n") == 1
    assert "left already" in again.output
    assert "left already" in own.output
