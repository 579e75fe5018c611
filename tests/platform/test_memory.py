"""Requests that a daemon has no memory for are refused as not run."""

import asyncio

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.platform import components
from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments

# Together they are longer than 16 MiB, the bound with `LITTLE_BYTES`.
UPLOADS = 36
LITTLE_BYTES = components.BASE_BYTES + 64 * 1024 * 1024
ENOUGH_BYTES = 300 * 1024 * 1024
UPLOAD = call_body.BufferedBody(bytes(500_000))
ROUTES = (
    deployments.make_route("/near/", ("near", 1), routeType="non_idempotent"),
    deployments.make_route("/far/", ("far", 1), routeType="non_idempotent"),
)


@pytest.mark.parametrize(
    "path",
    [
        pytest.param("/near/", id="own worker"),
        pytest.param("/far/", id="worker of another daemon"),
    ],
)
@pytest.mark.parametrize(
    ("memory_bytes", "statuses"),
    [
        pytest.param(ENOUGH_BYTES, {200}, id="enough"),
        pytest.param(LITTLE_BYTES, {200, 503}, id="little"),
    ],
)
async def test_uploads_without_memory_are_refused_as_not_run(
    path: str, memory_bytes: int, statuses: set[int]
) -> None:
    workers = [
        deployments.Worker("machine-0", "near", 64),
        deployments.Worker("machine-1", "far", 64),
    ]
    for worker in workers:
        worker.behaviour = deployments.Behaviour(work_ms=300.0)
    async with deployments.open_deployment(
        *workers, routes=ROUTES, memory_bytes=memory_bytes
    ) as deployment:
        for number, _ in enumerate(workers):
            await deployment.report(number)
        await deployment.wait_until_discovered()
        uploads = [
            deployments.make_request(
                f"{path}{number}",
                method="POST",
                request_id=f"upload-{number}",
                body=UPLOAD,
            )
            for number in range(UPLOADS)
        ]
        sending = [
            asyncio.create_task(deployment.send(upload)) for upload in uploads
        ]
        short = await deployment.send(
            deployments.make_request(f"{path}short", request_id="short")
        )
        answers = await asyncio.gather(*sending)
    assert short.status == 200
    assert {answer.status for answer in answers} == statuses
    ran = {
        http.find_header(request.headers, "request-id")
        for worker in workers
        for request in worker.received
    }
    for number, answer in enumerate(answers):
        assert (f"upload-{number}" in ran) == (answer.status == 200)
        if answer.status == 503:
            assert http.find_header(answer.headers, "retry-after")
