"""Runs the demo: deployment, load and report."""

import aiohttp

from kumquatridge.demo import deployment
from kumquatridge.demo import load
from kumquatridge.demo import report
from kumquatridge.demo import settings_change

# Name, demand as a multiple of the capacity, and duration in seconds.
PHASES = (
    load.Phase("normal", 0.6, 3.0),
    load.Phase("overload", 2.0, 6.0),
    load.Phase("normal again", 0.6, 4.0),
)


async def run_demo(
    settings: deployment.DeploymentSettings,
    phases: tuple[load.Phase, ...] = PHASES,
) -> report.DemoReport:
    """Applies the settings tree, sends the load and returns a report."""
    async with (
        deployment.run_deployment(settings) as deployed,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
    ):
        in_force_s = await settings_change.apply_tree(
            deployed.platform_address,
            deployment.CREDENTIAL,
            deployment.TREE_FILE,
        )
        demo_load = load.DemoLoad(deployed, session)
        await demo_load.send(phases, settings.capacity_per_s)
        return report.make_report(
            phases,
            demo_load.results,
            settings.capacity_per_s,
            deployed.count_repeated_runs(),
            in_force_s,
        )
