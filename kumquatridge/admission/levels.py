"""The order in which calls are refused, and the level of admission.

Every call has a rank: importance first, then the class of its depth, deeper
calls being refused later since more work was done for them, then a hash of
the root id. As the hash is the same at every hop, all hops refuse the same
roots and whole requests survive. A level is the least rank that is admitted.

Source: H. Zhou et al., "Overload Control for Scaling WeChat Microservices"
(DAGOR), SoCC 2018.
"""

import dataclasses
import functools
from typing import Self

import xxhash

from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.chain import context

BUCKETS = 128
DEPTH_CLASSES = 4
_RANKS_PER_IMPORTANCE = DEPTH_CLASSES * BUCKETS
# Each daemon on a call's way asks for the bucket of its root several times.
KEPT_ROOTS = 4096
RANKS = len(call_importance.Importance) * _RANKS_PER_IMPORTANCE
ADMIT_ALL_RANK = 0
MIN_CRITICAL_RANK = call_importance.Importance.CRITICAL * _RANKS_PER_IMPORTANCE


@functools.lru_cache(maxsize=KEPT_ROOTS)
def get_bucket(root_id: str) -> int:
    """Returns the hash bucket of a root, the same at every hop."""
    return xxhash.xxh3_64_intdigest(root_id.encode()) % BUCKETS


def get_depth_class(depth: int) -> int:
    """Returns 0 for a root, then 1, 2, 3 from depths 1, 3 and 7 on."""
    return min(DEPTH_CLASSES, (depth + 1).bit_length()) - 1


def get_rank(chain: context.ChainContext) -> int:
    """Returns a call's rank; calls of lower rank are refused first."""
    group = chain.importance * DEPTH_CLASSES + get_depth_class(chain.depth)
    return group * BUCKETS + BUCKETS - 1 - get_bucket(chain.root_id)


def get_top_of_group(rank: int) -> int:
    """Returns the highest rank of the same importance and class."""
    return rank - rank % BUCKETS + BUCKETS - 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """The least call that is admitted.

    `depth_class` is that of `get_depth_class`; `threshold` is the highest
    admitted hash bucket of that class.
    """

    importance: call_importance.Importance
    depth_class: int
    threshold: int

    @classmethod
    @functools.lru_cache(maxsize=RANKS)
    def from_rank(cls, rank: int) -> Self:
        """Returns the level at which a rank is the least admitted."""
        group, offset = divmod(rank, BUCKETS)
        importance, depth_class = divmod(group, DEPTH_CLASSES)
        return cls(
            call_importance.Importance(importance),
            depth_class,
            BUCKETS - 1 - offset,
        )


def get_min_admitted_rank(report: load_reports.LoadReport) -> int:
    """Returns the least rank that the reporting instance admits."""
    group = report.importance * DEPTH_CLASSES + report.depth_class
    return group * BUCKETS + BUCKETS - 1 - report.threshold
