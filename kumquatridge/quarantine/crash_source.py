"""The crashes that a daemon knows of, as a source of gossip.

Entries only grow, so that the number of ids in one is its version.
"""

from collections.abc import Iterable, Mapping

from kumquatridge.quarantine import register


class CrashSource:
    """Spreads the entries of a register with the heartbeats."""

    def __init__(self, crashes: register.CrashRegister) -> None:
        self._crashes = crashes

    @property
    def revision(self) -> int:
        """Changes whenever an entry changes."""
        return self._crashes.revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each fingerprint's entry."""
        return {
            one.fingerprint: len(one.crashes) + len(one.cleared)
            for one in self._crashes.export()
        }

    def export(self, keys: Iterable[str]) -> tuple[register.CrashEntry, ...]:
        """Returns the entries of those fingerprints."""
        wanted = frozenset(keys)
        return tuple(
            one for one in self._crashes.export() if one.fingerprint in wanted
        )

    def merge(self, entries: Iterable[register.CrashEntry]) -> None:
        """Takes in what another daemon knows."""
        self._crashes.merge(entries)
