"""Ranks of calls, which give the order of refusal, and admission levels.

Every call has a rank, made of its importance, its depth class and a hash of
the root id, in this order. Deeper calls rank higher, since more work was
already done for them. The hash is the same at every hop, so that all hops
refuse the same roots and the other requests complete as a whole. A level is
the lowest rank that is admitted.

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

# Number of hash buckets of root ids.
BUCKETS = 128
# Number of depth classes, see `get_depth_class`.
DEPTH_CLASSES = 4
_RANKS_PER_IMPORTANCE = DEPTH_CLASSES * BUCKETS
# Size of the cache of buckets. Each daemon on the path of a call looks up the
# bucket of its root repeatedly.
BUCKET_CACHE_ROOTS = 4096
# Number of ranks; the lowest is 0.
RANKS = len(call_importance.Importance) * _RANKS_PER_IMPORTANCE
# The level that admits all calls.
ADMIT_ALL_RANK = 0
MIN_CRITICAL_RANK = call_importance.Importance.CRITICAL * _RANKS_PER_IMPORTANCE


@functools.lru_cache(maxsize=BUCKET_CACHE_ROOTS)
def get_bucket(root_id: str) -> int:
    """Returns the hash bucket of a root, the same at every hop."""
    return xxhash.xxh3_64_intdigest(root_id.encode()) % BUCKETS


def get_depth_class(depth: int) -> int:
    """Returns 0 for a root, then 1, 2, 3 from depths 1, 3 and 7 on."""
    return min(DEPTH_CLASSES, (depth + 1).bit_length()) - 1


def get_rank(chain: context.ChainContext) -> int:
    """Returns a call's rank; calls of lower rank are refused first.

    Of the calls of one importance and depth class, those in higher hash buckets
    have lower ranks.
    """
    group = chain.importance * DEPTH_CLASSES + get_depth_class(chain.depth)
    return group * BUCKETS + BUCKETS - 1 - get_bucket(chain.root_id)


def get_max_rank_of_group(rank: int) -> int:
    """Returns the highest rank of the same group as `rank`.

    A group is all ranks of one importance and depth class.
    """
    return rank - rank % BUCKETS + BUCKETS - 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """An admission level, as the importance, depth class and hash bucket.

    `depth_class` is a value of `get_depth_class`; `threshold` is the highest
    admitted hash bucket of that class.
    """

    importance: call_importance.Importance
    depth_class: int
    threshold: int

    @classmethod
    @functools.lru_cache(maxsize=RANKS)
    def from_rank(cls, rank: int) -> Self:
        """Returns the level at which a rank is the lowest admitted."""
        group, offset = divmod(rank, BUCKETS)
        importance, depth_class = divmod(group, DEPTH_CLASSES)
        return cls(
            call_importance.Importance(importance),
            depth_class,
            BUCKETS - 1 - offset,
        )


def get_min_admitted_rank(report: load_reports.LoadReport) -> int:
    """Returns the lowest rank that the reporting instance admits."""
    group = report.importance * DEPTH_CLASSES + report.depth_class
    return group * BUCKETS + BUCKETS - 1 - report.threshold
