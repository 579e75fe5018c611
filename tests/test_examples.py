"""The example deployments are valid and have the expected sizes."""

import dataclasses
import pathlib

import pytest

from kumquatridge.bench import deployment_text
from kumquatridge.encoding import settings_text

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


@dataclasses.dataclass(frozen=True, slots=True)
class ExampleCase:
    """An example's folder and what the example must define.

    That is the number of data centres, and the number of workers by service.
    """

    folder: str
    data_centres: int
    workers: dict[str, int]


@pytest.mark.parametrize(
    "case",
    [
        ExampleCase(
            "milchdienst",
            3,
            {
                "round-planning": 6,
                "ordering": 4,
                "dairy-intake": 3,
                "household-registry": 3,
            },
        ),
        ExampleCase(
            "botellas",
            4,
            {"storefront": 5, "commissions": 4, "printing": 4, "tracking": 4},
        ),
    ],
    ids=lambda case: case.folder,
)
def test_example_defines_expected_deployment(case: ExampleCase) -> None:
    folder = EXAMPLES / case.folder
    policies = settings_text.read_tree(folder / "tree.jsonc").compile()
    deployment = deployment_text.read_deployment(EXAMPLES, case.folder)
    workers = {service.name: service.workers for service in deployment.services}
    assert workers == case.workers
    assert len(deployment.data_centres) == case.data_centres
    assert set(policies.services) == set(case.workers)
