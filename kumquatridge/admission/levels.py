"""The order in which calls are refused, and the level of admission.

Every call has a rank: importance first, then calls made by a call before
roots, then a hash of the root id. As the hash is the same at every hop, all
hops refuse the same roots and whole requests survive. A level is the least
rank that is admitted.

Source: H. Zhou et al., "Overload Control for Scaling WeChat Microservices"
(DAGOR), SoCC 2018.
"""

import dataclasses
from typing import Self

import xxhash

from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import reports
from kumquatridge.chain import context

BUCKETS = 128
_RANKS_PER_IMPORTANCE = 2 * BUCKETS
RANKS = len(call_importance.Importance) * _RANKS_PER_IMPORTANCE
OPEN_RANK = 0
CRITICAL_RANK = call_importance.Importance.CRITICAL * _RANKS_PER_IMPORTANCE


def get_bucket(root_id: str) -> int:
    """Returns the hash bucket of a root, the same at every hop."""
    return xxhash.xxh3_64_intdigest(root_id.encode()) % BUCKETS


def get_rank(chain: context.ChainContext) -> int:
    """Returns a call's rank; calls of lower rank are refused first."""
    group = chain.importance * 2 + (1 if chain.depth > 0 else 0)
    return group * BUCKETS + BUCKETS - 1 - get_bucket(chain.root_id)


def get_top_of_group(rank: int) -> int:
    """Returns the highest rank of the same importance and nesting."""
    return rank - rank % BUCKETS + BUCKETS - 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """The least call that is admitted.

    `nested` tells whether that call is made by a call rather than a root;
    `threshold` is the highest admitted hash bucket of that kind.
    """

    importance: call_importance.Importance
    nested: bool
    threshold: int

    @classmethod
    def from_rank(cls, rank: int) -> Self:
        """Returns the level at which a rank is the least admitted."""
        group, offset = divmod(rank, BUCKETS)
        importance, nested = divmod(group, 2)
        return cls(
            call_importance.Importance(importance),
            bool(nested),
            BUCKETS - 1 - offset,
        )


def get_report_rank(report: reports.InstanceReport) -> int:
    """Returns the least rank that the reporting instance admits."""
    group = report.importance * 2 + (1 if report.nested else 0)
    return group * BUCKETS + BUCKETS - 1 - report.threshold
