"""Importance of a call under overload."""

import enum


class Importance(enum.IntEnum):
    """Order in which calls are refused; lower values are refused first."""

    BACKGROUND = 0
    SHEDDABLE = 1
    NORMAL = 2
    CRITICAL = 3
