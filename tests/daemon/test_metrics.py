"""Scrapes of a daemon's metrics, and explanations of its refusals."""

import pathlib

import httpx

from kumquatridge.http import headers
from kumquatridge.telemetry import metric_specs
from tests import processes

REFUSED_LINE = (
    'kumquatridge_refusals_total{importance="critical",'
    'reason="no_instance",service="ordering"} 1.0'
)
REJECTED_LINE = 'kumquatridge_rejections_total{reason="unknown_service"} 1.0'


async def test_refusal_is_counted_and_explained(
    tmp_path: pathlib.Path,
) -> None:
    # No worker announces itself, so that a call finds no instance. A request
    # for a service that is not in the settings tree is rejected before it
    # becomes a call, and counted by a metric of its own.
    settings = processes.make_settings("ordering-1")
    operator_url = f"http://{settings.operator_address}"
    callers_url = f"http://{settings.caller_address}"
    async with (
        processes.run_daemon(settings, tmp_path),
        httpx.AsyncClient() as client,
    ):
        refused = await client.post(f"{callers_url}/ordering/bookings")
        rejected = await client.get(f"{callers_url}/no-such-service/x")
        scraped = (await client.get(f"{operator_url}/metrics")).text
        root_id = refused.headers[headers.ROOT_ID]
        explained = await client.get(
            f"{operator_url}/v1/decisions", params={"root_id": root_id}
        )
    assert refused.status_code == 503
    assert refused.headers[headers.OUTCOME] == headers.OUTCOME_NOT_RUN
    assert rejected.status_code == 404
    lines = scraped.splitlines()
    assert [line for line in lines if REFUSED_LINE in line] == [REFUSED_LINE]
    assert REJECTED_LINE in lines
    missing = [
        gauge.name
        for gauge in metric_specs.GAUGES
        if not gauge.labels
        and not any(line.startswith(f"{gauge.name} ") for line in lines)
    ]
    assert missing == []
    assert [decision["reason"] for decision in explained.json()] == [
        "no_instance"
    ]
    assert "no instance of ordering" in explained.json()[0]["text"]
